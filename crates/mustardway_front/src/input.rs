//! Events that other tasks send to the [`dispatcher`](crate::dispatcher).

use bytes::Bytes;
use mustardway_flow::health::Outcome;
use mustardway_mirror::node::{Answer, Failure, Ticket};
use mustardway_peer::frame::Kind;
use mustardway_types::time::Span;
use mustardway_types::{instance, target};

/// An event for the dispatcher.
#[derive(Debug)]
pub enum Input {
    /// A peer sent a frame.
    Frame {
        /// Name of the peer.
        from: instance::Id,
        /// Type of the message in the body.
        kind: Kind,
        /// The encoded message.
        body: Bytes,
    },
    /// The link to this peer broke.
    LinkDown(instance::Id),
    /// Result of a read of the platform, and how long the read took.
    Answer(Ticket, Result<Answer, Failure>, Span),
    /// The connection of a probe of this target was established.
    ProbeConnected(target::Id),
    /// Outcome of a probe of this target.
    Probed(target::Id, Outcome),
}
