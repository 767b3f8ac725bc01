//! Suspicion and probes of targets, changes of the published state, and periodic
//! work.

use mustardway_mirror::publication::{Change, Key, Route};
use mustardway_types::time::{Instant, Span};
use mustardway_types::{instance, target};
use rand::RngExt;

use super::{Action, Front, Probe};
use crate::health::{Context, Outcome, Status, Transition};
use crate::note::{Note, ResetReason};
use crate::packet::{Flow, Reset};
use crate::rank;
use crate::reachability::Reachability;
use crate::table::Stage;

/// Interval between two sweeps of expired flows and targets.
const SWEEP_INTERVAL: Span = Span::seconds(1);
/// Time within which a working target responds to callers repeatedly.
const RECENT_RESPONSE_MAX: Span = Span::millis(100);
/// Maximum number of probes that one instance has in flight. More at once would fill
/// the queues of targets that work.
const PROBES_IN_FLIGHT_MAX: usize = 4;
/// Time for which a flow with an unknown token is kept.
const UNKNOWN_TOKEN_RETENTION: Span = Span::seconds(10);
/// Number of neighbours of a lost target that are probed. Neighbours that are lost
/// have their own neighbours probed, so a lost failure domain is found step by step.
const NEIGHBOUR_PROBES_MAX: usize = 2;
/// Time for which the neighbours of a lost target are deprioritised for new flows:
/// three probes of one of them and the pauses between them take 480 ms, plus a
/// margin.
const NEIGHBOURS_DEPRIORITISED_FOR: Span = Span::millis(600);
/// Time without an answer to a probe after which a reference target is probed: well
/// over a round trip inside a region (2 ms) and below the probe timeout (100 ms).
const REFERENCE_DELAY: Span = Span::millis(30);
/// Minimum interval between two reference probes.
const REFERENCE_INTERVAL_MIN: Span = Span::millis(50);
/// Interval between reference probes while this instance may be isolated.
const DOUBT_INTERVAL: Span = Span::millis(200);
/// Time within which a preferred reference target has responded to a caller.
const REFERENCE_RESPONSE_AGE_MAX: Span = Span::seconds(1);
/// Mean interval between the probes of two instances of a failure domain after a
/// peer's report. If all of them probed at once, they would fill the queue of a
/// target that works.
const PEER_PROBE_SPACING: Span = Span::millis(20);
/// Number of instances of a failure domain that probe a target which a peer reported
/// lost although they have no flows there. The probes of a lost failure domain would
/// otherwise grow with the square of the instances.
const WATCHERS_MAX: usize = 3;
/// Seed of the rank that chooses the watchers. It must be the same at all instances.
const WATCHER_SEED: u64 = 0x7761_7463_6800_0001;

impl Front {
    /// Suspects a target that has left a caller's packet unanswered, and probes it.
    pub(super) fn suspect(
        &mut self,
        index: usize,
        flow: Option<Flow>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.directory.get_mut(index) else { return };
        self.unhealthy.insert(index);
        if target.health.record_unanswered(now) {
            let target = target.registration.id.clone();
            actions.push(Action::Note(Note::Doubted { target, flow }));
        }
        self.probe(index, now, actions);
    }

    /// Handles a peer's report about a target. A target that the peer found lost is
    /// probed here too, and is avoided for new flows until a probe gets an answer.
    pub(super) fn reported(
        &mut self,
        from: instance::Id,
        id: &target::Id,
        is_lost: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.directory.index_of(id) else { return };
        let is_watcher = self.is_watcher(id);
        let delay = self.random_probe_delay(self.probers(is_watcher));
        let Some(target) = self.directory.get_mut(index) else { return };
        if !is_lost {
            if target.health.record_peer_answer(now) {
                actions.push(Action::Note(Note::Trusted { target: id.clone() }));
            }
            return;
        }
        if target.observation.has_responded_after(now - RECENT_RESPONSE_MAX) {
            return;
        }
        let has_flows = target.observation.flows > 0 || target.health.has_own_evidence(now);
        target.health.record_report(delay, now);
        self.reported.insert(index, from);
        if is_watcher || has_flows {
            self.unhealthy.insert(index);
        }
    }

