//! All links of one instance.

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
use crate::frame::{self, Frame, Hello, Kind};
use crate::handler::Handler;
use crate::link::{self, Direction, Down, End, Link, Number, Peer, Reader};
use crate::log::Log;
use crate::partition::Partition;
use crate::queue::{Entry, Queue};
use crate::send::{Error, Priority};
use crate::settings::Settings;
use crate::table::Table;
use crate::transmission::{Notifier, Ticket};

/// State shared by the tasks of one mesh.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    /// Address where peers reach this instance.
    pub(crate) address: SocketAddr,
    pub(crate) handler: Arc<dyn Handler>,
    pub(crate) counters: Counters,
    pub(crate) partition: Partition,
    pub(crate) log: Log,
    pub(crate) table: Mutex<Table>,
    pub(crate) tasks: TaskTracker,
    /// Stops accepting connections and closes the queues of all links.
    pub(crate) shutdown: CancellationToken,
    /// Ends every link at once.
    abort: CancellationToken,
    inbound_permits: Arc<Semaphore>,
    last_number: AtomicU64,
    start: std::time::Instant,
}

/// All links of one instance.
///
/// Except for [`Mesh::start`] and [`Mesh::close`], no method waits.
#[derive(Clone)]
pub struct Mesh {
    context: Arc<Context>,
}

impl Mesh {
    /// Starts the mesh and listens for connections of peers.
    ///
    /// # Errors
    /// Fails when the mesh cannot listen on the address in the settings.
    pub async fn start(settings: Settings, handler: Arc<dyn Handler>) -> io::Result<Mesh> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = settings.advertised.map_or_else(|| listener.local_addr(), Ok)?;
        let context = Arc::new(Context {
            log: Log::new(&settings.logger),
            inbound_permits: Arc::new(Semaphore::new(settings.inbound_connections_max)),
            settings,
            address,
            handler,
            counters: Counters::default(),
            partition: Partition::default(),
            table: Mutex::default(),
            tasks: TaskTracker::new(),
            shutdown: CancellationToken::new(),
            abort: CancellationToken::new(),
            last_number: AtomicU64::default(),
            start: std::time::Instant::now(),
        });
        context.tasks.spawn(accept::run(Arc::clone(&context), listener));
        Ok(Mesh { context })
    }

    /// Queues a frame without tracking its outcome.
    ///
    /// # Errors
    /// Fails when the frame is not queued; no byte of it is sent.
    pub fn send(
        &self,
        to: &Peer,
        priority: Priority,
        kind: Kind,
        body: Bytes,
    ) -> Result<(), Error> {
        self.push(to, priority, Frame::new(kind, body), |_| (Notifier::default(), ()))
    }

    /// Queues a frame and returns a ticket that reports its outcome.
    ///
    /// # Errors
    /// Fails when the frame is not queued; no byte of it is sent.
    pub fn send_tracked(
        &self,
        to: &Peer,
        priority: Priority,
        kind: Kind,
        body: Bytes,
    ) -> Result<Ticket, Error> {
        self.push(to, priority, Frame::new(kind, body), Notifier::pair)
    }

    /// Simulates a network partition from exactly the peers in `peers`: frames to and
    /// from them are silently dropped. For failure tests; does nothing unless the
    /// settings allow it.
    pub fn partition(&self, peers: BTreeSet<instance::Id>) {
        if self.context.settings.partition_allowed {
            self.context.partition.set(peers);
        }
    }

    /// Refuses new frames, sends the queued ones, and closes every link. Links that are
    /// still open after `deadline` are dropped.
    pub async fn close(&self, deadline: time::Span) {
        let context = &self.context;
        context.table.lock().closing = true;
        context.shutdown.cancel();
        context.tasks.close();
        let flushed = tokio::time::timeout(deadline.into(), context.tasks.wait()).await;
        if flushed.is_err() {
            context.abort.cancel();
            context.tasks.wait().await;
        }
    }

    /// Returns the address where peers reach this instance.
    pub fn address(&self) -> SocketAddr {
        self.context.address
    }

    /// Returns the counters of traffic and link events.
    pub fn counters(&self) -> &Counters {
        &self.context.counters
    }

    fn push<T>(
        &self,
        to: &Peer,
        priority: Priority,
        frame: Frame,
        notifier: impl FnOnce(Number) -> (Notifier, T),
    ) -> Result<T, Error> {
        let size = frame.wire_size();
        if size > frame::SIZE_MAX.0 as usize {
            return Err(Error::too_large(size));
        }
        let link = self.context.link_or_connect(to)?;
        let (notifier, ticket) = notifier(link.number);
        let pushed = link.queue.push(Entry { frame, notifier }, priority);
        if pushed == Err(Error::Full) {
            self.context.counters.add(Event::QueueFull);
        }
        pushed.map(|()| ticket)
    }
}

impl Context {
    /// Returns the time since the start of the mesh.
    pub(crate) fn now(&self) -> time::Instant {
        time::Instant::default() + self.start.elapsed().into()
    }

