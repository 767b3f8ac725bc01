//! The complete list of answers to callers, and the table that maps each reason to
//! its answer.
//!
//! Every packet ends with exactly one answer. The component that ends it gives a
//! [`Reason`], and only [`Reason::kind`] decides which answer the caller gets. A
//! kind that says "not run" is given only if no byte of the request was sent to a
//! target, or if the target itself said that it did not run the request.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::time;

/// The kind of answer that a caller gets.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// done
    Done,
    /// refused, not run
    Refused,
    /// gave up, not run
    GaveUp,
    /// outcome unknown
    Unknown,
    /// flow ended
    FlowEnded,
    /// bad request
    BadRequest,
}

impl Kind {
    /// Returns whether this kind of answer says that the request was not run.
    pub fn says_not_run(self) -> bool {
        matches!(self, Kind::Refused | Kind::GaveUp | Kind::FlowEnded | Kind::BadRequest)
    }

    /// Returns whether this kind of answer tells the caller when to come back.
    pub fn has_come_back(self) -> bool {
        matches!(self, Kind::Refused | Kind::GaveUp)
    }
}

/// Reason for an answer. Reasons are counted, logged and audited.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// the target answered
    Answered,
    /// no configuration is in force yet
    NoView,
    /// no owner of the target can be reached
    NoOwner,
    /// no target of the service may take new work
    NoTarget,
    /// every target that may take it is full
    Full,
    /// the request could not start before its deadline
    TooLate,
    /// the target refused the request before running it
    Shed,
    /// the target takes no new work
    Leaving,
    /// the address has just changed its service
    Quarantined,
    /// this instance was paused and has not heard its peers again
    Woken,
    /// the owner of the target is changing
    Moving,
    /// the deadline passed in the queue
    Expired,
    /// the caller cancelled in the queue
    Cancelled,
    /// the target was lost while the request ran
    TargetLost,
    /// the deadline passed while the request ran
    Overrun,
    /// the failure domain was taken out while the request ran
    CutShort,
    /// the owner was lost while it held the request
    OwnerLost,
    /// the request may have run before and its answer is not known
    Forgotten,
    /// the failure domain of the flow was taken out
    DomainOut,
    /// no instance knows the flow
    FlowUnknown,
    /// the target of the flow is gone
    TargetGone,
    /// the packet is malformed
    Malformed,
    /// no service has the address
    NoService,
    /// the packet is larger than allowed
    TooLarge,
}

/// Every reason with its kind of answer, in the order of [`Reason`]. The position
/// of a reason is its number in messages between instances.
pub const TABLE: [(Reason, Kind); 24] = [
    (Reason::Answered, Kind::Done),
    (Reason::NoView, Kind::Refused),
    (Reason::NoOwner, Kind::Refused),
    (Reason::NoTarget, Kind::Refused),
    (Reason::Full, Kind::Refused),
    (Reason::TooLate, Kind::Refused),
    (Reason::Shed, Kind::Refused),
    (Reason::Leaving, Kind::Refused),
    (Reason::Quarantined, Kind::Refused),
    (Reason::Woken, Kind::Refused),
    (Reason::Moving, Kind::Refused),
    (Reason::Expired, Kind::GaveUp),
    (Reason::Cancelled, Kind::GaveUp),
    (Reason::TargetLost, Kind::Unknown),
    (Reason::Overrun, Kind::Unknown),
    (Reason::CutShort, Kind::Unknown),
    (Reason::OwnerLost, Kind::Unknown),
    (Reason::Forgotten, Kind::Unknown),
    (Reason::DomainOut, Kind::FlowEnded),
    (Reason::FlowUnknown, Kind::FlowEnded),
    (Reason::TargetGone, Kind::FlowEnded),
    (Reason::Malformed, Kind::BadRequest),
    (Reason::NoService, Kind::BadRequest),
    (Reason::TooLarge, Kind::BadRequest),
];

impl Reason {
    /// Returns the kind of answer for this reason.
    pub fn kind(self) -> Kind {
        TABLE[self as usize].1
    }
}

/// A final answer to a caller without a payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Answer {
    /// Reason for the answer.
    pub reason: Reason,
    /// Time after which the caller should come back. Set only if
    /// [`Kind::has_come_back`] holds.
    pub come_back: Option<time::Span>,
}

impl Answer {
    /// Creates an answer without a time to come back.
    pub fn new(reason: Reason) -> Self {
        Answer { reason, come_back: None }
    }

    /// Creates an answer that asks the caller to come back after `span`.
    pub fn come_back(reason: Reason, span: time::Span) -> Self {
        Answer { reason, come_back: Some(span) }
    }

    /// Returns the kind of answer that the caller gets.
    pub fn kind(&self) -> Kind {
        self.reason.kind()
    }
}
