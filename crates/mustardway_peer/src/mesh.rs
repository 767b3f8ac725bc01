//! All connections of one instance.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use bytes::Bytes;
use mustardway_types::{hash, instance, time};
use parking_lot::Mutex;
use prost::Message;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::accept;
use crate::counters::{Counters, Event};
use crate::cut::Cut;
use crate::frame::{self, Frame, Hello, Kind};
use crate::handler::Handler;
use crate::link::{self, Down, End, Link, Number, Origin, Peer, Reader};
use crate::log::Log;
use crate::queue::{Entry, Queue};
use crate::send::{Error, Priority};
use crate::settings::Settings;
use crate::table::Table;
use crate::transmission::{Stub, Ticket};

/// What the tasks of one mesh share.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    /// Where peers reach this instance.
    pub(crate) address: SocketAddr,
    pub(crate) handler: Arc<dyn Handler>,
    pub(crate) counters: Counters,
    pub(crate) cut: Cut,
    pub(crate) log: Log,
    pub(crate) table: Mutex<Table>,
    pub(crate) tasks: TaskTracker,
    /// No more connections are accepted.
    pub(crate) stopping: CancellationToken,
    /// Every link ends.
    stopped: CancellationToken,
    places: Arc<Semaphore>,
    numbers: AtomicU64,
    start: std::time::Instant,
}

/// All connections of one instance.
///
/// Commands never wait, but for [`Mesh::close`].
#[derive(Clone)]
pub struct Mesh {
    context: Arc<Context>,
}

impl Mesh {
    /// Starts listening.
    ///
    /// # Errors
    /// When the address in the settings cannot be listened on.
    pub async fn start(settings: Settings, handler: Arc<dyn Handler>) -> io::Result<Mesh> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = settings.advertised.map_or_else(|| listener.local_addr(), Ok)?;
        let context = Arc::new(Context {
            log: Log::new(&settings.logger),
            places: Arc::new(Semaphore::new(settings.connections)),
            settings,
            address,
            handler,
            counters: Counters::default(),
            cut: Cut::default(),
            table: Mutex::default(),
            tasks: TaskTracker::new(),
            stopping: CancellationToken::new(),
            stopped: CancellationToken::new(),
            numbers: AtomicU64::default(),
            start: std::time::Instant::now(),
        });
        context.tasks.spawn(accept::run(Arc::clone(&context), listener));
        Ok(Mesh { context })
    }

    /// Sends a frame whose fate need not be known.
    ///
    /// # Errors
    /// When the frame is not taken: no byte of it leaves.
    pub fn send(
        &self,
        to: &Peer,
        priority: Priority,
        kind: Kind,
        body: Bytes,
    ) -> Result<(), Error> {
        self.push(to, priority, Frame::new(kind, body), |_| (Stub::default(), ()))
    }

    /// Sends a frame and tells what became of it.
    ///
    /// # Errors
    /// When the frame is not taken: no byte of it leaves.
    pub fn send_tracked(
        &self,
        to: &Peer,
        priority: Priority,
        kind: Kind,
        body: Bytes,
    ) -> Result<Ticket, Error> {
        self.push(to, priority, Frame::new(kind, body), Stub::pair)
    }

    /// Cuts off exactly the peers in `peers`: frames to and from them are dropped
    /// without a word, as in a network partition. For failure tests; does nothing
    /// unless the settings allow it.
    pub fn cut(&self, peers: BTreeSet<instance::Id>) {
        if self.context.settings.partition_allowed {
            self.context.cut.set(peers);
        }
    }

    /// Takes no more frames, sends those that wait, and closes every link, all
    /// within `deadline`.
    pub async fn close(&self, deadline: time::Span) {
        let context = &self.context;
        context.table.lock().closing = true;
        context.stopping.cancel();
        context.tasks.close();
        let flushed = tokio::time::timeout(deadline.into(), context.tasks.wait()).await;
        if flushed.is_err() {
            context.stopped.cancel();
            context.tasks.wait().await;
        }
    }

    /// Where peers reach this instance.
    pub fn address(&self) -> SocketAddr {
        self.context.address
    }

    /// What went in and out, and what went wrong.
    pub fn counters(&self) -> &Counters {
        &self.context.counters
    }

    fn push<T>(
        &self,
        to: &Peer,
        priority: Priority,
        frame: Frame,
        stub: impl FnOnce(Number) -> (Stub, T),
    ) -> Result<T, Error> {
        let size = frame.wire_size();
        if size > frame::SIZE_MAX.0 as usize {
            return Err(Error::too_large(size));
        }
        let link = self.context.link_to(to)?;
        let (stub, ticket) = stub(link.number);
        let pushed = link.queue.push(Entry { frame, stub }, priority);
        if pushed == Err(Error::Full) {
            self.context.counters.add(Event::Full);
        }
        pushed.map(|()| ticket)
    }
}

