//! Input of the state machine.

use mustardway_types::instance;
use mustardway_types::revision;
use mustardway_types::time::Span;

use crate::message;
use crate::platform;

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed. The caller sends this at least every 50 ms.
    Tick,
    /// The platform has answered the latest [`crate::action::Action::Read`], or the
    /// read has failed.
    Platform(Result<platform::Answer, platform::Failure>),
    /// A message has arrived.
    Received {
        /// The sender, as identified by the transport.
        from: instance::Id,
        /// The message.
        message: message::Message,
    },
    /// A heartbeat announced which revision a peer has in force.
    PeerRevision {
        /// The peer.
        from: instance::Id,
        /// Number of the peer's revision.
        number: revision::Number,
        /// Digest of the peer's revision.
        digest: revision::Digest,
        /// Time since the platform last confirmed the revision to any instance.
        age: Span,
    },
    /// The complete list of membership neighbours.
    Neighbours(Vec<instance::Id>),
    /// Number of live instances. The larger the fleet, the longer the time over
    /// which instances that are no readers spread their reads.
    LiveCount(usize),
    /// Whether this instance is a reader of the platform.
    Reader(bool),
    /// Whether this instance is the verifier, whose long polls are short. At most one
    /// reader of the fleet needs to be.
    Verifier(bool),
    /// The caller has checked a proposed revision.
    Verdict {
        /// Number of the proposed revision.
        number: revision::Number,
        /// Whether the revision is valid. If so, it is in force from now on.
        accepted: bool,
    },
}
