//! Opening packets. Each new flow is placed on one target.
//!
//! Copies of an opening packet go to the same target as the first one. If the target
//! has not answered within the time after which a caller sends a copy, another target
//! is chosen.

use mustardway_admission::controller::{Decision, Reason};
use mustardway_load::key;
use mustardway_load::sample::Sample;
use mustardway_mirror::publication::Share;
use mustardway_types::service;
use mustardway_types::time::{Instant, Span};
use rand::RngExt;

use super::{Action, Front, Verdict};
use crate::directory::{REGISTRATION_GRACE, Target};
use crate::health::Status;
use crate::note::{DropReason, Note, ResetReason};
use crate::observation::{DEPRIORITISED_FOR, RESPONSE_TIMEOUT};
use crate::opening::Opening;
use crate::packet::Packet;
use crate::placement::{Candidate, Grade, WEIGHTS};
use crate::slow_start;
use crate::table::{Record, Stage};

/// Time since a response within which an unregistered target is as good as others.
/// Registrations of crashed targets expire later than that.
const UNREGISTERED_RESPONSE_AGE_MAX: Span = Span::seconds(1);
/// Times for which an opening packet and its copies may wait: until the caller sends the next
/// copy or gives up, less 50 ms for the way of an answer.
const COPY_INTERVALS: [Span; 3] = [Span::millis(150), Span::millis(350), Span::millis(750)];
/// Time within which the routers notice that an instance is not ready: two checks,
/// each every 500 ms, and a margin for instances that notice later.
const ROUTER_NOTICE_MAX: Span = Span::millis(1_500);

impl Front {
    /// Decides what to do with an opening packet.
    pub(super) fn open_flow(
        &mut self,
        packet: &Packet,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        if self.is_superseded(packet, now) {
            return Verdict::Drop(DropReason::Stale);
        }
        if self.directory.route(packet.destination).is_none() {
            if !self.is_fresh(now) || self.may_be_open(packet) {
                return Verdict::Drop(DropReason::NoRoute);
            }
            return self.reset(packet, ResetReason::NoRoute, now, actions);
        }
        let avoid = match self.earlier_copy(packet, now, actions) {
            EarlierCopy::Follow(verdict) => return verdict,
            EarlierCopy::Avoid(avoid) => (true, Some(avoid)),
            EarlierCopy::Unknown => (false, self.retried_target(packet, now)),
        };
        let (is_copy, avoid) = avoid;
        match self.place(packet, is_copy, avoid, now) {
            Placed::At(index) => self.send_to(packet, index, now, actions),
            Placed::Refused(service, reason) => self.refuse(packet, &service, reason, now, actions),
            Placed::Nowhere if self.is_withdrawing(packet, now) => {
                Verdict::Drop(DropReason::Withdrawing)
            }
            Placed::Nowhere if self.may_be_open(packet) => Verdict::Drop(DropReason::UnknownCopy),
            Placed::Nowhere => self.reset(packet, ResetReason::NoTarget, now, actions),
        }
    }

    /// Returns whether the caller may have sent another copy of an opening packet since this one
    /// arrived, through which the flow may have opened elsewhere.
    fn is_superseded(&self, packet: &Packet, now: Instant) -> bool {
        let copies = packet.acknowledgement as usize;
        let until_next = COPY_INTERVALS[copies.min(COPY_INTERVALS.len() - 1)];
        self.backlog.longest_wait(now) >= until_next && !self.has_placed(packet)
    }

    /// Returns whether this instance has placed an opening packet or an earlier copy of it.
    fn has_placed(&self, packet: &Packet) -> bool {
        let record = self.table.get(&packet.flow());
        record.is_some_and(|record| record.opening == Some(packet.sequence))
    }

