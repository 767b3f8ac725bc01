//! Callers and ingresses: what they send, follow and report.

use mustardway_gate::{Admission, Ask, Candidate, Key, Mode, Refusal, ticket};
use mustardway_types::{answer, instance, packet, request};

use super::{Fault, Held, OWNERS, PATIENCE, REPEATED_WITHIN, Sent, Stage, World, index, target};
use crate::support::header;

impl World {
    pub(super) fn send(&mut self, key: Key, once: bool, urgent: bool, to: usize) {
        if !self.may_send(key) {
            return;
        }
        let truth = self.truth.entry(key).or_default();
        truth.attempts = 1;
        let deadline = self.now + PATIENCE;
        let sent = Sent {
            key,
            attempt: 1,
            once,
            urgent,
            deadline,
            stage: Stage::First,
            gate: self.believed(to),
            hops: 0,
            first: None,
            second: false,
            whole: true,
        };
        self.known.push(sent.clone());
        self.flying.push(sent);
    }

    /// Callers open a flow by one request and send others once that was answered.
    pub(super) fn may_send(&self, key: Key) -> bool {
        let opened = self.answered_flows.contains(&key.flow);
        let first = !self.truth.keys().any(|known| known.flow == key.flow);
        !self.truth.contains_key(&key) && (opened || first)
    }

    pub(super) fn repeat(&mut self, index: usize, to: usize) {
        if self.known.is_empty() {
            return;
        }
        let at = index % self.known.len();
        let mut sent = self.known[at].clone();
        if self.now.since(sent.deadline) > REPEATED_WITHIN {
            return;
        }
        let truth = self.truth.get_mut(&sent.key).unwrap();
        truth.attempts += 1;
        sent.attempt = if self.fault == Fault::FirstAttempt { 1 } else { truth.attempts };
        sent.deadline = self.now + PATIENCE;
        sent.gate = self.believed(to);
        self.flying.push(sent);
        if self.other.is_some() {
            self.drop_overlaps();
        }
    }

    /// The instance that an ingress takes for the owner: in a split it may be either.
    pub(super) fn believed(&self, to: usize) -> usize {
        match self.other {
            Some(other) if to % 2 == 1 => other,
            _ => self.owner,
        }
    }

    pub(super) fn proceed(&mut self, index: usize) {
        if self.flying.is_empty() {
            return;
        }
        let sent = self.flying.remove(index % self.flying.len());
        let mode = match sent.stage {
            _ if !self.is_opening(&sent) => Mode::Established,
            Stage::First => Mode::Open { candidate: Candidate::First, fresh: true },
            Stage::Second | Stage::FirstAgain => {
                Mode::Open { candidate: Candidate::Last, fresh: sent.whole }
            }
            Stage::Moved => Mode::Established,
        };
        let at =
            if matches!(sent.stage, Stage::Second | Stage::Moved) { OWNERS } else { sent.gate };
        self.next += 1;
        let ask = Ask {
            header: self.header(&sent),
            deadline: sent.deadline,
            mode,
            ticket: ticket::Id(self.next),
        };
        let Some(gate) = &mut self.gates[at] else { return self.refuse_itself(&sent) };
        let mut steps = Vec::new();
        let admission = gate.admit(self.now, &ask, &mut steps);
        let text = format!("asks {at}: {sent:?} -> {} {admission:?}", ask.ticket);
        self.note(sent.key.flow, &text);
        self.admitted(at, ask.ticket, sent, admission);
        self.take(at, steps);
    }

    /// Whether the caller has no answer on the flow yet.
    pub(super) fn is_opening(&self, sent: &Sent) -> bool {
        !self.answered_flows.contains(&sent.key.flow)
    }

    pub(super) fn header(&self, sent: &Sent) -> packet::Header {
        packet::Header {
            attempt: sent.attempt,
            opening: self.is_opening(sent),
            repeat: if sent.once { request::Repeat::Once } else { request::Repeat::Idempotent },
            urgency: if sent.urgent {
                request::Urgency::Urgent
            } else {
                request::Urgency::Ordinary
            },
            ..header(sent.key.flow.0, sent.key.request.0)
        }
    }

