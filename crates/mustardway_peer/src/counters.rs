//! Counters of sent and received frames by kind, and of link events.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use serde::Serialize;

use crate::frame::Kind;

/// A counted event of connections, links or frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A frame exceeded the size limit; its connection was closed.
    Oversized,
    /// A frame could not be decoded; its connection was closed.
    Malformed,
    /// A frame had an unknown protocol version; its connection was closed.
    UnknownVersion,
    /// A frame had an unknown kind; it was skipped.
    UnknownKind,
    /// A hello did not arrive in time, had no valid sender, or was addressed to another
    /// instance.
    BadHello,
    /// An inbound connection exceeded the connection limit and was closed.
    TooManyConnections,
    /// An attempt to connect failed.
    ConnectFailed,
    /// An outbound connection was established.
    Connected,
    /// An inbound connection was accepted after a valid hello.
    Accepted,
    /// A link was closed because no reply arrived within the silence timeout.
    SilenceTimeout,
    /// A link was closed because it was idle.
    IdleTimeout,
    /// A link broke.
    Broken,
    /// A frame was refused because its queue was full.
    QueueFull,
    /// A frame was dropped by a simulated network partition.
    Partitioned,
}

/// Number of [`Event`] variants.
const EVENT_COUNT: usize = Event::Partitioned as usize + 1;

/// Atomic frame and byte counts of one frame kind in one direction.
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

/// A snapshot of frame and byte counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Traffic {
    /// Number of frames.
    pub frames: u64,
    /// Number of bytes, including length prefixes and envelopes.
    pub bytes: u64,
}

/// The counters of one mesh since its start.
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

    /// Returns the traffic of `kind` that was handed to sockets.
    pub fn sent(&self, kind: Kind) -> Traffic {
        kind.index().map_or_else(Traffic::default, |index| self.sent[index].traffic())
    }

    /// Returns the received traffic of `kind`.
    pub fn received(&self, kind: Kind) -> Traffic {
        kind.index().map_or_else(Traffic::default, |index| self.received[index].traffic())
    }

    /// Returns how often `event` occurred.
    pub fn count(&self, event: Event) -> u64 {
        self.events[event as usize].load(Relaxed)
    }
}