    /// Returns whether the flow of a copy of an opening packet may be open: another instance
    /// got the first packet, or its target may have answered that one.
    fn may_be_open(&self, packet: &Packet) -> bool {
        let record = self.table.get(&packet.flow());
        let placed = record.filter(|record| record.opening == Some(packet.sequence));
        let target = placed.and_then(|record| self.directory.get(record.target));
        let is_lost = target.is_some_and(|target| target.health.is_lost());
        packet.acknowledgement > 0 && !is_lost
    }

    /// Returns whether the routers are about to send the caller's copies of an opening
    /// packet to instances in other failure domains, in time for an answer. A reset
    /// would make the caller use up its retries here.
    fn is_withdrawing(&self, packet: &Packet, now: Instant) -> bool {
        let route = self.directory.route(packet.destination);
        let is_timely = route.is_some_and(|route| route.limit > ROUTER_NOTICE_MAX);
        let has_others = self.known.len() > self.neighbours.len();
        let is_recent = self.unmet_since.is_some_and(|since| now.since(since) < ROUTER_NOTICE_MAX);
        is_timely && has_others && is_recent
    }

    /// Looks up an earlier copy of an opening packet.
    fn earlier_copy(
        &mut self,
        packet: &Packet,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> EarlierCopy {
        let flow = packet.flow();
        let record = self.table.get(&flow).copied();
        // The flow opened through this instance, and another one got its opening packet.
        if let Some(open) = record.filter(|it| it.has_seen_first_after(packet.sequence))
            && let Some(verdict) = self.forward_to(open.target, true)
        {
            return EarlierCopy::Follow(verdict);
        }
        let record = record.filter(|record| record.opening == Some(packet.sequence));
        if self.contested.opening_of(&flow) != Some(packet.sequence) {
            // A new flow uses the addresses of an earlier one.
            self.contested.forget(&flow);
        }
        let is_open = record.is_some_and(|record| record.stage != Stage::Opening);
        // The flow may be open, as a peer has told.
        if !is_open
            && let Some(index) = self.holder(packet)
            && let Some(verdict) = self.forward_to(index, true)
        {
            return EarlierCopy::Follow(verdict);
        }
        let Some(record) = record else { return EarlierCopy::Unknown };
        let is_lost = self.directory.get(record.target).is_some_and(|it| it.health.is_lost());
        let is_early = now.since(record.placed) < RESPONSE_TIMEOUT || self.backlog.has_stalled(now);
        let is_early = is_early && !is_lost;
        if (record.stage != Stage::Opening || is_early)
            && let Some(verdict) = self.forward_to(record.target, record.is_ambiguous)
        {
            return EarlierCopy::Follow(verdict);
        }
        if let Some(target) = self.directory.get_mut(record.target) {
            target.observation.deprioritise(now, DEPRIORITISED_FOR);
        }
        if !self.has_responded_since(record.target, record.placed) {
            self.suspect(record.target, Some(flow), now, actions);
        }
        EarlierCopy::Avoid(Unresponsive { index: record.target, since: record.placed })
    }

    /// Returns the target of an earlier opening packet that the caller seems to retry
    /// from another port.
    fn retried_target(&self, packet: &Packet, now: Instant) -> Option<Unresponsive> {
        let opening = self.openings.retried_by(*packet.source.ip(), now)?;
        let record = self.table.get(&opening.flow)?;
        let is_open = record.stage != Stage::Opening || record.placed != opening.placed;
        let is_other = opening.flow.route != packet.destination;
        if is_open || is_other {
            return None;
        }
        Some(Unresponsive { index: record.target, since: record.placed })
    }

    /// Returns whether a target has responded to a caller after `at`.
    fn has_responded_since(&self, index: usize, at: Instant) -> bool {
        self.directory.get(index).is_some_and(|target| target.observation.has_responded_after(at))
    }

    /// Sends a new flow to the target at `index`.
    fn send_to(
        &mut self,
        packet: &Packet,
        index: usize,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        let flow = packet.flow();
        // Another target may have received an earlier copy, from this instance or
        // from another one.
        let is_ambiguous = packet.acknowledgement > 0;
        let Some(verdict) = self.forward_to(index, is_ambiguous) else {
            return self.reset(packet, ResetReason::NoTarget, now, actions);
        };
        let mut record = Record::new(index, Stage::Opening, now);
        record.opening = Some(packet.sequence);
        record.is_ambiguous = is_ambiguous;
        self.track(flow, record, now);
        if is_ambiguous {
            self.contested.record_copy(flow, packet.sequence, now);
        }
        if packet.acknowledgement == 0 {
            self.record_sample(&Sample::Opened(key::Route::of(packet.destination)));
        }
        self.openings.add(Opening { flow, placed: now });
        self.count_cold_flow(index, now);
        let age = self.age(now);
        if let Some(target) = self.directory.get(index) {
            actions.push(Action::Note(Note::Placed {
                flow,
                target: target.registration.id.clone(),
                copies: packet.acknowledgement,
                waiting: target.observation.outstanding(),
                age,
            }));
        }
        verdict
    }

    /// Chooses the target of a new flow.
    fn place(
        &mut self,
        packet: &Packet,
        is_copy: bool,
        avoid: Option<Unresponsive>,
        now: Instant,
    ) -> Placed {
        let route = self.directory.route(packet.destination);
        let mut shares = route.map_or_else(Vec::new, |route| route.shares.clone());
        shares.retain(|share| share.weight > 0);
        while !shares.is_empty() {
            let share = shares.swap_remove(self.draw_share(&shares));
            self.demand.count(&share.service, now);
            let decision = match is_copy {
                true => Decision::Admit,
                false => self.admit(packet, &share.service),
            };
            if let Decision::Refuse(reason) = decision {
                // Other shares have weights of their own, which the flows of a full
                // service must not add to.
                return Placed::Refused(share.service, reason);
            }
            let mut candidates = self.candidates(&share.service, now);
            if let Some(avoid) = avoid {
                self.avoid_unresponsive(avoid, &mut candidates);
            }
            let flow = packet.flow();
            if let Some(index) = self.policy.choose(&flow, &candidates, &mut self.rng) {
                return Placed::At(index);
            }
        }
        Placed::Nowhere
    }

    /// Removes an unresponsive target from the candidates, unless it is the only one,
    /// and marks its neighbours that have not responded since as degraded: the whole
    /// failure domain may be lost.
    fn avoid_unresponsive(&self, avoid: Unresponsive, candidates: &mut Vec<Candidate>) {
        if candidates.len() > 1 {
            candidates.retain(|candidate| candidate.index != avoid.index);
        }
        let domain_of = |index: usize| self.directory.get(index).map(|it| &it.registration.domain);
        let domain = domain_of(avoid.index);
        for candidate in candidates {
            let is_near = domain_of(candidate.index) == domain;
            if is_near && !self.has_responded_since(candidate.index, avoid.since) {
                candidate.grade = Grade::Degraded;
            }
        }
    }

    /// Returns the index of one of `shares`, drawn by weight. No weight is 0.
    fn draw_share(&mut self, shares: &[Share]) -> usize {
        let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut drawn = self.rng.random_range(0..total);
        for (index, share) in shares.iter().enumerate() {
            let weight = u64::from(share.weight);
            if drawn < weight {
                return index;
            }
            drawn -= weight;
        }
        0
    }

    /// Returns the targets of a service that accept new flows.
    fn candidates(&self, service: &service::Name, now: Instant) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        let senders = self.neighbours.len();
        let idle_weight = (self.busy_share(service) / WEIGHTS.idle_flow).max(1.0);
        for index in self.directory.indexes_of_service(service) {
            let Some(target) = self.directory.get(*index) else { continue };
            if !self.accepts_now(target, now) {
                continue;
            }
            let is_degraded = target.health.status(now) != Status::Healthy
                || is_unregistered_and_silent(target, now)
                || target.observation.is_deprioritised(now);
            candidates.push(Candidate {
                index: *index,
                grade: if is_degraded { Grade::Degraded } else { Grade::Good },
                is_local: target.registration.domain == self.home,
                is_cold: now < target.cold_until,
                waiting: target.observation.estimate_outstanding(senders, now),
                idle: f64::from(target.observation.idle_flows()) * senders as f64 * idle_weight,
                slots: target.registration.slots,
                time_factor: target.time_factor,
            });
        }
        candidates
    }

