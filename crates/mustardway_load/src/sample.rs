//! What one instance observes of the flows that it forwards.

use mustardway_types::time::Span;

use crate::key;

/// One observation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sample {
    /// A request was answered.
    Answered(Answer),
    /// A caller sent a request.
    Requested(key::Route),
    /// A new flow was placed.
    Opened(key::Route),
    /// A new flow was refused.
    Refused(key::Route),
}

/// An answered request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer {
    /// The target that answered.
    pub target: key::Target,
    /// The route of the request.
    pub route: key::Route,
    /// Time that the request spent at the target, waiting there included, from its last byte
    /// to the first part of the answer, without the round trip.
    pub time: Span,
    /// Whether the target had a free slot when the request was sent, so that the time shows
    /// the speed of the target and not the length of its queue.
    pub is_unqueued: bool,
    /// Whether the answer had far fewer bytes than usual for its route, as an error has.
    pub is_short: bool,
}
