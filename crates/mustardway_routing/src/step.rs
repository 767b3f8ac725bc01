//! Asks of an ingress to owners, their replies, and the next step of an attempt.

use mustardway_types::answer::Answer;
use mustardway_types::time::Span;
use mustardway_types::{instance, target};

/// Kind of an ask to the owner of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Mode {
    /// The flow is new and may be placed on the target.
    Open,
    /// The flow is new and may be placed on the target, which is the last
    /// candidate.
    OpenLast,
    /// The flow is established on the target, as the ingress has seen itself or
    /// has learned from an owner.
    Established,
    /// The flow may already be placed on any target of this owner, which searches
    /// for it.
    Find,
    /// The flow is to be placed on `elsewhere` unless it is already placed on the
    /// target.
    Reserve {
        /// First candidate in the view of the asking instance.
        elsewhere: target::Id,
    },
}

impl Mode {
    /// Returns whether the owner may place the flow on the target.
    pub fn opens(&self) -> bool {
        matches!(self, Mode::Open | Mode::OpenLast)
    }
}

/// An ask to the owner of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Instance that owns the target.
    pub owner: instance::Id,
    /// Target that the ask is about.
    pub target: target::Id,
    /// Kind of the ask.
    pub mode: Mode,
    /// Whether no request of the flow can have run before. Used only with a mode that
    /// may place the flow.
    pub not_run_before: bool,
}

/// The next step of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask an owner.
    Ask(Ask),
    /// Wait for this long, then resume the attempt.
    Pause(Span),
    /// Answer the caller.
    Answer(Answer),
}

/// Outcome of an ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The owner gave a final answer that is not the target's.
    Answer(Answer),
    /// The owner did not place the flow. The next candidate may be asked.
    TryNext {
        /// Answer to the caller if there is no next candidate.
        answer: Answer,
        /// Whether no request of the flow can have run before.
        not_run_before: bool,
    },
    /// The owner has recorded that the flow is placed on the target given in
    /// [`Mode::Reserve`].
    Reserved {
        /// Whether no request of the flow can have run before.
        not_run_before: bool,
    },
    /// The flow is placed on another target.
    Moved(target::Id),
    /// The owner does not know the flow on the target.
    UnknownFlow {
        /// Whether the owner has searched all its targets.
        is_complete: bool,
    },
    /// The asked instance does not own the target. Holds the owner if the asked
    /// instance knows it.
    NotOwner(Option<instance::Id>),
    /// The owner is not ready yet and should be asked again after this time.
    Wait(Span),
    /// No byte of the ask was sent.
    NotSent,
    /// The ask was sent, and the owner was lost before it answered.
    Lost,
}
