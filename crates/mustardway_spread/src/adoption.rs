//! Adoption of revisions: a revision is put in force only if it is greater than the
//! one in force and the caller has accepted it.

use std::collections::VecDeque;

use mustardway_types::instance;
use mustardway_types::revision;
use mustardway_types::time::Instant;

use crate::action::Action;
use crate::message::{Body, Message, Offer};
use crate::replica::Replica;
use crate::report;
use crate::set::Set;

/// Greatest number of refused revisions that are remembered.
const REFUSED_MAX: usize = 16;

/// Revisions that wait for adoption or were refused.
#[derive(Debug, Default)]
pub(crate) struct Adoption {
    /// Revision that was proposed to the caller and awaits its verdict.
    proposed: Option<Set>,
    /// Revision that is proposed after that verdict.
    next: Option<Set>,
    /// Refused revisions, from oldest to latest.
    refused: VecDeque<(revision::Number, revision::Digest)>,
}

impl Adoption {
    /// Returns the greatest number that is waiting or was refused.
    pub(crate) fn greatest_seen(&self) -> revision::Number {
        let refused = self.refused.iter().map(|(number, _)| *number).max();
        refused.unwrap_or_default().max(self.greatest_waiting())
    }

    /// Returns the greatest number that is waiting for its proposal or verdict.
    pub(crate) fn greatest_waiting(&self) -> revision::Number {
        let proposed = self.proposed.as_ref().map(|set| set.number);
        let next = self.next.as_ref().map(|set| set.number);
        proposed.max(next).unwrap_or_default()
    }

    /// Returns whether the revision with this number and digest was refused.
    pub(crate) fn has_refused(&self, number: revision::Number, digest: revision::Digest) -> bool {
        self.refused.contains(&(number, digest))
    }

    /// Remembers a refused revision.
    pub(crate) fn refuse(&mut self, number: revision::Number, digest: revision::Digest) {
        if self.refused.len() == REFUSED_MAX {
            self.refused.pop_front();
        }
        self.refused.push_back((number, digest));
    }
}

impl Replica {
    /// Proposes a revision that is greater than the one in force and all that are
    /// waiting. While another awaits its verdict, it is proposed afterwards.
    pub(crate) fn propose(&mut self, set: Set, actions: &mut Vec<Action>) {
        if set.number <= self.in_force.number || set.number <= self.adoption.greatest_waiting() {
            return;
        }
        if self.adoption.has_refused(set.number, set.digest) {
            return;
        }
        if self.adoption.proposed.is_some() {
            self.adoption.next = Some(set);
            return;
        }
        self.adoption.proposed = Some(set.clone());
        actions.push(Action::Propose(set));
    }

    /// Handles the verdict on the proposed revision; a verdict on any other revision
    /// is ignored.
    pub(crate) fn handle_verdict(
        &mut self,
        number: revision::Number,
        accepted: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(set) = self.adoption.proposed.take_if(|set| set.number == number) else { return };
        if accepted {
            self.adopt(set, now, actions);
        } else {
            self.counts.refused += 1;
            self.adoption.refuse(number, set.digest);
            actions.push(Action::Report(report::Kind::Refused { number }));
        }
        let Some(next) = self.adoption.next.take() else { return };
        self.propose(next, actions);
    }

    /// Reports once that a peer has other files under the number in force.
    pub(crate) fn report_peer_conflict(&mut self, from: &instance::Id, actions: &mut Vec<Action>) {
        let number = self.in_force.number;
        let Some(source) = self.sources.get_mut(from) else { return };
        if source.conflict_reported {
            return;
        }
        source.conflict_reported = true;
        self.counts.conflicts += 1;
        let from = from.clone();
        actions.push(Action::Report(report::Kind::PeerConflict { from, number }));
    }

    fn adopt(&mut self, set: Set, now: Instant, actions: &mut Vec<Action>) {
        let number = set.number;
        let old = std::mem::replace(&mut self.in_force, set);
        self.history.keep(old);
        self.counts.adopted += 1;
        actions.push(Action::Report(report::Kind::Adopted { number }));
        let offer = Offer {
            number: number.0,
            digest: self.in_force.digest.0,
            age_millis: self.age(now).as_millis(),
        };
        for id in &self.neighbours {
            if self.sources.get(id).is_some_and(|source| source.number >= number) {
                continue;
            }
            let message = Message::from(Body::Offer(offer.clone()));
            actions.push(Action::Send { to: id.clone(), message });
        }
    }
}
