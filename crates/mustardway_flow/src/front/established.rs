//! Packets of established flows. Each goes to the target that its token names.

use mustardway_load::key;
use mustardway_load::sample::Sample;
use mustardway_types::time::{Instant, Span};

use super::{Action, FRESHNESS_MAX, Front, Verdict};
use crate::load::Load;
use crate::note::{DropReason, Note, ResetReason, Wait};
use crate::observation::RESPONSE_TIMEOUT;
use crate::packet::{Flow, Packet, is_after};
use crate::table::{Record, Stage};
use crate::token::Token;

/// Maximum number of flows with unknown tokens that are kept.
const UNKNOWN_TOKENS_MAX: usize = 4_096;

impl Front {
    /// Decides what to do with a packet that does not open a flow.
    pub(super) fn continue_flow(
        &mut self,
        packet: &Packet,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        if packet.token == Token::NONE {
            return Verdict::Drop(DropReason::NoToken);
        }
        let record = self.table.get(&packet.flow());
        if record.is_some_and(|record| !record.may_include(packet.sequence)) {
            // A new flow uses the addresses of an earlier one.
            self.untrack(&packet.flow(), now);
        }
        let Some(index) = self.target_index(packet) else {
            return self.handle_unknown_token(packet, now, actions);
        };
        let Some(target) = self.directory.get(index) else {
            return Verdict::Drop(DropReason::UnknownToken);
        };
        if !self.unknown_tokens.is_empty() {
            self.unknown_tokens.remove(&packet.flow());
        }
        if !self.directory.has_routed_to(packet.destination, &target.registration.service) {
            return Verdict::Drop(DropReason::ForeignToken);
        }
        let Some(route) = self.directory.route(packet.destination) else {
            if !self.is_fresh(now) {
                return Verdict::Drop(DropReason::NoRoute);
            }
            return self.reset(packet, ResetReason::RouteRemoved, now, actions);
        };
        let is_repeatable = route.is_repeatable();
        let is_ambiguous = !target.is_named_by(packet.token);
        if self.must_wait(packet, index, now, actions) {
            self.has_held = true;
            return Verdict::Hold;
        }
        self.observe(packet, index, now, actions);
        let record = self.table.get(&packet.flow());
        let may_be_elsewhere = record.map_or(is_ambiguous, |it| it.may_be_elsewhere(now));
        if self.must_reset(index, is_repeatable) && !packet.flags.resets && !may_be_elsewhere {
            return self.reset(packet, ResetReason::TargetLost, now, actions);
        }
        let verdict = self.forward_to(index, is_ambiguous);
        verdict.unwrap_or(Verdict::Drop(DropReason::UnknownToken))
    }

    /// Returns the directory index of the flow's target. If two targets answer copies
    /// of one opening packet, the later answer changes the token that the caller
    /// sends. The holder of a contested flow gets its packets; else the target stays the
    /// same once this instance has seen the flow open.
    fn target_index(&self, packet: &Packet) -> Option<usize> {
        let record = self.table.get(&packet.flow());
        let open = record.filter(|record| record.stage != Stage::Opening);
        let open = open.filter(|record| self.directory.get(record.target).is_some());
        let contested = self.contested.opening_of(&packet.flow());
        let is_same = |record: &Record| record.opening.is_none() || record.opening == contested;
        let has_seen_open =
            |record: &Record| contested.is_some_and(|opening| record.has_seen_open(opening));
        let may_be_elsewhere = open.is_none_or(|open| is_same(open) && !has_seen_open(open));
        let holder = self.holder(packet).filter(|_| may_be_elsewhere);
        let known = holder.or(open.map(|record| record.target));
        known.or_else(|| self.index_of_token(packet.token))
    }

    /// Returns the directory index of the target that a token names.
    pub(super) fn index_of_token(&self, token: Token) -> Option<usize> {
        self.directory.index_of_token(token, |unregistered_at| self.is_gone(unregistered_at))
    }