    /// Returns a permit for one more inbound connection; none at the limit.
    pub(crate) fn try_inbound_permit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.inbound_permits).try_acquire_owned().ok()
    }

    /// Creates a link with the next number.
    pub(crate) fn new_link(&self, peer: Peer, direction: Direction) -> Arc<Link> {
        let number = Number(self.last_number.fetch_add(1, Relaxed) + 1);
        let queue = Queue::new(self.settings.queue_size.0 as usize);
        Arc::new(Link::new(number, peer, direction, queue))
    }

    /// Returns the current link to `peer`, or starts connecting a new one.
    fn link_or_connect(self: &Arc<Self>, peer: &Peer) -> Result<Arc<Link>, Error> {
        let mut table = self.table.lock();
        if table.closing {
            return Err(Error::Closing);
        }
        if let Some(link) = table.get(peer) {
            return Ok(link);
        }
        if table.in_backoff(peer.address, self.now()) {
            return Err(Error::Unreachable);
        }
        let link = self.new_link(peer.clone(), Direction::Outbound);
        self.push_hello(&link);
        table.insert(&link);
        self.tasks.spawn(connect(Arc::clone(self), Arc::clone(&link)));
        Ok(link)
    }

    /// Queues the hello, before any other frame of a new link.
    fn push_hello(&self, link: &Link) {
        let hello =
            Hello { address: self.address.to_string(), to: link.peer.id.as_str().to_string() };
        let frame = Frame {
            from: self.settings.id.as_str().to_string(),
            kind: Kind::HELLO.0,
            body: hello.encode_to_vec().into(),
        };
        // An empty queue takes any frame.
        let _ = link.queue.push(Entry { frame, notifier: Notifier::default() }, Priority::Control);
    }

    /// Runs a link until it ends and reports the end.
    pub(crate) async fn run(&self, link: &Link, reader: Reader, writer: OwnedWriteHalf) {
        let end = tokio::select! {
            end = link.run(self, reader, writer) => end,
            end = self.close_queue_on_shutdown(link) => end,
            () = self.abort.cancelled() => End::Finished,
        };
        self.table.lock().remove(link);
        link.queue.close_and_discard();
        self.report_end(link, &end);
    }

    /// Closes the queue of a link once the mesh shuts down, so that the link sends its
    /// queued frames and ends. Never returns.
    async fn close_queue_on_shutdown(&self, link: &Link) -> End {
        self.shutdown.cancelled().await;
        link.queue.close();
        std::future::pending().await
    }

    fn report_end(&self, link: &Link, end: &End) {
        match end {
            End::Idle => return self.counters.add(Event::IdleTimeout),
            End::Finished => return,
            End::Broken => self.counters.add(Event::Broken),
            End::Silent => self.counters.add(Event::SilenceTimeout),
            End::Unreadable(error) => self.report_unreadable(error),
        }
        self.log.link_broken(&link.peer, end);
        self.handler.link_down(&Down { peer: link.peer.clone(), link: link.number });
    }

    /// Counts and logs a read error.
    pub(crate) fn report_unreadable(&self, error: &frame::Error) {
        let event = match error {
            frame::Error::Oversized => Event::Oversized,
            frame::Error::Version(_) => Event::UnknownVersion,
            frame::Error::Malformed => Event::Malformed,
            frame::Error::Socket(_) => Event::Broken,
        };
        self.counters.add(event);
        self.log.unreadable(error);
    }

    /// Removes an outbound link that could not connect, and starts or extends the backoff
    /// of its address.
    fn connect_failed(&self, link: &Link) {
        self.counters.add(Event::ConnectFailed);
        let now = self.now();
        let seed = hash::seeded(link.number.0, self.settings.id.as_str().as_bytes());
        let bounds = (self.settings.backoff_min, self.settings.backoff_max);
        let mut table = self.table.lock();
        table.remove(link);
        table.extend_backoff(link.peer.address, now, bounds, hash::unit(hash::mix(seed, now.0)));
        drop(table);
        link.queue.close_and_discard();
    }
}

/// Connects to the peer of `link` and runs the link.
async fn connect(context: Arc<Context>, link: Arc<Link>) {
    let Some(stream) = dial(&context, &link.peer).await else {
        context.connect_failed(&link);
        return;
    };
    context.counters.add(Event::Connected);
    context.table.lock().clear_backoff(link.peer.address);
    let (reader, writer) = stream.into_split();
    context.run(&link, link::frame_reader(reader), writer).await;
}

async fn dial(context: &Context, peer: &Peer) -> Option<TcpStream> {
    let limit = context.settings.connect_timeout.into();
    if context.partition.contains(&peer.id) {
        tokio::time::sleep(limit).await;
        return None;
    }
    let stream = tokio::time::timeout(limit, TcpStream::connect(peer.address)).await.ok()?.ok()?;
    // Without TCP_NODELAY the link still works, only slower.
    let _ = stream.set_nodelay(true);
    Some(stream)
}
