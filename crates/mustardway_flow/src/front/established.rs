//! Packets of open flows: each goes to the target that its token names.

use mustardway_types::time::Instant;

use super::{Action, FRESHNESS_MAX, Front, Verdict};
use crate::note::{DropReason, Note, ResetReason, Wait};
use crate::observation::RESPONSE_TIMEOUT;
use crate::packet::{Flow, Packet, is_after};
use crate::table::{Record, Stage};
use crate::token::Token;

/// Flows with unknown tokens that are remembered, at most.
const UNKNOWN_TOKENS_MAX: usize = 4_096;

impl Front {
    /// Decides what becomes of a packet that opens no flow.
    pub(super) fn continue_flow(
        &mut self,
        packet: &Packet,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        if packet.token == Token::NONE {
            return Verdict::Drop(DropReason::NoToken);
        }
        let Some(index) = self.target_index(packet) else {
            return self.handle_unknown_token(packet, now, actions);
        };
        let Some(target) = self.directory.get(index) else {
            return Verdict::Drop(DropReason::UnknownToken);
        };
        if !self.directory.has_routed_to(packet.destination, &target.registration.service) {
            return Verdict::Drop(DropReason::ForeignToken);
        }
        let Some(route) = self.directory.route(packet.destination) else {
            return self.reset(packet, ResetReason::RouteRemoved, now, actions);
        };
        let is_repeatable = route.is_repeatable();
        self.observe(packet, index, now, actions);
        if self.must_reset(index, is_repeatable) && !packet.flags.resets {
            return self.reset(packet, ResetReason::TargetLost, now, actions);
        }
        self.forward_to(index).unwrap_or(Verdict::Drop(DropReason::UnknownToken))
    }

    /// Place of the target of an open flow. Two targets may have answered copies
    /// of one opening packet, and the later answer changes the token that the
    /// caller sends: where the flow was seen to be open, its target stays.
    fn target_index(&self, packet: &Packet) -> Option<usize> {
        let record = self.table.get(&packet.flow());
        let open = record.filter(|record| record.stage != Stage::Opening);
        let open = open.filter(|record| self.directory.get(record.target).is_some());
        open.map(|record| record.target).or_else(|| self.directory.index_of_token(packet.token))
    }

    /// Whether the flows of a target cannot go on. A request that may run once
    /// at most is left alone while its target may still be at work on it.
    pub(super) fn must_reset(&self, index: usize, is_repeatable: bool) -> bool {
        let Some(target) = self.directory.get(index) else { return false };
        target.health.is_lost() && (is_repeatable || target.health.is_terminated())
    }

    /// A token that names no known target: of one that was registered just now,
    /// or of one that left before this instance started.
    fn handle_unknown_token(
        &mut self,
        packet: &Packet,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        let flow = packet.flow();
        let Some(first) = self.unknown_tokens.get(&flow).copied() else {
            if self.unknown_tokens.len() < UNKNOWN_TOKENS_MAX {
                self.unknown_tokens.insert(flow, now);
            }
            return Verdict::Drop(DropReason::UnknownToken);
        };
        if now.since(first) < FRESHNESS_MAX || !self.is_fresh(now) {
            return Verdict::Drop(DropReason::UnknownToken);
        }
        self.unknown_tokens.remove(&flow);
        self.reset(packet, ResetReason::UnknownToken, now, actions)
    }

    /// Notes what a packet tells of its flow and its target.
    fn observe(&mut self, packet: &Packet, index: usize, now: Instant, actions: &mut Vec<Action>) {
        let flow = packet.flow();
        self.sync_record(&flow, packet, index, now);
        let Some(record) = self.table.get_mut(&flow) else { return };
        record.last_packet = now;
        let mut responded = false;
        if record.stage == Stage::Opening {
            record.stage = Stage::Open;
            record.acknowledged = packet.acknowledgement;
            responded = true;
            if record.opening.is_some() {
                actions.push(Action::Waited(Wait::Open(now.since(record.placed))));
            }
        }
        if is_after(packet.acknowledgement, record.acknowledged) {
            record.acknowledged = packet.acknowledgement;
            responded = true;
        }
        let waited = if responded { record.request_since.take() } else { None };
        if let Some(since) = waited {
            actions.push(Action::Waited(Wait::Answer(now.since(since))));
        }
        let mut progress = Progress { responded, answered: waited.is_some(), requested: false };
        let mut unanswered_since = None;
        if packet.length > 0 {
            let end = packet.sequence.wrapping_add(u32::from(packet.length));
            let is_new = record.sent_end.is_none_or(|sent_end| is_after(end, sent_end));
            if is_new {
                record.sent_end = Some(end);
                progress.requested = record.request_since.is_none();
                record.request_since = record.request_since.or(Some(now));
            } else {
                unanswered_since = record.request_since;
            }
        }
        let ended = packet.flags.finishes || packet.flags.resets;
        self.update_target(index, &progress, now, actions);
        if progress.requested && !responded && self.is_unregistered_and_silent(index) {
            self.suspect(index, Some(flow), now, actions);
        }
        if let Some(since) = unanswered_since {
            self.handle_retransmission(index, flow, since, now, actions);
        }
        if ended {
            self.end_flow(&flow, now);
        }
    }

    /// Whether a target's registration vanished and no caller has heard it since.
    fn is_unregistered_and_silent(&self, index: usize) -> bool {
        let Some(target) = self.directory.get(index) else { return false };
        target.unregistered_at.is_some_and(|since| !target.observation.has_responded_after(since))
    }

    /// Makes the record of a flow agree with the token that its packet carries.
    fn sync_record(&mut self, flow: &Flow, packet: &Packet, index: usize, now: Instant) {
        let known = self.table.get(flow).copied();
        if known.is_some_and(|record| record.target == index) {
            return;
        }
        // Another target than the last one that was tried has opened the flow,
        // or this instance has not seen the flow before.
        let stage = if known.is_some() { Stage::Opening } else { Stage::Open };
        let mut record = Record::new(index, stage, now);
        record.opening = known.and_then(|known| known.opening);
        record.acknowledged = packet.acknowledgement;
        self.track(*flow, record, now);
    }

    /// Counts at a target what one packet told.
    fn update_target(
        &mut self,
        index: usize,
        progress: &Progress,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.directory.get_mut(index) else { return };
        let observation = &mut target.observation;
        if progress.answered {
            observation.finish_request(now);
        }
        if progress.requested {
            observation.start_request(now);
        }
        if !progress.responded {
            return;
        }
        observation.record_response(now);
        if target.health.record_response() {
            let id = target.registration.id.clone();
            actions.push(Action::Note(Note::Trusted { target: id }));
        }
    }

    /// A caller sent the same bytes again.
    fn handle_retransmission(
        &mut self,
        index: usize,
        flow: Flow,
        since: Instant,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.directory.get(index) else { return };
        if now.since(since) < RESPONSE_TIMEOUT || target.observation.has_responded_after(since) {
            return;
        }
        self.suspect(index, Some(flow), now, actions);
    }

    /// The caller has nothing more to send.
    fn end_flow(&mut self, flow: &Flow, now: Instant) {
        let Some(mut record) = self.untrack(flow, now) else { return };
        record.stage = Stage::Ended;
        record.request_since = None;
        self.table.insert(*flow, record);
    }
}

/// What one packet of a caller tells of the flow's target.
#[derive(Debug, Clone, Copy)]
struct Progress {
    /// The caller has heard it.
    responded: bool,
    /// It has begun to answer a request.
    answered: bool,
    /// It is asked for something new.
    requested: bool,
}
