//! Questions to peers about the age of the published state.
//!
//! A message may spend seconds in queues, on a full link or in a paused process, so the
//! age that it tells proves nothing about now. The answer to a question does: it was
//! given after the question was sent. What a peer says unasked only causes a question.

use std::collections::BTreeMap;

use mustardway_types::instance;
use mustardway_types::time::{Instant, Span};

use super::{Action, Node};
use crate::message::{Body, Pull, Push};

/// Time after which a question that was not answered is asked again.
const QUESTION_TIMEOUT: Span = Span::millis(500);
/// Maximum number of peers that are asked at a time.
const QUESTIONS_MAX: usize = 32;

/// A question to a peer.
#[derive(Debug)]
struct Question {
    asked_at: Instant,
    /// Root of the tree down which the confirmation is forwarded.
    root: Option<instance::Id>,
}

/// The questions that have not been answered.
#[derive(Debug, Default)]
pub(super) struct Questions {
    pending: BTreeMap<instance::Id, Question>,
    /// Answers to questions from before this time do not count.
    valid_since: Instant,
}

impl Questions {
    /// Forgets all questions, whose times do not tell how old an answer is.
    pub(super) fn forget(&mut self, now: Instant) {
        self.pending.clear();
        self.valid_since = now;
    }

    /// Returns the time at which the question was asked that a peer answers.
    fn asked_at(&self, push: &Push, now: Instant) -> Option<Instant> {
        let asked_at = Instant(push.asked_at);
        (push.asked_at > 0 && asked_at >= self.valid_since && asked_at <= now).then_some(asked_at)
    }
}

impl Node {
    /// Asks a peer for what is newer than the replica, and for the age of its state.
    pub(super) fn send_pull(&self, to: &instance::Id, now: Instant, actions: &mut Vec<Action>) {
        let message = Body::Pull(Pull::new(self.replica.version(), now)).into();
        actions.push(Action::Send { to: to.clone(), message });
    }

    /// Asks a peer for the age of its state, unless it has just been asked. The answer is
    /// forwarded down the tree of `root`.
    pub(super) fn ask(
        &mut self,
        peer: &instance::Id,
        root: Option<instance::Id>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let pending = &mut self.questions.pending;
        pending.retain(|_, question| now.since(question.asked_at) < QUESTION_TIMEOUT);
        if pending.contains_key(peer) || pending.len() >= QUESTIONS_MAX {
            return;
        }
        pending.insert(peer.clone(), Question { asked_at: now, root });
        self.send_pull(peer, now, actions);
    }

    /// Returns the time at which the platform showed the state in `push`, if that is the
    /// answer to a question.
    pub(super) fn confirmed_by(&self, push: &Push, now: Instant) -> Option<Instant> {
        let asked_at = self.questions.asked_at(push, now)?;
        Some(asked_at - Span::millis(push.age_millis))
    }

    /// Returns the root of the tree down which the answer of a peer is forwarded.
    pub(super) fn take_question(&mut self, peer: &instance::Id) -> Option<instance::Id> {
        self.questions.pending.remove(peer)?.root
    }
}