    /// Returns whether flows of a target have to be reset. If a request may run only
    /// once, its flow is kept as long as the target may still be running it.
    pub(super) fn must_reset(&self, index: usize, is_repeatable: bool) -> bool {
        let Some(target) = self.directory.get(index) else { return false };
        target.health.is_lost() && (is_repeatable || target.health.is_terminated())
    }

    /// Handles a packet whose token names no known target. The target was registered
    /// just now, or it left before this instance started. The flow is reset only once
    /// the token has stayed unknown for [`FRESHNESS_MAX`] and the published state is
    /// fresh.
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

    /// Updates the flow and its target from one packet.
    fn observe(&mut self, packet: &Packet, index: usize, now: Instant, actions: &mut Vec<Action>) {
        let flow = packet.flow();
        let is_replaced = self.sync_record(&flow, packet, index, now, actions);
        let mut is_contested = self.names_other_target(packet.token, index);
        let usual_round_trip = self.load().map_or(Span::ZERO, Load::usual_round_trip);
        let mut round_trip = None;
        let is_measurable = |since: Instant| !self.is_clearing_backlog && since > self.resumed;
        let Some(record) = self.table.get_mut(&flow) else { return };
        record.last_packet = now;
        if record.first.is_none() {
            record.first = Some(packet.sequence);
            record.has_first_data = packet.length > 0;
        }
        let mut responded = false;
        if record.stage == Stage::Opening {
            record.stage = Stage::Open;
            record.acknowledged = packet.acknowledgement;
            responded = true;
            is_contested |= record.is_ambiguous || is_replaced;
            if record.opening.is_some() && !is_replaced {
                let waited = now.since(record.placed);
                actions.push(Action::Waited(Wait::Open(waited)));
                if !record.is_ambiguous && is_measurable(record.placed) {
                    record.measurement.record_round_trip(waited);
                    round_trip = Some(waited);
                }
            }
        }
        if is_after(packet.acknowledgement, record.acknowledged) {
            record.acknowledged = packet.acknowledgement;
            responded = true;
        }
        let waited = if responded { record.request_since.take() } else { None };
        if let Some(since) = waited {
            actions.push(Action::Waited(Wait::Answer(now.since(since))));
            if is_measurable(since) {
                record.measurement.record_answer(usual_round_trip, now);
            }
        }
        let has_free_slot = packet.length > 0 && self.has_free_slot(index, now);
        let Some(record) = self.table.get_mut(&flow) else { return };
        let mut progress = Progress { responded, answered: waited.is_some(), requested: false };
        let mut unanswered_since = None;
        let mut previous = None;
        if packet.length > 0 {
            let end = packet.sequence.wrapping_add(u32::from(packet.length));
            let is_new = record.sent_end.is_none_or(|sent_end| is_after(end, sent_end));
            if is_new {
                record.sent_end = Some(end);
                progress.requested = record.request_since.is_none();
                if progress.requested {
                    previous = record.measurement.take_answer(record.acknowledged);
                    record.measurement.begin_request(record.acknowledged, has_free_slot, now);
                } else {
                    record.measurement.continue_request(now);
                }
                record.request_since = record.request_since.or(Some(now));
            } else {
                unanswered_since = record.request_since;
            }
        }
        let opening = record.opening.filter(|it| is_contested && record.has_seen_first_after(*it));
        let ended = packet.flags.finishes || packet.flags.resets;
        if let Some(answer) = previous {
            self.record_answer(index, flow.route, &answer);
        }
        if let Some(opening) = opening {
            self.record_holder(flow, opening, index, now, actions);
        }
        self.record_progress(&flow, &progress, round_trip);
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

    /// Returns whether a token names another target than the one at `index`, which then
    /// has answered the opening packet of the flow as well.
    fn names_other_target(&self, token: Token, index: usize) -> bool {
        let target = self.directory.get(index);
        target.is_some_and(|target| target.token.without_mark() != token.without_mark())
            && self.index_of_token(token).is_some_and(|named| named != index)
    }

    /// Records what one packet shows about the load.
    fn record_progress(&mut self, flow: &Flow, progress: &Progress, round_trip: Option<Span>) {
        let Some(load) = &mut self.load else { return };
        let route = key::Route::of(flow.route);
        if let Some(round_trip) = round_trip {
            load.record_round_trip(round_trip);
        }
        if progress.requested {
            load.node.record(&Sample::Requested(route));
        }
        // The size of an answer is known once the next request begins or the flow ends,
        // unless the first part of the answer shows that it is not short.
        if !progress.answered {
            return;
        }
        let Some(record) = self.table.get_mut(flow) else { return };
        let is_long = record
            .measurement
            .answer(record.acknowledged)
            .is_some_and(|answer| load.is_long(route, &answer));
        if is_long && let Some(answer) = record.measurement.take_answer(record.acknowledged) {
            let index = record.target;
            self.record_answer(index, flow.route, &answer);
        }
    }

    /// Returns whether a target seems to have a slot for another request. Little is known of
    /// the requests at targets in other failure domains.
    fn has_free_slot(&self, index: usize, now: Instant) -> bool {
        let senders = self.neighbours.len();
        self.directory.get(index).is_some_and(|target| {
            let outstanding = target.observation.estimate_outstanding(senders, now);
            let is_local = target.registration.domain == self.home;
            is_local && outstanding + 1.0 <= f64::from(target.registration.slots)
        })
    }

    /// Returns whether a target is unregistered and has not responded to any caller
    /// since then.
    fn is_unregistered_and_silent(&self, index: usize) -> bool {
        let Some(target) = self.directory.get(index) else { return false };
        target.unregistered_at.is_some_and(|since| !target.observation.has_responded_after(since))
    }

    /// Makes the record of a flow agree with the target of its packet. Returns whether it was
    /// replaced, so that the time at which the target got the opening packet is not known.
    fn sync_record(
        &mut self,
        flow: &Flow,
        packet: &Packet,
        index: usize,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        let known = self.table.get(flow).copied();
        if known.is_some_and(|record| record.target == index) {
            return false;
        }
        // A target tried earlier than the last one has opened the flow, or this
        // instance sees the flow for the first time.
        let stage = if known.is_some() { Stage::Opening } else { Stage::Open };
        let mut record = Record::new(index, stage, now);
        record.opening = known.and_then(|known| known.opening);
        let target = self.directory.get(index);
        record.is_ambiguous = target.is_some_and(|target| !target.is_named_by(packet.token))
            && self.holder(packet) != Some(index);
        record.acknowledged = packet.acknowledgement;
        self.track(*flow, record, now);
        if known.is_none()
            && let Some(target) = self.directory.get(index)
        {
            let is_marked = !target.is_named_by(packet.token);
            let target = target.registration.id.clone();
            actions.push(Action::Note(Note::Moved { flow: *flow, target, is_marked }));
        }
        true
    }

    /// Updates a target with the progress that one packet shows.
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
            if let Some(load) = &mut self.load {
                let is_reference = load.is_reference(target.key);
                load.controller.record_answer(&target.registration.service, is_reference);
            }
        }
        if progress.requested {
            observation.start_request(now);
            if let Some(load) = &mut self.load {
                load.controller.record_request(&target.registration.service);
            }
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

    /// Suspects a target whose caller has retransmitted data.
    fn handle_retransmission(
        &mut self,
        index: usize,
        flow: Flow,
        since: Instant,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.directory.get(index) else { return };
        let is_early = now.since(since) < RESPONSE_TIMEOUT || self.backlog.has_stalled(now);
        if is_early || target.observation.has_responded_after(since) {
            return;
        }
        self.suspect(index, Some(flow), now, actions);
    }

    /// Marks a flow as ended: its caller sends no more data.
    fn end_flow(&mut self, flow: &Flow, now: Instant) {
        let Some(mut record) = self.untrack(flow, now) else { return };
        record.stage = Stage::Ended;
        record.request_since = None;
        self.table.insert(*flow, record);
    }
}

/// What one packet shows about the flow's target.
#[derive(Debug, Clone, Copy)]
struct Progress {
    /// The caller has received something from the target.
    responded: bool,
    /// The target has begun to answer a request.
    answered: bool,
    /// The packet starts a new request.
    requested: bool,
}
