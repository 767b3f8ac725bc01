//! Decisions worth a log line, and why packets are dropped.

use displaydoc::Display;
use mustardway_types::time::Span;
use mustardway_types::{domain, target};

use crate::packet::Flow;

/// Why a packet was dropped without an answer.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// nothing is published yet
    Unconfigured,
    /// no such route, but the copy is too old to be sure
    NoRoute,
    /// its token names no known target
    UnknownToken,
    /// its token names a target of a service that the route never led to
    ForeignToken,
    /// no flow to open and no token
    NoToken,
    /// it would open a flow, but has waited while the process did not run
    Stale,
}

impl DropReason {
    /// All of them.
    pub const ALL: [DropReason; 6] = [
        DropReason::Unconfigured,
        DropReason::NoRoute,
        DropReason::UnknownToken,
        DropReason::ForeignToken,
        DropReason::NoToken,
        DropReason::Stale,
    ];

    /// Its name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            DropReason::Unconfigured => "unconfigured",
            DropReason::NoRoute => "no-route",
            DropReason::UnknownToken => "unknown-token",
            DropReason::ForeignToken => "foreign-token",
            DropReason::NoToken => "no-token",
            DropReason::Stale => "stale",
        }
    }
}

/// Why a flow was reset.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResetReason {
    /// no such route
    NoRoute,
    /// the route was removed
    RouteRemoved,
    /// no target of the route may take it
    NoTarget,
    /// its target no longer answers
    TargetLost,
    /// its token names no known target
    UnknownToken,
}

impl ResetReason {
    /// All of them.
    pub const ALL: [ResetReason; 5] = [
        ResetReason::NoRoute,
        ResetReason::RouteRemoved,
        ResetReason::NoTarget,
        ResetReason::TargetLost,
        ResetReason::UnknownToken,
    ];

    /// Its name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            ResetReason::NoRoute => "no-route",
            ResetReason::RouteRemoved => "route-removed",
            ResetReason::NoTarget => "no-target",
            ResetReason::TargetLost => "target-lost",
            ResetReason::UnknownToken => "unknown-token",
        }
    }
}

/// A time that callers waited, as seen from here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// From the opening packet until the caller showed that the flow is open.
    Open(Span),
    /// From a request until the caller had the first part of its answer.
    Answer(Span),
}

/// One decision.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// A new flow was placed.
    Placed {
        /// The flow.
        flow: Flow,
        /// Its target.
        target: target::Id,
        /// Copies of the opening packet that went before.
        copies: u32,
        /// Requests that were seen waiting at the target.
        waiting: u32,
        /// Time since the published state was confirmed.
        age: Option<Span>,
    },
    /// A flow was reset.
    Reset {
        /// The flow.
        flow: Flow,
        /// Its target, where it has one.
        target: Option<target::Id>,
        /// Why.
        reason: ResetReason,
        /// Time since the published state was confirmed.
        age: Option<Span>,
    },
    /// A target left something unanswered.
    Doubted {
        /// The target.
        target: target::Id,
        /// The flow that noticed; none where a peer told.
        flow: Option<Flow>,
    },
    /// A target does not answer a probe either.
    Lost {
        /// The target.
        target: target::Id,
        /// Flows that were reset.
        flows: usize,
    },
    /// A target answers.
    Trusted {
        /// The target.
        target: target::Id,
    },
    /// A configuration came into force.
    Configured {
        /// Its version.
        version: u64,
        /// Its routes.
        routes: usize,
    },
    /// A target was registered, or registered anew.
    Registered {
        /// The target.
        target: target::Id,
        /// It is about to leave.
        leaving: bool,
    },
    /// A target is no longer registered.
    Unregistered {
        /// The target.
        target: target::Id,
    },
    /// Less than half of what callers ask can be placed, or that is over.
    Useful {
        /// At least half can be placed.
        is_useful: bool,
    },
    /// A failure domain gets nothing, or is taken back.
    Evacuated {
        /// The failure domain.
        domain: domain::Name,
        /// It gets nothing.
        out: bool,
    },
}
