//! What went in and out, by kind, and what went wrong.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use serde::Serialize;

use crate::frame::Kind;

/// What went wrong, or was ended on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A frame over the limit: its connection was closed.
    Oversized,
    /// A frame that cannot be decoded: its connection was closed.
    Malformed,
    /// A frame of an unknown version: its connection was closed.
    UnknownVersion,
    /// A frame of an unknown kind: it was skipped.
    UnknownKind,
    /// A hello that did not come, names nobody, or is meant for another instance.
    BadHello,
    /// A connection over the limit of connections.
    TooManyConnections,
    /// A try to connect that failed.
    ConnectFailed,
    /// A connection made.
    Connected,
    /// A connection accepted whose hello is good.
    Accepted,
    /// A link closed since nothing came back.
    SilenceTimeout,
    /// A link closed since nothing was to be said.
    IdleTimeout,
    /// A link that broke.
    Broken,
    /// A frame refused since its queue is full.
    QueueFull,
    /// A frame dropped by the cut switch.
    Partitioned,
}

/// Number of events.
const EVENT_COUNT: usize = Event::Partitioned as usize + 1;

/// Frames and bytes of one kind.
#[derive(Debug, Default)]
struct Counter {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl Counter {
    fn add(&self, bytes: usize) {
        self.frames.fetch_add(1, Relaxed);
        self.bytes.fetch_add(bytes as u64, Relaxed);
    }

    fn traffic(&self) -> Traffic {
        Traffic { frames: self.frames.load(Relaxed), bytes: self.bytes.load(Relaxed) }
    }
}

/// Frames and bytes, at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Traffic {
    /// Frames.
    pub frames: u64,
    /// Bytes, with length and envelope.
    pub bytes: u64,
}

/// The counters of one mesh, from its start.
#[derive(Debug)]
pub struct Counters {
    sent: [Counter; Kind::COUNT],
    received: [Counter; Kind::COUNT],
    events: [AtomicU64; EVENT_COUNT],
}

impl Default for Counters {
    fn default() -> Self {
        Counters {
            sent: std::array::from_fn(|_| Counter::default()),
            received: std::array::from_fn(|_| Counter::default()),
            events: std::array::from_fn(|_| AtomicU64::default()),
        }
    }
}

impl Counters {
    pub(crate) fn add_sent(&self, kind: Kind, bytes: usize) {
        let Some(index) = kind.index() else {
            return;
        };
        self.sent[index].add(bytes);
    }

    pub(crate) fn add_received(&self, kind: Kind, bytes: usize) {
        let Some(index) = kind.index() else {
            return;
        };
        self.received[index].add(bytes);
    }

    pub(crate) fn add(&self, event: Event) {
        self.events[event as usize].fetch_add(1, Relaxed);
    }

    /// What was handed to sockets, of one kind.
    pub fn sent(&self, kind: Kind) -> Traffic {
        kind.index().map_or_else(Traffic::default, |index| self.sent[index].traffic())
    }

    /// What came in, of one kind.
    pub fn received(&self, kind: Kind) -> Traffic {
        kind.index().map_or_else(Traffic::default, |index| self.received[index].traffic())
    }

    /// How often something happened.
    pub fn count(&self, event: Event) -> u64 {
        self.events[event as usize].load(Relaxed)
    }
}
