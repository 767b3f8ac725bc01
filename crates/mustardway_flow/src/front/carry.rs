//! Packets of open flows: each goes to the target that its token names.

use mustardway_types::time::Instant;

use super::{Action, FRESH, Front, Verdict};
use crate::note::{DropReason, Note, ResetReason, Wait};
use crate::packet::{Flow, Packet, is_after};
use crate::signal::UNANSWERED;
use crate::table::{Record, Stage};
use crate::token::Token;

/// Flows with unknown tokens that are remembered, at most.
const STRANGERS_MAX: usize = 4_096;

impl Front {
    /// Decides what becomes of a packet that opens no flow.
    pub(super) fn carry(
        &mut self,
        packet: &Packet,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        if packet.token == Token::NONE {
            return Verdict::Drop(DropReason::NoToken);
        }
        let Some(slot) = self.target_of(packet) else {
            return self.carry_stranger(packet, now, actions);
        };
        let Some(target) = self.directory.get(slot) else {
            return Verdict::Drop(DropReason::UnknownToken);
        };
        if !self.directory.has_led(packet.destination, &target.registration.service) {
            return Verdict::Drop(DropReason::ForeignToken);
        }
        let Some(route) = self.directory.route(packet.destination) else {
            return self.refuse(packet, ResetReason::RouteRemoved, now, actions);
        };
        let is_repeatable = route.is_repeatable();
        self.observe(packet, slot, now, actions);
        if self.is_over(slot, is_repeatable) && !packet.flags.resets {
            return self.refuse(packet, ResetReason::TargetLost, now, actions);
        }
        self.forward(slot).unwrap_or(Verdict::Drop(DropReason::UnknownToken))
    }

    /// Place of the target of an open flow. Two targets may have answered copies
    /// of one opening packet, and the later answer changes the token that the
    /// caller sends: where the flow was seen to be open, its target stays.
    fn target_of(&self, packet: &Packet) -> Option<usize> {
        let record = self.table.get(&packet.flow());
        let open = record.filter(|record| record.stage != Stage::Opening);
        let open = open.filter(|record| self.directory.get(record.target).is_some());
        open.map(|record| record.target).or_else(|| self.directory.slot_of_token(packet.token))
    }

    /// Whether the flows of a target cannot go on. A request that may run once
    /// at most is left alone while its target may still be at work on it.
    pub(super) fn is_over(&self, slot: usize, is_repeatable: bool) -> bool {
        let Some(target) = self.directory.get(slot) else { return false };
        target.standing.is_lost() && (is_repeatable || target.standing.is_gone())
    }

    /// A token that names no known target: of one that was registered just now,
    /// or of one that left before this instance started.
    fn carry_stranger(
        &mut self,
        packet: &Packet,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        let flow = packet.flow();
        let Some(first) = self.strangers.get(&flow).copied() else {
            if self.strangers.len() < STRANGERS_MAX {
                self.strangers.insert(flow, now);
            }
            return Verdict::Drop(DropReason::UnknownToken);
        };
        if now.since(first) < FRESH || !self.is_fresh(now) {
            return Verdict::Drop(DropReason::UnknownToken);
        }
        self.strangers.remove(&flow);
        self.refuse(packet, ResetReason::UnknownToken, now, actions)
    }

    /// Notes what a packet tells of its flow and its target.
    fn observe(&mut self, packet: &Packet, slot: usize, now: Instant, actions: &mut Vec<Action>) {
        let flow = packet.flow();
        self.recognise(&flow, packet, slot, now);
        let Some(record) = self.table.get_mut(&flow) else { return };
        record.seen = now;
        let mut heard = false;
        if record.stage == Stage::Opening {
            record.stage = Stage::Open;
            record.acknowledged = packet.acknowledgement;
            heard = true;
            if record.opening.is_some() {
                actions.push(Action::Waited(Wait::Open(now.since(record.placed))));
            }
        }
        if is_after(packet.acknowledgement, record.acknowledged) {
            record.acknowledged = packet.acknowledgement;
            heard = true;
        }
        let waited = if heard { record.waiting.take() } else { None };
        if let Some(since) = waited {
            actions.push(Action::Waited(Wait::Answer(now.since(since))));
        }
        let mut told = Told { heard, answered: waited.is_some(), asked: false };
        let mut silent_since = None;
        if packet.length > 0 {
            let end = packet.sequence.wrapping_add(u32::from(packet.length));
            let is_new = record.sent.is_none_or(|sent| is_after(end, sent));
            if is_new {
                record.sent = Some(end);
                told.asked = record.waiting.is_none();
                record.waiting = record.waiting.or(Some(now));
            } else {
                silent_since = record.waiting;
            }
        }
        let ended = packet.flags.finishes || packet.flags.resets;
        self.count(slot, &told, now, actions);
        if told.asked && !heard && self.is_missing(slot) {
            self.doubt(slot, Some(flow), now, actions);
        }
        if let Some(since) = silent_since {
            self.hear_silence(slot, flow, since, now, actions);
        }
        if ended {
            self.end(&flow, now);
        }
    }

    /// Whether a target's registration vanished and no caller has heard it since.
    fn is_missing(&self, slot: usize) -> bool {
        let Some(target) = self.directory.get(slot) else { return false };
        target.missing.is_some_and(|since| !target.signal.heard_after(since))
    }

    /// Makes the record of a flow agree with the token that its packet carries.
    fn recognise(&mut self, flow: &Flow, packet: &Packet, slot: usize, now: Instant) {
        let known = self.table.get(flow).copied();
        if known.is_some_and(|record| record.target == slot) {
            return;
        }
        // Another target than the last one that was tried has opened the flow,
        // or this instance has not seen the flow before.
        let stage = if known.is_some() { Stage::Opening } else { Stage::Open };
        let mut record = Record::new(slot, stage, now);
        record.opening = known.and_then(|known| known.opening);
        record.acknowledged = packet.acknowledgement;
        self.remember(*flow, record, now);
    }

    /// Counts at a target what one packet told.
    fn count(&mut self, slot: usize, told: &Told, now: Instant, actions: &mut Vec<Action>) {
        let Some(target) = self.directory.get_mut(slot) else { return };
        let signal = &mut target.signal;
        if told.answered {
            signal.settle(now);
        }
        if told.asked {
            signal.ask(now);
        }
        if !told.heard {
            return;
        }
        signal.hear(now);
        if target.standing.hear() {
            let id = target.registration.id.clone();
            actions.push(Action::Note(Note::Trusted { target: id }));
        }
    }

    /// A caller sent the same bytes again.
    fn hear_silence(
        &mut self,
        slot: usize,
        flow: Flow,
        since: Instant,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.directory.get(slot) else { return };
        if now.since(since) < UNANSWERED || target.signal.heard_after(since) {
            return;
        }
        self.doubt(slot, Some(flow), now, actions);
    }

    /// The caller has nothing more to send.
    fn end(&mut self, flow: &Flow, now: Instant) {
        let Some(mut record) = self.forget(flow, now) else { return };
        record.stage = Stage::Ended;
        record.waiting = None;
        self.table.insert(*flow, record);
    }
}

/// What one packet of a caller tells of the flow's target.
#[derive(Debug, Clone, Copy)]
struct Told {
    /// The caller has heard it.
    heard: bool,
    /// It has begun to answer a request.
    answered: bool,
    /// It is asked for something new.
    asked: bool,
}
