//! One connection, used both ways.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use mustardway_types::{instance, time};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;
use tokio_util::codec::{Encoder, FramedRead};

use crate::counters::Event;
use crate::frame::{self, Codec, Frame, Kind};
use crate::mesh::Context;
use crate::queue::{Entry, Queue};
use crate::send::Priority;
use crate::transmission::Notifier;

/// Bytes that are written at one time, about.
const BATCH_BYTES: usize = 64 << 10;
/// Bytes of a buffer that is kept between batches, at most.
const BUFFER_KEPT_BYTES: usize = 16 << 10;
/// Bytes that a reader's buffer starts with.
const READ_BUFFER_BYTES: usize = 2 << 10;

/// Number of a link, unique in one mesh from its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number(pub u64);

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Another instance and where it listens for its peers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Its name.
    pub id: instance::Id,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A link that broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Down {
    /// The instance on the other side.
    pub peer: Peer,
    /// The link, as in [`crate::transmission::Ticket::link`].
    pub link: Number,
}

/// Which side connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    Outbound,
    Inbound,
}

/// Why a link ended.
#[derive(Debug)]
pub(crate) enum End {
    /// The other side closed, or the socket failed.
    Broken,
    /// A frame could not be read.
    Unreadable(frame::Error),
    /// Nothing came back in time.
    Silent,
    /// Either side closed it since it was idle, with nothing in doubt.
    Idle,
    /// All that waited was sent and this side closed.
    Finished,
}

pub(crate) type Reader = FramedRead<OwnedReadHalf, Codec>;

/// A reader of frames with a small buffer.
pub(crate) fn frame_reader(half: OwnedReadHalf) -> Reader {
    FramedRead::with_capacity(half, Codec::default(), READ_BUFFER_BYTES)
}

/// One connection, or one that is being made.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) number: Number,
    pub(crate) peer: Peer,
    pub(crate) direction: Direction,
    pub(crate) queue: Queue,
    /// Whether the connection is made.
    open: AtomicBool,
    liveness: Liveness,
}

/// Signs of liveness on a link: points of time in microseconds, 0 for none.
#[derive(Debug, Default)]
struct Liveness {
    /// First write since something came in.
    awaiting_reply_since: AtomicU64,
    /// First frame that came in since the last write.
    owing_reply_since: AtomicU64,
    /// Last traffic either way.
    last_traffic: AtomicU64,
    /// Either side said goodbye.
    goodbye: AtomicBool,
    /// One of `written` and `unanswered` was set.
    changed: Notify,
}

impl Liveness {
    /// Something was written; whether it wants an answer.
    fn record_write(&self, expects_reply: bool, now: time::Instant) {
        self.owing_reply_since.store(0, Relaxed);
        if !expects_reply {
            return;
        }
        self.last_traffic.store(now.0, Relaxed);
        self.set_if_unset(&self.awaiting_reply_since, now);
    }

    /// Something came in.
    fn record_receive(&self) {
        self.awaiting_reply_since.store(0, Relaxed);
    }

    /// Something came in that wants an answer.
    fn record_request(&self, now: time::Instant) {
        self.last_traffic.store(now.0, Relaxed);
        self.set_if_unset(&self.owing_reply_since, now);
    }

    /// Sets `mark` if it is not set.
    fn set_if_unset(&self, since: &AtomicU64, now: time::Instant) {
        if since.load(Relaxed) == 0 {
            since.store(now.0.max(1), Relaxed);
            self.changed.notify_one();
        }
    }
}

/// How long ago `mark` was set, if it is.
fn age(since: &AtomicU64, now: time::Instant) -> Option<time::Span> {
    match since.load(Relaxed) {
        0 => None,
        at => Some(now.since(time::Instant(at))),
    }
}

impl Link {
    pub(crate) fn new(number: Number, peer: Peer, direction: Direction, queue: Queue) -> Self {
        let open = AtomicBool::new(direction == Direction::Inbound);
        Link { number, peer, direction, queue, open, liveness: Liveness::default() }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.open.load(Relaxed)
    }

    /// Reads, writes and watches until one of these ends the link.
    pub(crate) async fn run(
        &self,
        context: &Context,
        mut reader: Reader,
        mut writer: OwnedWriteHalf,
    ) -> End {
        self.open.store(true, Relaxed);
        self.liveness.last_traffic.store(context.now().0, Relaxed);
        tokio::select! {
            end = self.read(context, &mut reader) => end,
            end = self.write(context, &mut writer) => end,
            end = self.watch(context) => end,
        }
    }