    /// Returns whether this instance is one of the few of its failure domain that probe
    /// a target although they have no flows there.
    fn is_watcher(&self, id: &target::Id) -> bool {
        rank::is_among_first(WATCHER_SEED, &self.me, &self.neighbours, id, WATCHERS_MAX)
    }

    /// Returns the number of instances that a watcher or another instance shares the
    /// probes of a target with.
    fn probers(&self, is_watcher: bool) -> usize {
        let all = self.neighbours.len().max(1);
        if is_watcher { all.min(WATCHERS_MAX) } else { all }
    }

    /// Returns a random delay before a probe that `probers` instances send.
    fn random_probe_delay(&mut self, probers: usize) -> Span {
        let longest = PEER_PROBE_SPACING.0 * probers.saturating_sub(1) as u64;
        Span(self.rng.random_range(0..=longest))
    }

    /// Updates the failure domains that cannot be reached.
    fn update_reachability(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let directory = &self.directory;
        self.reported.retain(|index, _| {
            directory.get(*index).is_some_and(|it| it.health.is_reported_lost(now))
        });
        let reachability = Reachability::assess(directory, &self.unhealthy, &self.reported, now);
        for domain in &self.reachability.unreachable ^ &reachability.unreachable {
            let is_reachable = !reachability.unreachable.contains(&domain);
            actions.push(Action::Note(Note::Reachable { domain, is_reachable }));
        }
        self.reachability = reachability;
    }

    /// Probes a target that is suspected or lost, if a probe is due.
    fn probe_if_unhealthy(&mut self, index: usize, now: Instant, actions: &mut Vec<Action>) {
        let target = self.directory.get(index);
        let target = target.filter(|target| target.health.status(now) != Status::Healthy);
        let Some(target) = target else {
            self.unhealthy.remove(&index);
            return;
        };
        if target.unregistered_at.is_none() || target.observation.flows > 0 {
            self.probe(index, now, actions);
        }
    }

    fn probe(&mut self, index: usize, now: Instant, actions: &mut Vec<Action>) {
        if self.probes_in_flight >= PROBES_IN_FLIGHT_MAX {
            return;
        }
        let Some(target) = self.directory.get_mut(index) else { return };
        if !target.health.start_probe(now) {
            return;
        }
        self.send_probe(index, actions);
    }

    fn send_probe(&mut self, index: usize, actions: &mut Vec<Action>) {
        let Some(target) = self.directory.get(index) else { return };
        self.probes_in_flight += 1;
        let registration = target.registration.clone();
        let path = self.directory.health_path(&registration.service).cloned().unwrap_or_default();
        let (target, address) = (registration.id, registration.address);
        actions.push(Action::Probe(Probe { target, address, path }));
    }

    /// Probes a working target if a suspected one is slow to answer its probe, or if no
    /// target has answered since, to find out whether this instance itself is slow.
    fn probe_reference(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_unconfirmed = |index: &usize| {
            let target = self.directory.get(*index);
            let sent = target.and_then(|target| target.health.deciding_probe_sent());
            sent.is_some_and(|sent| {
                now.since(sent) >= REFERENCE_DELAY && !self.responsiveness.is_confirmed_since(sent)
            })
        };
        let interval = match self.unhealthy.iter().any(is_unconfirmed) {
            true => REFERENCE_INTERVAL_MIN,
            false if self.responsiveness.is_in_doubt() => DOUBT_INTERVAL,
            false => return,
        };
        if now.since(self.reference_probed) < interval {
            return;
        }
        let Some(index) = self.pick_reference(now) else { return };
        let Some(target) = self.directory.get_mut(index) else { return };
        if target.health.start_reference(now) {
            self.reference_probed = now;
            self.send_probe(index, actions);
        }
    }

