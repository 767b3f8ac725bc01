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
use crate::transmission::Stub;

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
pub(crate) enum Origin {
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
pub(crate) fn reader(half: OwnedReadHalf) -> Reader {
    FramedRead::with_capacity(half, Codec::default(), READ_BUFFER_BYTES)
}

/// One connection, or one that is being made.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) number: Number,
    pub(crate) peer: Peer,
    pub(crate) origin: Origin,
    pub(crate) queue: Queue,
    /// Whether the connection is made.
    open: AtomicBool,
    life: Life,
}

/// Signs of life on a link: points of time in microseconds, 0 for none.
#[derive(Debug, Default)]
struct Life {
    /// First write since something came in.
    written: AtomicU64,
    /// First frame that came in since the last write.
    unanswered: AtomicU64,
    /// Last traffic either way.
    last: AtomicU64,
    /// Either side said goodbye.
    parting: AtomicBool,
    /// One of `written` and `unanswered` was set.
    stirred: Notify,
}

impl Life {
    /// Something was written; whether it wants an answer.
    fn wrote(&self, wants_answer: bool, now: time::Instant) {
        self.unanswered.store(0, Relaxed);
        if !wants_answer {
            return;
        }
        self.last.store(now.0, Relaxed);
        self.mark(&self.written, now);
    }

    /// Something came in.
    fn heard(&self) {
        self.written.store(0, Relaxed);
    }

    /// Something came in that wants an answer.
    fn asked(&self, now: time::Instant) {
        self.last.store(now.0, Relaxed);
        self.mark(&self.unanswered, now);
    }

    /// Sets `mark` if it is not set.
    fn mark(&self, mark: &AtomicU64, now: time::Instant) {
        if mark.load(Relaxed) == 0 {
            mark.store(now.0.max(1), Relaxed);
            self.stirred.notify_one();
        }
    }
}

/// How long ago `mark` was set, if it is.
fn age(mark: &AtomicU64, now: time::Instant) -> Option<time::Span> {
    match mark.load(Relaxed) {
        0 => None,
        at => Some(now.since(time::Instant(at))),
    }
}

impl Link {
    pub(crate) fn new(number: Number, peer: Peer, origin: Origin, queue: Queue) -> Self {
        let open = AtomicBool::new(origin == Origin::Inbound);
        Link { number, peer, origin, queue, open, life: Life::default() }
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
        self.life.last.store(context.now().0, Relaxed);
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
                Some(Err(frame::Error::Socket(_))) | None => return self.closed(),
                Some(Err(error)) => return End::Unreadable(error),
            };
            self.receive(context, frame);
        }
    }

    /// The end of a link that the other side closed.
    fn closed(&self) -> End {
        let orderly = self.life.parting.load(Relaxed) && self.life.written.load(Relaxed) == 0;
        if orderly { End::Idle } else { End::Broken }
    }

    fn receive(&self, context: &Context, frame: Frame) {
        if context.cut.contains(&self.peer.id) {
            context.counters.add(Event::Cut);
            return;
        }
        let kind = frame.kind();
        context.counters.add_received(kind, frame.wire_size());
        if kind == Kind::GOODBYE {
            self.life.parting.store(true, Relaxed);
            return;
        }
        self.life.heard();
        if kind < Kind::FIRST_APPLICATION {
            return;
        }
        self.life.asked(context.now());
        if !context.settings.kinds.contains(&kind) {
            context.counters.add(Event::UnknownKind);
            context.log.unknown_kind(&self.peer, kind);
            return;
        }
        context.handler.frame(&self.peer.id, frame);
    }

    async fn write(&self, context: &Context, writer: &mut OwnedWriteHalf) -> End {
        let mut buffer = BytesMut::new();
        while let Some(batch) = self.queue.batch(BATCH_BYTES).await {
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
        tokio::time::sleep(context.settings.silence.into()).await;
        End::Finished
    }

    /// Puts a batch into `buffer`; from here on its frames count as sent.
    fn encode(&self, context: &Context, batch: Vec<Entry>, buffer: &mut BytesMut) {
        let cut = context.cut.contains(&self.peer.id);
        let mut codec = Codec::default();
        let wants_answer = batch.iter().any(|entry| entry.frame.kind() >= Kind::FIRST_APPLICATION);
        self.life.wrote(wants_answer, context.now());
        for Entry { frame, stub } in batch {
            if cut {
                context.counters.add(Event::Cut);
                stub.sent();
                continue;
            }
            if codec.encode(&frame, buffer).is_err() {
                continue;
            }
            context.counters.add_sent(frame.kind(), frame.wire_size());
            stub.sent();
        }
    }

    /// Ends a silent link, retires an idle one, and sends pulses.
    async fn watch(&self, context: &Context) -> End {
        let settings = &context.settings;
        loop {
            let quiet = tokio::time::sleep(settings.idle.into());
            tokio::select! {
                () = self.life.stirred.notified() => {}
                () = quiet => {}
            }
            tokio::time::sleep(settings.pulse.into()).await;
            let now = context.now();
            if age(&self.life.written, now).is_some_and(|age| age >= settings.silence) {
                return End::Silent;
            }
            let half_pulse = time::Span(settings.pulse.0 / 2);
            if age(&self.life.unanswered, now).is_some_and(|age| age >= half_pulse) {
                self.say(Kind::KEEPALIVE);
            }
            if self.in_doubt() {
                self.life.stirred.notify_one();
                continue;
            }
            let idle = age(&self.life.last, now).is_some_and(|age| age >= settings.idle);
            if idle && self.queue.retire(control(Kind::GOODBYE)) {
                self.life.parting.store(true, Relaxed);
                context.table.lock().remove(self);
                // The writer says goodbye and ends the link.
                return std::future::pending().await;
            }
        }
    }

    /// Whether a frame of either side is still to be answered.
    fn in_doubt(&self) -> bool {
        self.life.written.load(Relaxed) != 0 || self.life.unanswered.load(Relaxed) != 0
    }

    fn say(&self, kind: Kind) {
        // A full queue is a sign of life by itself.
        let _ = self.queue.push(control(kind), Priority::Control);
    }
}

/// A frame of the mesh itself.
fn control(kind: Kind) -> Entry {
    Entry { frame: Frame::new(kind, Bytes::new()), stub: Stub::default() }
}
