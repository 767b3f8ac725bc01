//! What an ingress asks of owners, what they reply, and what it does next.

use mustardway_types::answer::Answer;
use mustardway_types::time::Span;
use mustardway_types::{instance, target};

/// What an ingress asks of an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Mode {
    /// The flow is new and may be placed on the target.
    Open,
    /// The same, and no other target is left for it.
    OpenLast,
    /// The flow lives on the target: the ingress vouches for it.
    Established,
    /// The flow may live on any target of this owner.
    Find,
    /// The flow goes to `elsewhere` unless it already lives here.
    Reserve {
        /// First candidate in the asking instance's view.
        elsewhere: target::Id,
    },
}

impl Mode {
    /// Whether the flow may be placed on the target asked for.
    pub fn opens(&self) -> bool {
        matches!(self, Mode::Open | Mode::OpenLast)
    }
}

/// One question to an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Instance that owns the target.
    pub owner: instance::Id,
    /// Target that the question is about.
    pub target: target::Id,
    /// What is asked.
    pub mode: Mode,
    /// With a mode that opens: whether no request of the flow can have run before.
    pub whole: bool,
}

/// What an ingress does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask an owner.
    Ask(Ask),
    /// Wait, then resume.
    Pause(Span),
    /// Answer the caller.
    Answer(Answer),
}

/// What became of an ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The owner answered without an answer of the target.
    Answer(Answer),
    /// The flow is not opened there; the next candidate may be asked.
    TryNext {
        /// The answer where there is no next candidate.
        answer: Answer,
        /// Whether no request of the flow can have run before.
        whole: bool,
    },
    /// The flow is marked as placed where [`Mode::Reserve`] said.
    Reserved {
        /// Whether no request of the flow can have run before.
        whole: bool,
    },
    /// The flow lives on another target.
    Moved(target::Id),
    /// The flow is not known there.
    UnknownFlow {
        /// Nor at any other target of that owner.
        whole: bool,
    },
    /// The asked instance does not own the target; who does, if known.
    NotOwner(Option<instance::Id>),
    /// The owner will be ready after a while.
    Wait(Span),
    /// No byte of the ask was sent.
    NotSent,
    /// The ask was sent and the owner lost before it answered.
    Lost,
}
