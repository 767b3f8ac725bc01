//! What the task that owns the decisions is told by others.

use bytes::Bytes;
use mustardway_flow::health::Outcome;
use mustardway_mirror::node::{Answer, Failure};
use mustardway_peer::frame::Kind;
use mustardway_types::time::Span;
use mustardway_types::{instance, target};

/// What the task is told.
#[derive(Debug)]
pub enum Input {
    /// A frame of a peer.
    Frame {
        /// The peer.
        from: instance::Id,
        /// What the body holds.
        kind: Kind,
        /// The message.
        body: Bytes,
    },
    /// The link to a peer broke.
    LinkDown(instance::Id),
    /// The platform's answer, and the time that it took.
    Answer(Result<Answer, Failure>, Span),
    /// What a probe found.
    Probed(target::Id, Outcome),
}
