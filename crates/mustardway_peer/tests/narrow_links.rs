//! Large frames that take longer than the silence timeout.
#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::{KIND, Node, OTHER_KIND, short_timeouts, wait_until};
use mustardway_peer::counters::Event;
use mustardway_peer::link::Peer;
use mustardway_peer::send::Priority;
use mustardway_peer::transmission::Outcome;
use mustardway_types::time;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

/// Bytes that the narrow link carries in [`TICK`]: 1 MiB takes 1.3 s.
const TICK_BYTES: usize = 8 << 10;
const TICK: Duration = Duration::from_millis(10);
const FRAME_BYTES: usize = 1 << 20;
/// Longer than the silence timeout, so that a reply that is missing is noticed.
const AFTERWARDS: Duration = Duration::from_millis(550);

/// Starts a link to `address` that is narrow in that direction, and carries at most
/// `bytes_max`.
async fn narrow_link(address: SocketAddr, bytes_max: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let near = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let (mut from_sender, mut to_sender) = stream.into_split();
        let (mut from_peer, mut to_peer) = TcpStream::connect(address).await.unwrap().into_split();
        tokio::spawn(async move { copy(&mut from_peer, &mut to_sender).await });
        let mut buffer = vec![0; TICK_BYTES];
        let (mut due, mut carried) = (Instant::now(), 0);
        while carried < bytes_max {
            due += TICK;
            sleep_until(due).await;
            let count = from_sender.read(&mut buffer).await.unwrap_or(0);
            if count == 0 || to_peer.write_all(&buffer[..count]).await.is_err() {
                return;
            }
            carried += count;
        }
        std::future::pending::<()>().await;
    });
    near
}

#[tokio::test]
async fn large_frame_on_a_narrow_link_is_no_silence() {
    let one = Node::with("one", short_timeouts).await;
    let mut two = Node::with("two", short_timeouts).await;
    let address = narrow_link(two.peer.address, usize::MAX).await;
    let peer = Peer { id: two.peer.id.clone(), address };
    one.mesh.send(&peer, Priority::Bulk, KIND, vec![7; FRAME_BYTES].into()).unwrap();
    assert_eq!(two.next_frame().await.2.len(), FRAME_BYTES);
    sleep(AFTERWARDS).await;
    assert_eq!(one.mesh.counters().count(Event::SilenceTimeout), 0);
}

/// The receiver waits for the reply to a frame of its own meanwhile.
#[tokio::test]
async fn large_frame_is_a_sign_of_life() {
    let mut one = Node::with("one", short_timeouts).await;
    let mut two = Node::with("two", short_timeouts).await;
    let address = narrow_link(two.peer.address, usize::MAX).await;
    let peer = Peer { id: two.peer.id.clone(), address };
    one.mesh.send(&peer, Priority::Bulk, OTHER_KIND, Bytes::new()).unwrap();
    two.next_frame().await;
    one.mesh.send(&peer, Priority::Bulk, KIND, vec![7; FRAME_BYTES].into()).unwrap();
    two.mesh.send(&one.peer, Priority::Bulk, OTHER_KIND, Bytes::new()).unwrap();
    one.next_frame().await;
    assert_eq!(two.next_frame().await.2.len(), FRAME_BYTES);
    sleep(AFTERWARDS).await;
    assert_eq!(two.mesh.counters().count(Event::SilenceTimeout), 0);
}

#[tokio::test]
async fn large_frame_is_sent_before_the_link_is_closed() {
    let one = Node::with("one", short_timeouts).await;
    let mut two = Node::with("two", short_timeouts).await;
    let address = narrow_link(two.peer.address, usize::MAX).await;
    let peer = Peer { id: two.peer.id.clone(), address };
    let frame = vec![7; FRAME_BYTES].into();
    let ticket = one.mesh.send_tracked(&peer, Priority::Bulk, KIND, frame).unwrap();
    assert_eq!(ticket.outcome().await, Outcome::Sent);
    one.mesh.close(time::Span::seconds(20)).await;
    assert_eq!(two.next_frame().await.2.len(), FRAME_BYTES);
}

#[tokio::test]
async fn link_that_stops_in_the_middle_of_a_frame_is_silent() {
    let mut one = Node::with("one", short_timeouts).await;
    let two = Node::with("two", short_timeouts).await;
    let address = narrow_link(two.peer.address, FRAME_BYTES / 4).await;
    let peer = Peer { id: two.peer.id.clone(), address };
    // The frames do not fit into the buffers of the sockets.
    for _ in 0..3 {
        one.mesh.send(&peer, Priority::Bulk, KIND, vec![7; FRAME_BYTES].into()).unwrap();
    }
    assert_eq!(one.next_down().await.peer, peer);
    wait_until(|| one.mesh.counters().count(Event::SilenceTimeout) == 1).await;
}
