//! Callers and ingresses: sending, forwarding and reporting.

use mustardway_gate::{Admission, Ask, Candidate, Key, Mode, Refusal, ticket};
use mustardway_types::{answer, instance, packet, request};

use super::{
    Admitted, Fault, MAX_RETRY_SPAN, OWNERS, Packet, Simulation, Stage, TIME_TO_DEADLINE, index,
    target,
};
use crate::support::header;

impl Simulation {
    pub(super) fn send(&mut self, key: Key, once: bool, urgent: bool, to: usize) {
        if !self.may_send(key) {
            return;
        }
        let execution = self.executions.entry(key).or_default();
        execution.attempts = 1;
        let deadline = self.now + TIME_TO_DEADLINE;
        let packet = Packet {
            key,
            attempt: 1,
            once,
            urgent,
            deadline,
            stage: Stage::First,
            gate: self.believed_owner(to),
            hops: 0,
            first_refused_by: None,
            second_refused: false,
            fresh: true,
        };
        self.first_attempts.push(packet.clone());
        self.in_flight.push(packet);
    }

    /// Returns whether a caller may send a request: callers open a flow with one request and send
    /// the others after that one was answered.
    pub(super) fn may_send(&self, key: Key) -> bool {
        let opened = self.answered_flows.contains(&key.flow);
        let first = !self.executions.keys().any(|known| known.flow == key.flow);
        !self.executions.contains_key(&key) && (opened || first)
    }

    pub(super) fn retry(&mut self, index: usize, to: usize) {
        if self.first_attempts.is_empty() {
            return;
        }
        let at = index % self.first_attempts.len();
        let mut packet = self.first_attempts[at].clone();
        if self.now.since(packet.deadline) > MAX_RETRY_SPAN {
            return;
        }
        let execution = self.executions.get_mut(&packet.key).unwrap();
        execution.attempts += 1;
        packet.attempt = if self.fault == Fault::FirstAttempt { 1 } else { execution.attempts };
        packet.deadline = self.now + TIME_TO_DEADLINE;
        packet.gate = self.believed_owner(to);
        self.in_flight.push(packet);
        if self.split_owner.is_some() {
            self.drop_overlaps();
        }
    }

    /// Returns the instance that an ingress takes for the owner. In a split it may be either of
    /// the two.
    pub(super) fn believed_owner(&self, to: usize) -> usize {
        match self.split_owner {
            Some(other) if to % 2 == 1 => other,
            _ => self.owner,
        }
    }

    pub(super) fn deliver(&mut self, index: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let packet = self.in_flight.remove(index % self.in_flight.len());
        let mode = match packet.stage {
            _ if !self.is_opening(&packet) => Mode::Established,
            Stage::First => Mode::Open { candidate: Candidate::First, fresh: true },
            Stage::Second | Stage::FirstAgain => {
                Mode::Open { candidate: Candidate::Last, fresh: packet.fresh }
            }
            Stage::Moved => Mode::Established,
        };
        let at =
            if matches!(packet.stage, Stage::Second | Stage::Moved) { OWNERS } else { packet.gate };
        self.next += 1;
        let ask = Ask {
            header: self.header(&packet),
            deadline: packet.deadline,
            mode,
            ticket: ticket::Id(self.next),
        };
        let Some(gate) = &mut self.gates[at] else { return self.refuse_at_ingress(&packet) };
        let mut steps = Vec::new();
        let admission = gate.admit(self.now, &ask, &mut steps);
        let text = format!("asks {at}: {packet:?} -> {} {admission:?}", ask.ticket);
        self.log(packet.key.flow, &text);
        self.apply_admission(at, ask.ticket, packet, admission);
        self.apply_steps(at, steps);
    }

    /// Returns whether the caller has no answer on the flow yet.
    pub(super) fn is_opening(&self, packet: &Packet) -> bool {
        !self.answered_flows.contains(&packet.key.flow)
    }

    pub(super) fn header(&self, packet: &Packet) -> packet::Header {
        packet::Header {
            attempt: packet.attempt,
            opening: self.is_opening(packet),
            repeat: if packet.once { request::Repeat::Once } else { request::Repeat::Idempotent },
            urgency: if packet.urgent {
                request::Urgency::Urgent
            } else {
                request::Urgency::Ordinary
            },
            ..header(packet.key.flow.0, packet.key.request.0)
        }
    }

    pub(super) fn apply_admission(
        &mut self,
        at: usize,
        ticket: ticket::Id,
        packet: Packet,
        admission: Admission,
    ) {
        match admission {
            Admission::Run => {
                self.record_admitted(at, ticket, packet, true);
                self.started(ticket);
            }
            Admission::Queued => self.record_admitted(at, ticket, packet, false),
            Admission::Answer(answer) => self.record_answer(&packet, answer.reason),
            Admission::TryNext(refusal) => self.try_next(at, packet, refusal),
            Admission::Replay(_) => {
                assert!(self.executions[&packet.key].ran, "a reply without a run: {packet:?}");
                self.record_placed(at, &packet);
            }
            Admission::Join(leader) => {
                let admitted = self.admitted.get_mut(&leader.0).expect("joined an unknown ticket");
                assert_eq!(admitted.packets[0].key, packet.key);
                admitted.packets.push(packet);
            }
            Admission::Moved(_) if at == OWNERS => self.forward(packet, Stage::FirstAgain),
            Admission::Moved(_) => self.forward(packet, Stage::Moved),
            Admission::UnknownFlow if at != OWNERS => self.forward(packet, Stage::Moved),
            Admission::Reserved { .. } => panic!("nothing was to be reserved"),
            Admission::UnknownFlow | Admission::Wait(_) => self.refuse_at_ingress(&packet),
            Admission::NotOwner(to) => self.redirect(packet, to),
        }
    }

