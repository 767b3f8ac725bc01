//! Decisions to log, and the reasons for which packets are dropped and flows reset.

use displaydoc::Display;
use mustardway_admission::controller::Change;
use mustardway_types::time::Span;
use mustardway_types::{domain, service, target};

use crate::health::Evidence;
use crate::packet::Flow;

/// The reason for which a packet was dropped without an answer.
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
    /// it would open a flow, but the routers are about to choose other instances
    Withdrawing,
    /// peers do not know its target yet, and too many packets wait
    Unconfirmed,
    /// no target may take it, but its flow may have opened through another instance
    UnknownCopy,
}

impl DropReason {
    /// All reasons, in the order of declaration.
    pub const ALL: [DropReason; 9] = [
        DropReason::Unconfigured,
        DropReason::NoRoute,
        DropReason::UnknownToken,
        DropReason::ForeignToken,
        DropReason::NoToken,
        DropReason::Stale,
        DropReason::Withdrawing,
        DropReason::Unconfirmed,
        DropReason::UnknownCopy,
    ];

    /// Returns the label value used in metrics.
    pub fn label(self) -> &'static str {
        match self {
            DropReason::Unconfigured => "unconfigured",
            DropReason::NoRoute => "no-route",
            DropReason::UnknownToken => "unknown-token",
            DropReason::ForeignToken => "foreign-token",
            DropReason::NoToken => "no-token",
            DropReason::Stale => "stale",
            DropReason::Withdrawing => "withdrawing",
            DropReason::Unconfirmed => "unconfirmed",
            DropReason::UnknownCopy => "unknown-copy",
        }
    }
}

/// The reason for which a flow was reset.
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
    /// the service is full
    Overloaded,
    /// the service is full, and the caller has used up its share
    CallerShare,
}

impl ResetReason {
    /// All reasons, in the order of declaration.
    pub const ALL: [ResetReason; 7] = [
        ResetReason::NoRoute,
        ResetReason::RouteRemoved,
        ResetReason::NoTarget,
        ResetReason::TargetLost,
        ResetReason::UnknownToken,
        ResetReason::Overloaded,
        ResetReason::CallerShare,
    ];

    /// Returns the label value used in metrics.
    pub fn label(self) -> &'static str {
        match self {
            ResetReason::NoRoute => "no-route",
            ResetReason::RouteRemoved => "route-removed",
            ResetReason::NoTarget => "no-target",
            ResetReason::TargetLost => "target-lost",
            ResetReason::UnknownToken => "unknown-token",
            ResetReason::Overloaded => "overloaded",
            ResetReason::CallerShare => "caller-share",
        }
    }
}

/// How long a caller waited, as observed at this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// From the opening packet until the caller showed that the flow is open.
    Open(Span),
    /// From a request until the caller showed that it had received the first part of
    /// the answer.
    Answer(Span),
}

/// A decision to log.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// A new flow was placed.
    Placed {
        /// The flow.
        flow: Flow,
        /// The target of the flow.
        target: target::Id,
        /// Number of copies of the opening packet that the caller sent before this
        /// one.
        copies: u32,
        /// Requests seen here that wait at the target.
        waiting: u32,
        /// Time since the platform confirmed the published state.
        age: Option<Span>,
    },
    /// A flow opened at one of several targets that got its opening packet.
    Contested {
        /// The flow.
        flow: Flow,
        /// The target that holds the flow.
        target: target::Id,
    },
    /// A packet of an open flow came that this instance had not seen open.
    Moved {
        /// The flow.
        flow: Flow,
        /// The target that the packet was forwarded to.
        target: target::Id,
        /// Whether the token carries the mark of flows whose opening packet may have
        /// reached several targets.
        is_marked: bool,
    },
    /// Packets of a contested flow were forwarded to a target that does not hold it.
    Misdirected {
        /// The flow.
        flow: Flow,
        /// The target that got the packets.
        target: target::Id,
        /// The target that holds the flow, as a peer has told since.
        holder: target::Id,
    },
    /// A flow was reset.
    Reset {
        /// The flow.
        flow: Flow,
        /// The target of the flow, if known.
        target: Option<target::Id>,
        /// The reason for the reset.
        reason: ResetReason,
        /// Time since the platform confirmed the published state.
        age: Option<Span>,
    },
    /// A target became suspected.
    Doubted {
        /// The target.
        target: target::Id,
        /// The flow whose packet was left unanswered, if the suspicion comes from a
        /// flow.
        flow: Option<Flow>,
    },
    /// A target was found lost.
    Lost {
        /// The target.
        target: target::Id,
        /// Number of flows that were reset.
        flows: usize,
        /// The evidence against the target.
        evidence: Evidence,
        /// Time since the latest probe of any target that was answered was sent.
        answered_probe_age: Option<Span>,
    },
    /// A target is healthy again.
    Trusted {
        /// The target.
        target: target::Id,
    },
    /// A configuration came into force.
    Configured {
        /// Version of the configuration.
        version: u64,
        /// Number of routes in the configuration.
        routes: usize,
    },
    /// A target was registered, came back, restarted, or started or stopped leaving.
    Registered {
        /// The target.
        target: target::Id,
        /// Whether the target is leaving and gets no new flows.
        leaving: bool,
    },
    /// A target was unregistered.
    Unregistered {
        /// The target.
        target: target::Id,
    },
    /// The instance can place less than half of the demand, or can place at least
    /// half again.
    Useful {
        /// Whether at least half of the demand can be placed.
        is_useful: bool,
    },
    /// A failure domain cannot be reached, or can be reached again.
    Reachable {
        /// The failure domain.
        domain: domain::Name,
        /// Whether it can be reached.
        is_reachable: bool,
    },
    /// A failure domain was evacuated, or is in use again.
    Evacuated {
        /// The failure domain.
        domain: domain::Name,
        /// Whether the failure domain is evacuated and gets no new flows.
        out: bool,
    },
    /// A service became full, or has spare capacity again.
    Contention {
        /// The service.
        service: service::Name,
        /// Its new state, with the load.
        change: Change,
    },
    /// A target became slower or faster than usual, began or stopped sending short answers,
    /// or is as usual again.
    Slow {
        /// The target.
        target: target::Id,
        /// Mean ratio of its times to the usual ones.
        slowness: f64,
        /// Share of its answers that are short.
        short_share: f64,
    },
}
