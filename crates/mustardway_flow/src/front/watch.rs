//! Doubts, probes and the published state.

use mustardway_mirror::publication::{Change, Key, Route};
use mustardway_types::target;
use mustardway_types::time::{Instant, Span};
use rand::RngExt;

use super::{Action, Front, Probe};
use crate::health::{Context, Finding, Outcome, Trust};
use crate::note::{Note, ResetReason};
use crate::packet::{Flow, Reset};
use crate::table::Stage;

/// Time between two sweeps of old flows and targets.
const SWEEP: Span = Span::seconds(1);
/// Time in which a target that works is heard again and again.
const HEARD_LATELY: Span = Span::millis(100);
/// Probes of one instance at a time, at most: many at once would fill the queues
/// of targets that live.
const PROBES_MAX: usize = 4;
/// How long a flow with an unknown token is remembered.
const STRANGER_MAX: Span = Span::seconds(10);
/// Neighbours of a lost target that are probed. Those that are lost too make
/// their own neighbours be probed, so a lost failure domain is found in turns.
const NEIGHBOURS_PROBED: usize = 2;
/// Time for which new flows pass over the neighbours: three probes of one of
/// them and the pauses between (480 ms), with a margin.
const NEIGHBOURS_PASSED: Span = Span::millis(600);
/// Time without an answer to a probe after which another target is probed for
/// comparison: well over a round trip inside a region (2 ms), and under the time
/// after which the probe fails (100 ms).
const REFERRED: Span = Span::millis(30);
/// Shortest time between two probes for comparison.
const REFERENCE_PAUSE: Span = Span::millis(50);
/// Time in which a target was heard that is probed for comparison.
const REFERENCE_AGE: Span = Span::seconds(1);
/// Mean time between the probes of two instances that share callers, once they
/// have heard a peer's word: all at once would fill the queue of a target that
/// lives.
const RUMOUR_STAGGER: Span = Span::millis(20);

impl Front {
    /// A target left something unanswered.
    pub(super) fn doubt(
        &mut self,
        slot: usize,
        flow: Option<Flow>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.directory.get_mut(slot) else { return };
        self.watched.insert(slot);
        if target.standing.suspect(now) {
            let target = target.registration.id.clone();
            actions.push(Action::Note(Note::Doubted { target, flow }));
        }
        self.probe(slot, now, actions);
    }

    /// A peer in the same failure domain says what it found of a target. One that
    /// is lost there is probed here too, and gets no new flows meanwhile.
    pub(super) fn reported(
        &mut self,
        id: &target::Id,
        is_lost: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(slot) = self.directory.slot_of(id) else { return };
        let delay = self.stagger();
        let Some(target) = self.directory.get_mut(slot) else { return };
        if !is_lost {
            if target.standing.hear() {
                actions.push(Action::Note(Note::Trusted { target: id.clone() }));
            }
            return;
        }
        if !target.signal.heard_after(now - HEARD_LATELY) {
            target.standing.hear_rumour(delay, now);
            self.watched.insert(slot);
        }
    }

    /// Random time before a probe that peers may send as well.
    fn stagger(&mut self) -> Span {
        let longest = RUMOUR_STAGGER.0 * self.domain_instances.saturating_sub(1) as u64;
        Span(self.rng.random_range(0..=longest))
    }

    /// Probes a target that is not trusted, where that is due.
    fn watch(&mut self, slot: usize, now: Instant, actions: &mut Vec<Action>) {
        let target = self.directory.get(slot);
        let target = target.filter(|target| target.standing.trust(now) != Trust::Trusted);
        let Some(target) = target else {
            self.watched.remove(&slot);
            return;
        };
        if target.missing.is_none() || target.signal.flows > 0 {
            self.probe(slot, now, actions);
        }
    }

    fn probe(&mut self, slot: usize, now: Instant, actions: &mut Vec<Action>) {
        if self.probing >= PROBES_MAX {
            return;
        }
        let Some(target) = self.directory.get_mut(slot) else { return };
        if !target.standing.start_probe(now) {
            return;
        }
        self.send_probe(slot, actions);
    }

    fn send_probe(&mut self, slot: usize, actions: &mut Vec<Action>) {
        let Some(target) = self.directory.get(slot) else { return };
        self.probing += 1;
        let registration = target.registration.clone();
        let path = self.directory.health(&registration.service).cloned().unwrap_or_default();
        let (target, address) = (registration.id, registration.address);
        actions.push(Action::Probe(Probe { target, address, path }));
    }

    /// Probes a target that works where a doubted one is slow to answer, to know
    /// whether this instance is quick itself.
    fn refer(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let tried = self.watched.iter().filter_map(|slot| {
            self.directory.get(*slot).and_then(|target| target.standing.tried_since())
        });
        let Some(since) = tried.max() else { return };
        let is_early = now.since(since) < REFERRED;
        if is_early || self.pulse.is_known(since) || now < self.next_reference {
            return;
        }
        let Some(slot) = self.reference(now) else { return };
        let Some(target) = self.directory.get_mut(slot) else { return };
        if target.standing.start_reference(now) {
            self.next_reference = now + REFERENCE_PAUSE;
            self.send_probe(slot, actions);
        }
    }