impl Context {
    /// Time since the start of the mesh.
    pub(crate) fn now(&self) -> time::Instant {
        time::Instant::default() + self.start.elapsed().into()
    }

    /// A place for one more connection of others.
    pub(crate) fn place(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.places).try_acquire_owned().ok()
    }

    /// A new link.
    pub(crate) fn link(&self, peer: Peer, origin: Origin) -> Arc<Link> {
        let number = Number(self.numbers.fetch_add(1, Relaxed) + 1);
        let queue = Queue::new(self.settings.queue.0 as usize);
        Arc::new(Link::new(number, peer, origin, queue))
    }

    /// The link in use to `peer`; a new one is made if there is none.
    fn link_to(self: &Arc<Self>, peer: &Peer) -> Result<Arc<Link>, Error> {
        let mut table = self.table.lock();
        if table.closing {
            return Err(Error::Closing);
        }
        if let Some(link) = table.get(peer) {
            return Ok(link);
        }
        if table.backs_off(peer.address, self.now()) {
            return Err(Error::Unreachable);
        }
        let link = self.link(peer.clone(), Origin::Outbound);
        self.greet(&link);
        table.insert(&link);
        self.tasks.spawn(connect(Arc::clone(self), Arc::clone(&link)));
        Ok(link)
    }

    /// Puts the hello in front of all other frames.
    fn greet(&self, link: &Link) {
        let hello =
            Hello { address: self.address.to_string(), to: link.peer.id.as_str().to_string() };
        let frame = Frame {
            from: self.settings.id.as_str().to_string(),
            kind: Kind::HELLO.0,
            body: hello.encode_to_vec().into(),
        };
        // An empty queue takes any frame.
        let _ = link.queue.push(Entry { frame, stub: Stub::default() }, Priority::Control);
    }

    /// Runs a link to its end and reports it.
    pub(crate) async fn run(&self, link: &Link, reader: Reader, writer: OwnedWriteHalf) {
        let end = tokio::select! {
            end = link.run(self, reader, writer) => end,
            end = self.finish(link) => end,
            () = self.stopped.cancelled() => End::Finished,
        };
        self.table.lock().remove(link);
        link.queue.abandon();
        self.ended(link, &end);
    }

    /// Lets a link send what waits once the mesh closes; never ends by itself.
    async fn finish(&self, link: &Link) -> End {
        self.stopping.cancelled().await;
        link.queue.finish();
        std::future::pending().await
    }

    fn ended(&self, link: &Link, end: &End) {
        match end {
            End::Idle => return self.counters.add(Event::Idle),
            End::Finished => return,
            End::Broken => self.counters.add(Event::Broken),
            End::Silent => self.counters.add(Event::Silent),
            End::Unreadable(error) => self.unreadable(error),
        }
        self.log.broken(&link.peer, end);
        self.handler.link_down(&Down { peer: link.peer.clone(), link: link.number });
    }

    /// Counts and logs what could not be read.
    pub(crate) fn unreadable(&self, error: &frame::Error) {
        let event = match error {
            frame::Error::Oversized => Event::Oversized,
            frame::Error::Version(_) => Event::Version,
            frame::Error::Malformed => Event::Malformed,
            frame::Error::Socket(_) => Event::Broken,
        };
        self.counters.add(event);
        self.log.unreadable(error);
    }

    /// Leaves the address of `link` alone for a while.
    fn unreached(&self, link: &Link) {
        self.counters.add(Event::ConnectFailed);
        let now = self.now();
        let seed = hash::seeded(link.number.0, self.settings.id.as_str().as_bytes());
        let bounds = (self.settings.backoff_min, self.settings.backoff_max);
        let mut table = self.table.lock();
        table.remove(link);
        table.unreached(link.peer.address, now, bounds, hash::unit(hash::mix(seed, now.0)));
        drop(table);
        link.queue.abandon();
    }
}

/// Makes a connection and runs its link.
async fn connect(context: Arc<Context>, link: Arc<Link>) {
    let Some(stream) = dial(&context, &link.peer).await else {
        context.unreached(&link);
        return;
    };
    context.counters.add(Event::Connected);
    context.table.lock().reached(link.peer.address);
    let (reader, writer) = stream.into_split();
    context.run(&link, link::reader(reader), writer).await;
}

async fn dial(context: &Context, peer: &Peer) -> Option<TcpStream> {
    let limit = context.settings.connect.into();
    if context.cut.contains(&peer.id) {
        tokio::time::sleep(limit).await;
        return None;
    }
    let stream = tokio::time::timeout(limit, TcpStream::connect(peer.address)).await.ok()?.ok()?;
    // Without the option the link still works, only slower.
    let _ = stream.set_nodelay(true);
    Some(stream)
}
