//! One connection to a peer, used in both directions.

use std::fmt;
use std::future::poll_fn;
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

/// Approximate number of bytes that are encoded and written at once.
const BATCH_BYTES: usize = 64 << 10;
/// Maximum capacity in bytes of a write buffer that is kept between batches.
const BUFFER_KEPT_BYTES: usize = 16 << 10;
/// Initial capacity in bytes of a reader's buffer.
const READ_BUFFER_BYTES: usize = 2 << 10;
/// Size from which a part of a frame is reported to its sender; the frames of the mesh
/// itself, which need no reply, are smaller.
const PART_MIN_BYTES: usize = 1 << 10;

/// Number of a link, unique within one mesh since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number(pub u64);

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Another instance and the address where it accepts connections of peers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Name of the instance.
    pub id: instance::Id,
    /// Address where the instance listens.
    pub address: SocketAddr,
}

/// The report of a broken link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Down {
    /// The instance at the other end.
    pub peer: Peer,
    /// Number of the link, as in [`crate::transmission::Ticket::link`].
    pub link: Number,
}

/// Which side opened the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    Outbound,
    Inbound,
}

/// The reason why a link ended.
#[derive(Debug)]
pub(crate) enum End {
    /// The peer closed the connection unexpectedly, or the socket failed.
    Broken,
    /// A frame could not be decoded.
    Unreadable(frame::Error),
    /// Neither a reply nor a sign of progress was received within the silence timeout.
    Silent,
    /// Either side closed the link because it was idle, with no reply pending.
    Idle,
    /// This side shut the link down, after it sent its queued frames or at the deadline
    /// of [`crate::mesh::Mesh::close`].
    Finished,
}

pub(crate) type Reader = FramedRead<OwnedReadHalf, Codec>;

/// Creates a frame reader with a small initial buffer.
pub(crate) fn frame_reader(half: OwnedReadHalf) -> Reader {
    FramedRead::with_capacity(half, Codec::default(), READ_BUFFER_BYTES)
}

/// One connection that is established or being established.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) number: Number,
    pub(crate) peer: Peer,
    pub(crate) direction: Direction,
    pub(crate) queue: Queue,
    /// Whether the connection is established.
    open: AtomicBool,
    liveness: Liveness,
}

/// State for keepalives, the silence timeout and the idle timeout. Times are in
/// microseconds since the start of the mesh, 0 for none.
#[derive(Debug, Default)]
struct Liveness {
    /// First write of an application frame since a frame was last received, or the last
    /// sign of progress since then.
    awaiting_reply_since: AtomicU64,
    /// First application frame received since the last write.
    owing_reply_since: AtomicU64,
    /// First part of a large frame received since the last write.
    owing_progress_since: AtomicU64,
    /// Last application frame in either direction.
    last_traffic: AtomicU64,
    /// Whether either side has sent a goodbye.
    goodbye: AtomicBool,
    /// Notified when one of the times above, except `last_traffic`, is set.
    changed: Notify,
}

impl Liveness {
    /// Records a write of frames of `kinds`.
    fn record_write(&self, kinds: &[Kind], now: time::Instant) {
        self.owing_progress_since.store(0, Relaxed);
        // The frame may be complete by now and still needs its reply.
        if kinds.iter().any(|kind| *kind != Kind::PROGRESS) {
            self.owing_reply_since.store(0, Relaxed);
        }
        if kinds.iter().all(|kind| *kind < Kind::FIRST_APPLICATION) {
            return;
        }
        self.last_traffic.store(now.0, Relaxed);
        self.set_if_unset(&self.awaiting_reply_since, now);
    }

    /// Records a received frame, which counts as the reply to all writes before it.
    fn record_receive(&self) {
        self.awaiting_reply_since.store(0, Relaxed);
    }

    /// Records that the peer is alive but has not replied yet.
    fn record_progress(&self, now: time::Instant) {
        if self.awaiting_reply_since.load(Relaxed) != 0 {
            self.awaiting_reply_since.store(now.0.max(1), Relaxed);
        }
    }

    /// Records a received part of a large frame, which its sender has to learn of.
    fn record_part(&self, now: time::Instant) {
        self.record_progress(now);
        self.set_if_unset(&self.owing_progress_since, now);
    }