    /// Returns the directory index of a random healthy target, if possible one that has
    /// responded to callers recently and is in this instance's failure domain.
    fn pick_reference(&mut self, now: Instant) -> Option<usize> {
        let mut candidates = Vec::new();
        let mut best = (false, false);
        for index in self.directory.indexes() {
            let Some(target) = self.directory.get(index) else { continue };
            if target.unregistered_at.is_some() || self.unhealthy.contains(&index) {
                continue;
            }
            let has_responded =
                target.observation.has_responded_after(now - REFERENCE_RESPONSE_AGE_MAX);
            let preference = (has_responded, target.registration.domain == self.home);
            if preference > best {
                best = preference;
                candidates.clear();
            }
            if preference == best {
                candidates.push(index);
            }
        }
        if candidates.is_empty() {
            return None;
        }
        let drawn = self.rng.random_range(0..candidates.len());
        candidates.get(drawn).copied()
    }

    /// Records that the connection of a probe was established.
    pub(super) fn probe_connected(&mut self, id: &target::Id, now: Instant) {
        let target = self.directory.index_of(id).and_then(|index| self.directory.get(index));
        if let Some(target) = target.filter(|target| target.health.is_probing()) {
            self.responsiveness.record_answer(target.health.probe_sent(), now);
        }
    }

    /// Handles the outcome of a probe.
    pub(super) fn probed(
        &mut self,
        id: &target::Id,
        outcome: Outcome,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
        let Some(index) = self.directory.index_of(id) else { return };
        let probers = self.probers(self.is_watcher(id));
        let Some(target) = self.directory.get_mut(index) else { return };
        let was_lost = target.health.is_lost() || target.health.is_reported_lost(now);
        let sent = target.health.probe_sent();
        match outcome {
            Outcome::Silent if target.health.is_reference() => {
                self.responsiveness.record_silence(sent);
            }
            Outcome::Silent => {}
            _ => self.responsiveness.record_answer(sent, now),
        }
        let last_response = target.observation.last_response;
        let context = Context { last_response, responsiveness: self.responsiveness, probers };
        match target.health.record_outcome(outcome, &context, now) {
            Transition::Unchanged => {}
            Transition::Recovered => {
                if was_lost {
                    actions.push(Action::TellPeers { target: id.clone(), is_lost: false });
                }
                actions.push(Action::Note(Note::Trusted { target: id.clone() }));
            }
            Transition::Lost => self.mark_lost(index, id, now, actions),
        }
    }

    /// Resets the flows of a lost target, so that their callers reconnect to another
    /// target.
    fn mark_lost(
        &mut self,
        index: usize,
        id: &target::Id,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.directory.get(index) else { return };
        let evidence = target.health.evidence(now);
        if !target.health.is_reported_lost(now) {
            actions.push(Action::TellPeers { target: id.clone(), is_lost: true });
        }
        self.suspect_neighbours(index, now);
        let age = self.age(now);
        let mut count = 0;
        for (flow, record) in self.table.active_flows_of(index) {
            let route = self.directory.route(flow.route);
            let is_repeatable = route.is_some_and(Route::is_repeatable);
            // If no target holds the flow, the caller's next copy goes to another one.
            let holder = self.contested.holder_of(&flow).and_then(|it| self.index_of_token(it));
            let is_elsewhere = holder.is_some_and(|holder| holder != index);
            if is_elsewhere
                || record.may_be_elsewhere(now)
                || !self.must_reset(index, is_repeatable)
            {
                continue;
            }
            self.untrack(&flow, now);
            count += 1;
            actions.push(Action::Reset(Reset { flow, sequence: record.acknowledged }));
            let target = Some(id.clone());
            let reason = ResetReason::TargetLost;
            actions.push(Action::Note(Note::Reset { flow, target, reason, age }));
        }
        let answered_probe_age = self.responsiveness.answered_probe_age(now);
        let target = id.clone();
        actions.push(Action::Note(Note::Lost {
            target,
            flows: count,
            evidence,
            answered_probe_age,
        }));
    }