    /// One of the targets that callers have heard lately.
    fn reference(&mut self, now: Instant) -> Option<usize> {
        let mut heard = Vec::new();
        for slot in self.directory.slots() {
            let Some(target) = self.directory.get(slot) else { continue };
            let is_heard = target.signal.heard_after(now - REFERENCE_AGE);
            if is_heard && target.missing.is_none() && !self.watched.contains(&slot) {
                heard.push(slot);
            }
        }
        if heard.is_empty() {
            return None;
        }
        let drawn = self.rng.random_range(0..heard.len());
        heard.get(drawn).copied()
    }

    /// Takes what a probe found.
    pub(super) fn probed(
        &mut self,
        id: &target::Id,
        outcome: Outcome,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.probing = self.probing.saturating_sub(1);
        let Some(slot) = self.directory.slot_of(id) else { return };
        let Some(target) = self.directory.get_mut(slot) else { return };
        let was_lost = target.standing.is_lost();
        if outcome != Outcome::Silent {
            self.pulse.note(target.standing.probe_sent(), now);
        }
        let heard = target.signal.heard;
        let context = Context { heard, pulse: self.pulse, sharers: self.domain_instances };
        match target.standing.probed(outcome, &context, now) {
            Finding::Unchanged => {}
            Finding::Trusted => {
                if was_lost {
                    actions.push(Action::TellPeers { target: id.clone(), is_lost: false });
                }
                actions.push(Action::Note(Note::Trusted { target: id.clone() }));
            }
            Finding::Lost => self.lose(slot, id, now, actions),
        }
    }

    /// Resets the flows of a target that no longer answers, so that callers
    /// start again at another one.
    fn lose(&mut self, slot: usize, id: &target::Id, now: Instant, actions: &mut Vec<Action>) {
        actions.push(Action::TellPeers { target: id.clone(), is_lost: true });
        self.doubt_neighbours(slot, now);
        let age = self.age(now);
        let mut count = 0;
        for (flow, record) in self.table.flows_of(slot) {
            let route = self.directory.route(flow.route);
            let is_repeatable = route.is_some_and(Route::is_repeatable);
            // The first target may have answered meanwhile; if it has not, the caller's
            // next copy goes elsewhere.
            let may_be_open = record.stage == Stage::Opening && record.is_moved;
            if may_be_open || !self.is_over(slot, is_repeatable) {
                continue;
            }
            self.forget(&flow, now);
            count += 1;
            actions.push(Action::Reset(Reset { flow, sequence: record.acknowledged }));
            let target = Some(id.clone());
            let reason = ResetReason::TargetLost;
            actions.push(Action::Note(Note::Reset { flow, target, reason, age }));
        }
        actions.push(Action::Note(Note::Lost { target: id.clone(), flows: count }));
    }

    /// New flows pass over the other targets in the failure domain of a lost one
    /// that were not heard lately: a whole domain may have been lost. Probes of a
    /// few of them tell.
    fn doubt_neighbours(&mut self, slot: usize, now: Instant) {
        let Some(lost) = self.directory.get(slot) else { return };
        let domain = lost.registration.domain.clone();
        let mut silent = Vec::new();
        for slot in self.directory.slots_in(&domain) {
            let Some(target) = self.directory.get_mut(slot) else { continue };
            if target.missing.is_some() || target.signal.heard_after(now - HEARD_LATELY) {
                continue;
            }
            target.signal.pass_over(now, NEIGHBOURS_PASSED);
            if target.standing.trust(now) == Trust::Trusted {
                silent.push(slot);
            }
        }
        for _ in 0..NEIGHBOURS_PROBED.min(silent.len()) {
            let drawn = self.rng.random_range(0..silent.len());
            let slot = silent.swap_remove(drawn);
            let delay = self.stagger();
            let Some(target) = self.directory.get_mut(slot) else { continue };
            target.standing.hear_rumour(delay, now);
            self.watched.insert(slot);
        }
    }

    /// Takes changes of the published state.
    pub(super) fn publish(
        &mut self,
        changes: Vec<Change>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let mut removed = Vec::new();
        for change in &changes {
            if let Change::Removed(Key::Target(id)) = change {
                removed.push(id.clone());
            }
        }
        let notes = self.directory.apply(changes, now);
        actions.extend(notes.into_iter().map(Action::Note));
        for id in removed {
            let Some(slot) = self.directory.slot_of(&id) else { continue };
            let flows = self.directory.get(slot).map_or(0, |target| target.signal.flows);
            if flows > 0 {
                self.doubt(slot, None, now, actions);
            }
        }
    }

    /// Doubts targets whose callers sent nothing after their opening packets.
    fn follow_openings(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(opening) = self.openings.expire(now) {
            let Some(record) = self.table.get(&opening.flow).copied() else { continue };
            if record.stage != Stage::Opening || record.placed != opening.placed {
                continue;
            }
            let target = self.directory.get(record.target);
            if target.is_some_and(|target| target.signal.heard_after(record.placed)) {
                continue;
            }
            self.doubt(record.target, Some(opening.flow), now, actions);
        }
    }

    /// Probes that are due, and sweeps.
    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.follow_openings(now, actions);
        let is_useful = self.demand.is_met(|service| self.can_place(service, now));
        if is_useful != self.is_useful {
            self.is_useful = is_useful;
            actions.push(Action::Note(Note::Useful { is_useful }));
        }
        for slot in self.watched.clone() {
            self.watch(slot, now, actions);
        }
        self.refer(now, actions);
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP;
        for flow in self.table.old(self.directory.idle(), now) {
            self.forget(&flow, now);
        }
        self.strangers.retain(|_, first| now.since(*first) < STRANGER_MAX);
        self.directory.forget(now);
    }
}