    /// Returns whether any target of a service outside of silent failure domains
    /// accepts new flows, either now or as soon as the limits of its slow start allow
    /// it.
    pub(super) fn can_place(&self, service: &service::Name) -> bool {
        let can_take = |target: &Target| {
            self.is_eligible(target)
                && !self.reachability.silent.contains(&target.registration.domain)
        };
        let mut targets = self.directory.indexes_of_service(service).iter();
        targets.any(|index| self.directory.get(*index).is_some_and(can_take))
    }

    fn accepts_now(&self, target: &Target, now: Instant) -> bool {
        self.is_eligible(target)
            && (now >= target.cold_until
                || self
                    .cold_rate_share(target)
                    .is_none_or(|rate| rate > 0.0 && target.pacer.is_open(now)))
    }

    pub(super) fn is_eligible(&self, target: &Target) -> bool {
        let registration = &target.registration;
        if registration.leaving {
            return false;
        }
        if self.directory.is_evacuated(&registration.domain)
            || self.reachability.unreachable.contains(&registration.domain)
        {
            return false;
        }
        if target.unregistered_at.is_some_and(|since| self.is_gone(since)) {
            return false;
        }
        !target.health.is_lost()
    }

    /// Returns whether a target that was unregistered at `since` is gone: the platform
    /// has shown for a grace period that it was not registered again. While the platform
    /// cannot be reached, nobody knows.
    pub(super) fn is_gone(&self, since: Instant) -> bool {
        self.confirmed.is_some_and(|at| at >= since + REGISTRATION_GRACE)
    }