    /// Deprioritises the other targets in the failure domain of a lost one that have
    /// not responded recently, since the whole domain may be lost. A few of them are
    /// probed to find out.
    fn suspect_neighbours(&mut self, index: usize, now: Instant) {
        let Some(lost) = self.directory.get(index) else { return };
        let domain = lost.registration.domain.clone();
        let mut silent = Vec::new();
        for index in self.directory.indexes_in_domain(&domain) {
            let Some(target) = self.directory.get_mut(index) else { continue };
            if target.unregistered_at.is_some()
                || target.observation.has_responded_after(now - RECENT_RESPONSE_MAX)
            {
                continue;
            }
            target.observation.deprioritise(now, NEIGHBOURS_DEPRIORITISED_FOR);
            if target.health.status(now) == Status::Healthy {
                silent.push(index);
            }
        }
        for _ in 0..NEIGHBOUR_PROBES_MAX.min(silent.len()) {
            let drawn = self.rng.random_range(0..silent.len());
            let index = silent.swap_remove(drawn);
            let delay = self.random_probe_delay(self.probers(false));
            let Some(target) = self.directory.get_mut(index) else { continue };
            target.health.record_suspicion(delay, now);
            self.unhealthy.insert(index);
        }
    }

    /// Applies changes of the published state.
    pub(super) fn apply_changes(
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
            let Some(index) = self.directory.index_of(&id) else { continue };
            let flows = self.directory.get(index).map_or(0, |target| target.observation.flows);
            if flows > 0 {
                self.suspect(index, None, now, actions);
            }
        }
    }

    /// Suspects targets whose callers sent nothing after their opening packets.
    fn check_openings(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(opening) = self.openings.expire(now) {
            let Some(record) = self.table.get(&opening.flow).copied() else { continue };
            if record.stage != Stage::Opening || record.placed != opening.placed {
                continue;
            }
            let target = self.directory.get(record.target);
            if target.is_some_and(|target| target.observation.has_responded_after(record.placed)) {
                continue;
            }
            self.suspect_opening(record.target, opening.flow, now, actions);
        }
    }

    /// Suspects a target whose caller sent nothing here after its opening packet.
    fn suspect_opening(
        &mut self,
        index: usize,
        flow: Flow,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.suspect(index, Some(flow), now, actions);
        if let Some(target) = self.directory.get_mut(index) {
            target.health.record_missing_follow_up();
        }
    }

    /// Sends the probes that are due, updates the readiness and sweeps expired
    /// entries.
    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.backlog.tick(self.directory.is_configured(), now);
        if !self.backlog.has_stalled(now) {
            self.check_openings(now, actions);
        }
        self.handle_load(mustardway_load::node::Event::Tick, now, actions);
        self.update_admission(now, actions);
        self.update_reachability(now, actions);
        let is_useful = !self.responsiveness.is_isolated(now)
            && self.demand.is_met(|service| self.can_place(service));
        if is_useful != self.unmet_since.is_none() {
            self.unmet_since = (!is_useful).then_some(now);
            actions.push(Action::Note(Note::Useful { is_useful }));
        }
        for index in self.unhealthy.clone() {
            self.probe_if_unhealthy(index, now, actions);
        }
        self.probe_reference(now, actions);
        self.exchange_holders(now, actions);
        self.resume_held(now, actions);
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.count_flows(now);
        for flow in self.table.expired(self.directory.idle_timeout(), now) {
            self.untrack(&flow, now);
        }
        self.unknown_tokens.retain(|_, first| now.since(*first) < UNKNOWN_TOKEN_RETENTION);
        self.contested.remove_expired(now);
        self.directory.remove_expired(now);
    }
}