    /// Records a received application frame, which expects a reply.
    fn record_request(&self, now: time::Instant) {
        self.last_traffic.store(now.0, Relaxed);
        self.set_if_unset(&self.owing_reply_since, now);
    }

    /// Sets `since` to `now` and notifies the watcher, unless it is already set.
    fn set_if_unset(&self, since: &AtomicU64, now: time::Instant) {
        if since.load(Relaxed) == 0 {
            since.store(now.0.max(1), Relaxed);
            self.changed.notify_one();
        }
    }
}

/// Returns how long ago `since` was set; none if it is not set.
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

    /// Reads, writes and checks timeouts until one of these ends the link.
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
            let frame = match self.next_frame(context, reader).await {
                Some(Ok(frame)) => frame,
                Some(Err(frame::Error::Socket(_))) | None => return self.end_on_close(),
                Some(Err(error)) => return End::Unreadable(error),
            };
            self.receive(context, frame);
        }
    }

    /// Waits for the next frame and records the parts of a large one as they arrive.
    async fn next_frame(
        &self,
        context: &Context,
        reader: &mut Reader,
    ) -> Option<Result<Frame, frame::Error>> {
        let mut received = PART_MIN_BYTES;
        let next = poll_fn(|task| {
            let next = reader.poll_next_unpin(task);
            let buffered = reader.read_buffer().len();
            let has_part = next.is_pending() && buffered > received;
            if has_part && !context.partition.contains(&self.peer.id) {
                received = buffered;
                self.liveness.record_part(context.now());
            }
            next
        });
        next.await
    }

    /// Returns the reason to report when the peer has closed the connection.
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
        if kind == Kind::PROGRESS {
            self.liveness.record_progress(context.now());
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
        // The peer reads up to the end of the stream and closes, which ends the reader
        // of this side.
        loop {
            tokio::time::sleep(context.settings.silence_timeout.into()).await;
            let age = age(&self.liveness.awaiting_reply_since, context.now());
            if age.is_none_or(|age| age >= context.settings.silence_timeout) {
                return End::Finished;
            }
        }
    }

    /// Encodes a batch into `buffer`; from here on its frames count as sent.
    fn encode(&self, context: &Context, batch: Vec<Entry>, buffer: &mut BytesMut) {
        let partitioned = context.partition.contains(&self.peer.id);
        let mut codec = Codec::default();
        let kinds: Vec<Kind> = batch.iter().map(|entry| entry.frame.kind()).collect();
        self.liveness.record_write(&kinds, context.now());
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

    /// Ends the link at the silence timeout, closes it at the idle timeout, and sends
    /// keepalives.
    async fn watch(&self, context: &Context) -> End {
        let settings = &context.settings;
        loop {
            let idle_timer = tokio::time::sleep(settings.idle_timeout.into());
            tokio::select! {
                () = self.liveness.changed.notified() => {}
                () = idle_timer => {}
            }
            tokio::time::sleep(settings.keepalive_interval.into()).await;
            let now = context.now();
            if age(&self.liveness.awaiting_reply_since, now)
                .is_some_and(|age| age >= settings.silence_timeout)
            {
                return End::Silent;
            }
            let half_interval = time::Span(settings.keepalive_interval.0 / 2);
            let is_due = |since| age(since, now).is_some_and(|age| age >= half_interval);
            if is_due(&self.liveness.owing_reply_since) {
                self.push_control(Kind::KEEPALIVE);
            } else if is_due(&self.liveness.owing_progress_since) {
                self.push_control(Kind::PROGRESS);
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
                // The writer sends the goodbye and ends the link.
                return std::future::pending().await;
            }
        }
    }

    /// Returns whether either side still waits for a reply.
    fn reply_pending(&self) -> bool {
        self.liveness.awaiting_reply_since.load(Relaxed) != 0
            || self.liveness.owing_reply_since.load(Relaxed) != 0
            || self.liveness.owing_progress_since.load(Relaxed) != 0
    }

    fn push_control(&self, kind: Kind) {
        // If the queue is full, the frames in it show the peer that this side is alive.
        let _ = self.queue.push(control_entry(kind), Priority::Control);
    }
}

/// Creates a queue entry for a frame of the mesh itself, without a body.
fn control_entry(kind: Kind) -> Entry {
    Entry { frame: Frame::new(kind, Bytes::new()), notifier: Notifier::default() }
}