    /// Returns the flows per second that this instance may send to a cold target, if
    /// its service has a limit.
    fn cold_rate_share(&self, target: &Target) -> Option<f64> {
        let rate = self.directory.cold_rate(&target.registration.service)?;
        Some(slow_start::rate_share(&self.me, &self.known, &target.registration.id, rate))
    }

    fn count_cold_flow(&mut self, index: usize, now: Instant) {
        let Some(target) = self.directory.get(index) else { return };
        if now >= target.cold_until {
            return;
        }
        let Some(rate) = self.cold_rate_share(target) else { return };
        if let Some(target) = self.directory.get_mut(index) {
            target.pacer.take(rate, now);
        }
    }
}

/// Returns whether a target is unregistered and has not responded to a caller lately.
/// If all registrations expire while the platform is unavailable, those that are
/// renewed first must not get all new flows.
fn is_unregistered_and_silent(target: &Target, now: Instant) -> bool {
    target.unregistered_at.is_some()
        && !target.observation.has_responded_after(now - UNREGISTERED_RESPONSE_AGE_MAX)
}

/// The result of placing a new flow.
enum Placed {
    /// At the target with this directory index.
    At(usize),
    /// Nowhere, since the service is full.
    Refused(service::Name, Reason),
    /// Nowhere, since no target accepts it.
    Nowhere,
}

/// The result of looking up an earlier copy of an opening packet.
enum EarlierCopy {
    /// No earlier copy is known.
    Unknown,
    /// The packet goes to the same target as the earlier copy.
    Follow(Verdict),
    /// The target has not answered the earlier copy.
    Avoid(Unresponsive),
}

/// A target that has not answered an opening packet.
#[derive(Debug, Clone, Copy)]
struct Unresponsive {
    index: usize,
    /// Time at which the opening packet was placed.
    since: Instant,
}