    pub(super) fn admitted(
        &mut self,
        at: usize,
        ticket: ticket::Id,
        sent: Sent,
        admission: Admission,
    ) {
        match admission {
            Admission::Run => {
                self.hold(at, ticket, sent, true);
                self.started(ticket);
            }
            Admission::Queued => self.hold(at, ticket, sent, false),
            Admission::Answer(answer) => self.answered(&sent, answer.reason),
            Admission::TryNext(refusal) => self.try_next(at, sent, refusal),
            Admission::Replay(_) => {
                assert!(self.truth[&sent.key].ran, "a reply without a run: {sent:?}");
                self.placed(at, &sent);
            }
            Admission::Join(leader) => {
                let held = self.held.get_mut(&leader.0).expect("joined an unknown ticket");
                assert_eq!(held.sent[0].key, sent.key);
                held.sent.push(sent);
            }
            Admission::Moved(_) if at == OWNERS => self.follow(sent, Stage::FirstAgain),
            Admission::Moved(_) => self.follow(sent, Stage::Moved),
            Admission::UnknownFlow if at != OWNERS => self.follow(sent, Stage::Moved),
            Admission::Reserved { .. } => panic!("nothing was to be reserved"),
            Admission::UnknownFlow | Admission::Wait(_) => self.refuse_itself(&sent),
            Admission::NotOwner(to) => self.redirect(sent, to),
        }
    }

    pub(super) fn follow(&mut self, mut sent: Sent, stage: Stage) {
        sent.hops += 1;
        if sent.hops > 4 {
            return self.refuse_itself(&sent);
        }
        sent.stage = stage;
        self.flying.push(sent);
    }

    pub(super) fn redirect(&mut self, mut sent: Sent, to: Option<instance::Id>) {
        sent.hops += 1;
        let next = to.map(|to| index(&to));
        match next {
            Some(next) if sent.hops < 4 && self.gates[next].is_some() => {
                sent.gate = next;
                self.flying.push(sent);
            }
            _ => self.refuse_itself(&sent),
        }
    }

    pub(super) fn hold(&mut self, at: usize, ticket: ticket::Id, sent: Sent, running: bool) {
        self.placed(at, &sent);
        self.held.insert(ticket.0, Held { sent: vec![sent], gate: at, running });
    }

    /// The ingress reports where a flow was placed to those that refused it.
    pub(super) fn placed(&mut self, at: usize, sent: &Sent) {
        self.report(at, sent);
        self.flows.insert(sent.key.flow, usize::from(at == OWNERS));
    }

    pub(super) fn report(&mut self, at: usize, sent: &Sent) {
        let (now, key, attempt) = (self.now, sent.key, sent.attempt);
        for (told, refused) in [(sent.first, sent.first.is_some()), (Some(OWNERS), sent.second)] {
            let (Some(told), true) = (told, refused) else { continue };
            let told = if told == OWNERS { OWNERS } else { self.owner };
            let Some(gate) = &mut self.gates[told] else { continue };
            if self.fault == Fault::FalseReport {
                gate.record_no_placement(now, key, attempt);
            } else if target(told) != target(at) {
                gate.record_placement(now, key.flow, target(at));
            }
        }
    }

    pub(super) fn try_next(&mut self, at: usize, mut sent: Sent, refusal: Refusal) {
        sent.whole &= refusal.fresh;
        let second = usize::from(at == OWNERS);
        if self.flows.get(&sent.key.flow) == Some(&second) {
            self.flows.remove(&sent.key.flow);
        }
        if at == OWNERS {
            sent.second = true;
        } else {
            sent.first = Some(at);
        }
        match sent.stage {
            Stage::First => sent.stage = Stage::Second,
            Stage::Second => sent.stage = Stage::FirstAgain,
            Stage::FirstAgain | Stage::Moved => return self.nowhere(&sent, refusal.answer.reason),
        }
        self.flying.push(sent);
    }

    pub(super) fn nowhere(&mut self, sent: &Sent, reason: answer::Reason) {
        for (told, refused) in [(sent.first, sent.first.is_some()), (Some(OWNERS), sent.second)] {
            let (Some(told), true) = (told, refused) else { continue };
            let told = if told == OWNERS { OWNERS } else { self.owner };
            let Some(gate) = &mut self.gates[told] else { continue };
            gate.record_no_placement(self.now, sent.key, sent.attempt);
        }
        if sent.once && sent.attempt > 1 {
            return;
        }
        self.answered(sent, reason);
    }

    /// The ingress refuses on its own: a repeated request may have run.
    pub(super) fn refuse_itself(&mut self, sent: &Sent) {
        if sent.once && sent.attempt > 1 {
            return;
        }
        self.answered(sent, answer::Reason::NoOwner);
    }

    pub(super) fn answered(&mut self, sent: &Sent, reason: answer::Reason) {
        if reason == answer::Reason::Answered {
            self.answered_flows.insert(sent.key.flow);
        }
        if !reason.kind().says_not_run() || !sent.once {
            return;
        }
        let truth = &self.truth[&sent.key];
        let ran = truth.ran || truth.running > 0;
        let true_refusal = !ran || truth.attempt > sent.attempt;
        assert!(
            true_refusal,
            "a false 'not run' ({reason:?}): {sent:?}\n{}",
            self.story(sent.key.flow)
        );
        let truth = self.truth.get_mut(&sent.key).unwrap();
        truth.told_not_run = truth.told_not_run.max(sent.attempt);
    }
}
