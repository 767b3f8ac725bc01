//! What one instance is told.

use mustardway_types::instance;
use mustardway_types::revision;
use mustardway_types::time::Span;

use crate::message;
use crate::platform;

/// What one instance is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; given at least every 50 ms.
    Tick,
    /// The answer to the latest [`crate::action::Action::Read`].
    Platform(Result<platform::Answer, platform::Failure>),
    /// A message has arrived.
    Received {
        /// Who sent it, as the transport knows.
        from: instance::Id,
        /// What it says.
        message: message::Message,
    },
    /// A peer's heartbeat told which revision it has in force.
    PeerRevision {
        /// The peer.
        from: instance::Id,
        /// Number of its revision.
        number: revision::Number,
        /// Digest of its revision.
        digest: revision::Digest,
        /// Time since the platform confirmed it to some instance.
        age: Span,
    },
    /// The membership neighbours, whole.
    Neighbours(Vec<instance::Id>),
    /// Number of live instances, which spreads the reads of those that are no
    /// readers over a longer time in a larger fleet.
    LiveCount(usize),
    /// Whether this instance is a reader of the platform.
    Reader(bool),
    /// Whether a proposed revision is good.
    Verdict {
        /// The proposed revision.
        number: revision::Number,
        /// Good, and in force from now on.
        accepted: bool,
    },
}