    pub(super) fn forward(&mut self, mut packet: Packet, stage: Stage) {
        packet.hops += 1;
        if packet.hops > 4 {
            return self.refuse_at_ingress(&packet);
        }
        packet.stage = stage;
        self.in_flight.push(packet);
    }

    pub(super) fn redirect(&mut self, mut packet: Packet, to: Option<instance::Id>) {
        packet.hops += 1;
        let next = to.map(|to| index(&to));
        match next {
            Some(next) if packet.hops < 4 && self.gates[next].is_some() => {
                packet.gate = next;
                self.in_flight.push(packet);
            }
            _ => self.refuse_at_ingress(&packet),
        }
    }

    pub(super) fn record_admitted(
        &mut self,
        at: usize,
        ticket: ticket::Id,
        packet: Packet,
        running: bool,
    ) {
        self.record_placed(at, &packet);
        self.admitted.insert(ticket.0, Admitted { packets: vec![packet], gate: at, running });
    }

    /// Records where a flow is placed and reports it to the gates that refused the flow.
    pub(super) fn record_placed(&mut self, at: usize, packet: &Packet) {
        self.report_placement(at, packet);
        self.flows.insert(packet.key.flow, usize::from(at == OWNERS));
    }

    pub(super) fn report_placement(&mut self, at: usize, packet: &Packet) {
        let (now, key, attempt) = (self.now, packet.key, packet.attempt);
        for (refuser, refused) in [
            (packet.first_refused_by, packet.first_refused_by.is_some()),
            (Some(OWNERS), packet.second_refused),
        ] {
            let (Some(refuser), true) = (refuser, refused) else { continue };
            let refuser = if refuser == OWNERS { OWNERS } else { self.owner };
            let Some(gate) = &mut self.gates[refuser] else { continue };
            if self.fault == Fault::FalseReport {
                gate.record_no_placement(now, key, attempt);
            } else if target(refuser) != target(at) {
                gate.record_placement(now, key.flow, target(at));
            }
        }
    }

    pub(super) fn try_next(&mut self, at: usize, mut packet: Packet, refusal: Refusal) {
        packet.fresh &= refusal.fresh;
        let second = usize::from(at == OWNERS);
        if self.flows.get(&packet.key.flow) == Some(&second) {
            self.flows.remove(&packet.key.flow);
        }
        if at == OWNERS {
            packet.second_refused = true;
        } else {
            packet.first_refused_by = Some(at);
        }
        match packet.stage {
            Stage::First => packet.stage = Stage::Second,
            Stage::Second => packet.stage = Stage::FirstAgain,
            Stage::FirstAgain | Stage::Moved => return self.refuse(&packet, refusal.answer.reason),
        }
        self.in_flight.push(packet);
    }

    pub(super) fn refuse(&mut self, packet: &Packet, reason: answer::Reason) {
        for (refuser, refused) in [
            (packet.first_refused_by, packet.first_refused_by.is_some()),
            (Some(OWNERS), packet.second_refused),
        ] {
            let (Some(refuser), true) = (refuser, refused) else { continue };
            let refuser = if refuser == OWNERS { OWNERS } else { self.owner };
            let Some(gate) = &mut self.gates[refuser] else { continue };
            gate.record_no_placement(self.now, packet.key, packet.attempt);
        }
        if packet.once && packet.attempt > 1 {
            return;
        }
        self.record_answer(packet, reason);
    }

    /// Refuses a packet at the ingress. A retry gets no "not run", because an earlier attempt may
    /// have run.
    pub(super) fn refuse_at_ingress(&mut self, packet: &Packet) {
        if packet.once && packet.attempt > 1 {
            return;
        }
        self.record_answer(packet, answer::Reason::NoOwner);
    }

    pub(super) fn record_answer(&mut self, packet: &Packet, reason: answer::Reason) {
        if reason == answer::Reason::Answered {
            self.answered_flows.insert(packet.key.flow);
        }
        if !reason.kind().says_not_run() || !packet.once {
            return;
        }
        let execution = &self.executions[&packet.key];
        let ran = execution.ran || execution.running > 0;
        let true_refusal = !ran || execution.first_attempt > packet.attempt;
        assert!(
            true_refusal,
            "a false 'not run' ({reason:?}): {packet:?}\n{}",
            self.describe_history(packet.key.flow)
        );
        let execution = self.executions.get_mut(&packet.key).unwrap();
        execution.told_not_run = execution.told_not_run.max(packet.attempt);
    }
}
