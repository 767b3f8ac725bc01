//! Opening packets: each new flow is placed once.
//!
//! Copies of an opening packet follow the first one, unless that went unanswered
//! for as long as a caller waits before it sends a copy.

use mustardway_mirror::publication::Share;
use mustardway_types::service;
use mustardway_types::time::Instant;
use rand::RngExt;

use super::{Action, Front, Verdict};
use crate::cold;
use crate::directory::{LAPSE, Target};
use crate::health::Trust;
use crate::note::{DropReason, Note, ResetReason};
use crate::opening::Opening;
use crate::packet::Packet;
use crate::placement::{Candidate, Grade};
use crate::signal::{PASSED_OVER, UNANSWERED};
use crate::table::{Record, Stage};

impl Front {
    /// Decides what becomes of an opening packet.
    pub(super) fn open(
        &mut self,
        packet: &Packet,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        if self.directory.route(packet.destination).is_none() {
            if !self.is_fresh(now) {
                return Verdict::Drop(DropReason::NoRoute);
            }
            return self.refuse(packet, ResetReason::NoRoute, now, actions);
        }
        let avoid = match self.copied(packet, now, actions) {
            Copied::Follow(verdict) => return verdict,
            Copied::Avoid(avoid) => Some(avoid),
            Copied::No => self.repeated(packet, now),
        };
        match self.place(packet, avoid, now) {
            Some(slot) => self.start(packet, slot, now, actions),
            None => self.refuse(packet, ResetReason::NoTarget, now, actions),
        }
    }

    /// What is known of an earlier copy of an opening packet.
    fn copied(&mut self, packet: &Packet, now: Instant, actions: &mut Vec<Action>) -> Copied {
        let flow = packet.flow();
        let Some(record) = self.table.get(&flow).copied() else { return Copied::No };
        if record.opening != Some(packet.sequence) {
            return Copied::No;
        }
        let is_lost = self.directory.get(record.target).is_some_and(|it| it.standing.is_lost());
        let is_early = now.since(record.placed) < UNANSWERED && !is_lost;
        if (record.stage != Stage::Opening || is_early)
            && let Some(verdict) = self.forward(record.target)
        {
            return Copied::Follow(verdict);
        }
        if let Some(target) = self.directory.get_mut(record.target) {
            target.signal.pass_over(now, PASSED_OVER);
        }
        if !self.has_answered(record.target, record.placed) {
            self.doubt(record.target, Some(flow), now, actions);
        }
        Copied::Avoid(Avoid { slot: record.target, since: record.placed })
    }

    /// The target of an opening packet that the caller seems to repeat from
    /// another port.
    fn repeated(&self, packet: &Packet, now: Instant) -> Option<Avoid> {
        let opening = self.openings.repeated(*packet.source.ip(), now)?;
        let record = self.table.get(&opening.flow)?;
        let is_open = record.stage != Stage::Opening || record.placed != opening.placed;
        let is_other = opening.flow.route != packet.destination;
        if is_open || is_other {
            return None;
        }
        Some(Avoid { slot: record.target, since: record.placed })
    }

    /// Whether a caller has heard a target since `at`.
    fn has_answered(&self, slot: usize, at: Instant) -> bool {
        self.directory.get(slot).is_some_and(|target| target.signal.heard_after(at))
    }

    /// Sends a new flow to the target at `slot`.
    fn start(
        &mut self,
        packet: &Packet,
        slot: usize,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        let flow = packet.flow();
        let Some(verdict) = self.forward(slot) else {
            return self.refuse(packet, ResetReason::NoTarget, now, actions);
        };
        let mut record = Record::new(slot, Stage::Opening, now);
        record.opening = Some(packet.sequence);
        // A copy may have gone before it, here or through another instance.
        record.is_moved = packet.acknowledgement > 0;
        self.remember(flow, record, now);
        self.openings.add(Opening { flow, placed: now });
        self.count_cold(slot, now);
        let age = self.age(now);
        if let Some(target) = self.directory.get(slot) {
            actions.push(Action::Note(Note::Placed {
                flow,
                target: target.registration.id.clone(),
                copies: packet.acknowledgement,
                waiting: target.signal.waiting(),
                age,
            }));
        }
        verdict
    }

