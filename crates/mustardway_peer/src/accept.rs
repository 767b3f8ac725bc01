//! Accepts connections from peers.

use std::sync::Arc;

use futures::StreamExt;
use mustardway_types::time;
use tokio::net::{TcpListener, TcpStream};

use crate::counters::Event;
use crate::frame::{Hello, Kind};
use crate::link::{self, Direction, Peer, Reader};
use crate::mesh::Context;

/// Delay before the next attempt after a failed accept, for example when no file
/// descriptors are free.
const ACCEPT_RETRY_DELAY: time::Span = time::Span::millis(100);

/// Accepts connections until the mesh shuts down.
pub(crate) async fn run(context: Arc<Context>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = context.shutdown.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY.into()).await;
            continue;
        };
        let Some(permit) = context.try_inbound_permit() else {
            context.counters.add(Event::TooManyConnections);
            continue;
        };
        let context_of_link = Arc::clone(&context);
        context.tasks.spawn(async move {
            serve(context_of_link, stream).await;
            drop(permit);
        });
    }
}

/// Reads the hello of one connection and runs its link.
async fn serve(context: Arc<Context>, stream: TcpStream) {
    // Without TCP_NODELAY the link still works, only slower.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let mut reader = link::frame_reader(reader);
    let hello = tokio::time::timeout(
        context.settings.hello_timeout.into(),
        read_hello(&context, &mut reader),
    );
    let hello = tokio::select! {
        hello = hello => hello,
        () = context.shutdown.cancelled() => return,
    };
    let Ok(Some(peer)) = hello else {
        context.counters.add(Event::BadHello);
        return;
    };
    let link = context.new_link(peer, Direction::Inbound);
    context.counters.add(Event::Accepted);
    context.table.lock().insert_inbound(&link);
    context.run(&link, reader, writer).await;
}

/// Reads the hello and returns the connecting peer; none if the hello is invalid or
/// addressed to another instance.
async fn read_hello(context: &Context, reader: &mut Reader) -> Option<Peer> {
    let frame = match reader.next().await? {
        Ok(frame) => frame,
        Err(error) => {
            context.report_unreadable(&error);
            return None;
        }
    };
    if frame.kind() != Kind::HELLO {
        return None;
    }
    context.counters.add_received(Kind::HELLO, frame.wire_size());
    let id = frame.from.parse().ok()?;
    let hello: Hello = prost::Message::decode(frame.body).ok()?;
    if hello.to != context.settings.id.as_str() {
        return None;
    }
    Some(Peer { id, address: hello.address.parse().ok()? })
}