    async fn read(&self, context: &Context, reader: &mut Reader) -> End {
        loop {
            let frame = match reader.next().await {
                Some(Ok(frame)) => frame,
                Some(Err(frame::Error::Socket(_))) | None => return self.end_on_close(),
                Some(Err(error)) => return End::Unreadable(error),
            };
            self.receive(context, frame);
        }
    }

    /// The end of a link that the other side closed.
    fn end_on_close(&self) -> End {
        let orderly = self.liveness.goodbye.load(Relaxed)
            && self.liveness.awaiting_reply_since.load(Relaxed) == 0;
        if orderly { End::Idle } else { End::Broken }
    }

    fn receive(&self, context: &Context, frame: Frame) {
        if context.partition.contains(&self.peer.id) {
            context.counters.add(Event::Partitioned);
            return;
        }
        let kind = frame.kind();
        context.counters.add_received(kind, frame.wire_size());
        if kind == Kind::GOODBYE {
            self.liveness.goodbye.store(true, Relaxed);
            return;
        }
        self.liveness.record_receive();
        if kind < Kind::FIRST_APPLICATION {
            return;
        }
        self.liveness.record_request(context.now());
        if !context.settings.kinds.contains(&kind) {
            context.counters.add(Event::UnknownKind);
            context.log.unknown_kind(&self.peer, kind);
            return;
        }
        context.handler.frame(&self.peer.id, frame);
    }

    async fn write(&self, context: &Context, writer: &mut OwnedWriteHalf) -> End {
        let mut buffer = BytesMut::new();
        while let Some(batch) = self.queue.next_batch(BATCH_BYTES).await {
            self.encode(context, batch, &mut buffer);
            if writer.write_all(&buffer).await.is_err() {
                return End::Broken;
            }
            buffer.clear();
            if buffer.capacity() > BUFFER_KEPT_BYTES {
                buffer = BytesMut::new();
            }
        }
        if writer.shutdown().await.is_err() {
            return End::Broken;
        }
        // The other side reads to the end and closes, which ends the reader.
        tokio::time::sleep(context.settings.silence_timeout.into()).await;
        End::Finished
    }

    /// Puts a batch into `buffer`; from here on its frames count as sent.
    fn encode(&self, context: &Context, batch: Vec<Entry>, buffer: &mut BytesMut) {
        let partitioned = context.partition.contains(&self.peer.id);
        let mut codec = Codec::default();
        let expects_reply = batch.iter().any(|entry| entry.frame.kind() >= Kind::FIRST_APPLICATION);
        self.liveness.record_write(expects_reply, context.now());
        for Entry { frame, notifier } in batch {
            if partitioned {
                context.counters.add(Event::Partitioned);
                notifier.notify_sent();
                continue;
            }
            if codec.encode(&frame, buffer).is_err() {
                continue;
            }
            context.counters.add_sent(frame.kind(), frame.wire_size());
            notifier.notify_sent();
        }
    }

    /// Ends a silent link, retires an idle one, and sends pulses.
    async fn watch(&self, context: &Context) -> End {
        let settings = &context.settings;
        loop {
            let quiet = tokio::time::sleep(settings.idle_timeout.into());
            tokio::select! {
                () = self.liveness.changed.notified() => {}
                () = quiet => {}
            }
            tokio::time::sleep(settings.keepalive_interval.into()).await;
            let now = context.now();
            if age(&self.liveness.awaiting_reply_since, now)
                .is_some_and(|age| age >= settings.silence_timeout)
            {
                return End::Silent;
            }
            let half_interval = time::Span(settings.keepalive_interval.0 / 2);
            if age(&self.liveness.owing_reply_since, now).is_some_and(|age| age >= half_interval) {
                self.push_control(Kind::KEEPALIVE);
            }
            if self.reply_pending() {
                self.liveness.changed.notify_one();
                continue;
            }
            let idle = age(&self.liveness.last_traffic, now)
                .is_some_and(|age| age >= settings.idle_timeout);
            if idle && self.queue.close_if_empty(control_entry(Kind::GOODBYE)) {
                self.liveness.goodbye.store(true, Relaxed);
                context.table.lock().remove(self);
                // The writer says goodbye and ends the link.
                return std::future::pending().await;
            }
        }
    }

    /// Whether a frame of either side is still to be answered.
    fn reply_pending(&self) -> bool {
        self.liveness.awaiting_reply_since.load(Relaxed) != 0
            || self.liveness.owing_reply_since.load(Relaxed) != 0
    }

    fn push_control(&self, kind: Kind) {
        // A full queue is a sign of liveness by itself.
        let _ = self.queue.push(control_entry(kind), Priority::Control);
    }
}

/// A frame of the mesh itself.
fn control_entry(kind: Kind) -> Entry {
    Entry { frame: Frame::new(kind, Bytes::new()), notifier: Notifier::default() }
}