    /// The target of a new flow.
    fn place(&mut self, packet: &Packet, avoid: Option<Avoid>, now: Instant) -> Option<usize> {
        let mut shares = self.directory.route(packet.destination)?.shares.clone();
        while !shares.is_empty() {
            let share = shares.swap_remove(self.draw(&shares));
            self.demand.count(&share.service, now);
            let mut candidates = self.candidates(&share.service, now);
            if let Some(avoid) = avoid {
                self.turn_from(avoid, &mut candidates);
            }
            let flow = packet.flow();
            if let Some(slot) = self.policy.choose(&flow, &candidates, &mut self.rng) {
                return Some(slot);
            }
        }
        None
    }

    /// Leaves out a target that did not answer, where there are others, and
    /// grades down its neighbours that were not heard since: a whole failure
    /// domain may have been lost.
    fn turn_from(&self, avoid: Avoid, candidates: &mut Vec<Candidate>) {
        if candidates.len() > 1 {
            candidates.retain(|candidate| candidate.index != avoid.slot);
        }
        let domain_of = |slot: usize| self.directory.get(slot).map(|it| &it.registration.domain);
        let domain = domain_of(avoid.slot);
        for candidate in candidates {
            let is_near = domain_of(candidate.index) == domain;
            if is_near && !self.has_answered(candidate.index, avoid.since) {
                candidate.grade = Grade::Doubtful;
            }
        }
    }

    /// Draws one of `shares` by weight.
    fn draw(&mut self, shares: &[Share]) -> usize {
        let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return self.rng.random_range(0..shares.len());
        }
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

    /// Targets of a service that may take a new flow.
    fn candidates(&self, service: &service::Name, now: Instant) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for slot in self.directory.slots_of(service) {
            let Some(target) = self.directory.get(*slot) else { continue };
            if !self.may_take(target, now) {
                continue;
            }
            let doubtful = target.standing.trust(now) != Trust::Trusted
                || target.missing.is_some()
                || target.signal.is_passed_over(now);
            candidates.push(Candidate {
                index: *slot,
                grade: if doubtful { Grade::Doubtful } else { Grade::Good },
                is_local: target.registration.domain == self.home,
                is_cold: now < target.cold_until,
                waiting: target.signal.estimate(self.domain_instances, now),
                idle: f64::from(target.signal.idle()) * self.domain_instances as f64,
                slots: target.registration.slots,
            });
        }
        candidates
    }

    /// Whether any target of a service may take a new flow, be it now or as soon
    /// as its cold start allows.
    pub(super) fn can_place(&self, service: &service::Name, now: Instant) -> bool {
        let mut targets = self.directory.slots_of(service).iter();
        targets.any(|slot| self.directory.get(*slot).is_some_and(|it| self.is_usable(it, now)))
    }

    fn may_take(&self, target: &Target, now: Instant) -> bool {
        self.is_usable(target, now)
            && (now >= target.cold_until
                || self
                    .cold_share(target)
                    .is_none_or(|rate| rate > 0.0 && target.pacer.is_open(now)))
    }

    fn is_usable(&self, target: &Target, now: Instant) -> bool {
        let registration = &target.registration;
        if registration.leaving || target.is_shadowed {
            return false;
        }
        if self.directory.is_evacuated(&registration.domain) {
            return false;
        }
        if target.missing.is_some_and(|since| now.since(since) >= LAPSE) {
            return false;
        }
        !target.standing.is_lost()
    }

    /// Flows a second that this instance may send to a cold target, where limited.
    fn cold_share(&self, target: &Target) -> Option<f64> {
        let rate = self.directory.cold_rate(&target.registration.service)?;
        Some(cold::share(&self.me, &self.known, &target.registration.id, rate))
    }

    fn count_cold(&mut self, slot: usize, now: Instant) {
        let Some(target) = self.directory.get(slot) else { return };
        if now >= target.cold_until {
            return;
        }
        let Some(rate) = self.cold_share(target) else { return };
        if let Some(target) = self.directory.get_mut(slot) {
            target.pacer.take(rate, now);
        }
    }
}

/// What is known of an earlier copy of an opening packet.
enum Copied {
    /// Nothing.
    No,
    /// This one goes the same way.
    Follow(Verdict),
    /// The target left it unanswered.
    Avoid(Avoid),
}

/// A target that left an opening packet unanswered.
#[derive(Debug, Clone, Copy)]
struct Avoid {
    slot: usize,
    /// When the packet was placed.
    since: Instant,
}
