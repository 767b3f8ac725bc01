//! A model of callers, ingresses, owners and two targets, driven by random events.
//!
//! The first target has three instances that may own it, one after another or two
//! at once; the second has one. The world knows the truth of every execution and
//! panics when a gate breaks a promise.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use mustardway_gate::{
    Admission, Announcement, Ask, Choice, Ending, Gate, Handover, Key, Mode, Outcome, Refusal,
    Step, Tenure, message, ticket,
};
use mustardway_types::{answer, flow, instance, packet, request, target, time};

use super::{header, limits};

/// Instances that may own the first target; the second target's gate comes after them.
pub const OWNERS: usize = 3;

/// A defect of the system around the gates, or of a message, that the world must notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A handover loses the remembered requests.
    ForgetRequests,
    /// A handover loses the running requests.
    ForgetRunning,
    /// Ingresses hide that a packet is a repetition.
    FirstAttempt,
    /// An instance that may not be alone is not told so.
    Uncontested,
    /// An ingress never says where it placed a flow, yet says that it placed it nowhere.
    FalseReport,
    /// A gate's "start" is taken twice.
    StartTwice,
}

/// Slots of both targets at first.
const SLOTS: u32 = 2;

/// Time from a packet to its deadline.
const PATIENCE: time::Span = time::Span::millis(2_000);

/// Callers repeat a request for so long after its first deadline.
const REPEATED_WITHIN: time::Span = time::Span::seconds(50);

#[derive(Debug, Clone)]
pub enum Event {
    Send { flow: u64, request: u64, once: bool, urgent: bool, to: usize },
    Repeat { index: usize, to: usize },
    Proceed { index: usize },
    Finish { index: usize, ending: u8 },
    Cancel { index: usize },
    Pass { millis: u64 },
    Move { to: usize },
    Crash { to: usize },
    Split { to: usize },
    Heal,
    Leaving { leaving: bool },
    Domain { out: bool },
    Slots { slots: u32 },
}

#[derive(Debug, Clone)]
struct Sent {
    key: Key,
    attempt: u32,
    once: bool,
    urgent: bool,
    deadline: time::Instant,
    stage: Stage,
    gate: usize,
    hops: u32,
    first: Option<usize>,
    second: bool,
    whole: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    First,
    Second,
    FirstAgain,
    Moved,
}

#[derive(Debug)]
struct Held {
    sent: Vec<Sent>,
    gate: usize,
    running: bool,
}

#[derive(Debug, Default)]
struct Truth {
    running: u32,
    ran: bool,
    told_not_run: u32,
    /// First attempt that joined the latest run.
    attempt: u32,
    attempts: u32,
}

pub struct World {
    fault: Fault,
    now: time::Instant,
    gates: Vec<Option<Gate>>,
    owner: usize,
    other: Option<usize>,
    slots: u32,
    flying: Vec<Sent>,
    known: Vec<Sent>,
    held: BTreeMap<u64, Held>,
    truth: BTreeMap<Key, Truth>,
    flows: BTreeMap<flow::Id, usize>,
    answered_flows: BTreeSet<flow::Id>,
    next: u64,
    history: Vec<(flow::Id, String)>,
    /// After an unplanned change calls of earlier owners may still run, up to here.
    exact_from: time::Instant,
    pub starts: u64,
}

fn name(index: usize) -> instance::Id {
    format!("entry-{index}").parse().unwrap()
}

fn index(name: &instance::Id) -> usize {
    name.as_str().trim_start_matches("entry-").parse().unwrap()
}

fn target(index: usize) -> target::Id {
    let name = if index < OWNERS { "first" } else { "second" };
    name.parse().unwrap()
}

impl World {
    pub fn new(fault: Fault) -> Self {
        let now = time::Instant(100_000_000);
        let mut world = World {
            fault,
            now,
            gates: vec![None, None, None, None],
            owner: 0,
            other: None,
            slots: SLOTS,
            flying: Vec::new(),
            known: Vec::new(),
            held: BTreeMap::new(),
            truth: BTreeMap::new(),
            flows: BTreeMap::new(),
            answered_flows: BTreeSet::new(),
            next: 0,
            history: Vec::new(),
            exact_from: now,
            starts: 0,
        };
        let serving = Tenure::Serving { since: time::Instant::default(), inherited: false };
        world.make(0, serving.clone());
        world.make(OWNERS, serving);
        world
    }

    fn make(&mut self, at: usize, tenure: Tenure) {
        let mut limits = limits(self.slots, 1, 3);
        limits.connections = 3;
        self.gates[at] = Some(Gate::new(target(at), name(at), limits, tenure, 5, self.now));
    }

    pub fn apply(&mut self, event: &Event) {
        if matches!(
            event,
            Event::Move { .. }
                | Event::Crash { .. }
                | Event::Split { .. }
                | Event::Heal
                | Event::Domain { .. }
                | Event::Slots { .. }
        ) {
            let text = format!("{event:?}, owner {}, other {:?}", self.owner, self.other);
            self.note(flow::Id(u64::MAX), text);
        }
        match event {
            Event::Send { flow, request, once, urgent, to } => {
                let key = Key { flow: flow::Id(*flow), request: request::Id(*request), part: 0 };
                self.send(key, *once, *urgent, *to);
            }
            Event::Repeat { index, to } => self.repeat(*index, *to),
            Event::Proceed { index } => self.proceed(*index),
            Event::Finish { index, ending } => self.finish(*index, *ending),
            Event::Cancel { index } => self.cancel(*index),
            Event::Pass { millis } => self.pass(*millis),
            Event::Move { to } => self.hand_over(*to),
            Event::Crash { to } => self.crash(*to),
            Event::Split { to } => self.split(*to),
            Event::Heal => self.heal(),
            Event::Leaving { leaving } => self.with_owner(|gate, _, _| gate.set_leaving(*leaving)),
            Event::Domain { out: true } => {
                self.with_owner(|gate, now, steps| gate.set_domain_out(now, steps));
            }
            Event::Domain { out: false } => {
                self.with_owner(|gate, now, _| gate.set_domain_in(now));
            }
            Event::Slots { slots } => self.set_slots(*slots),
        }
        self.check();
    }

    /// Ends everything that is under way and checks that nothing is left.
    pub fn settle(&mut self) {
        for _ in 0..200 {
            self.pass(400);
            while !self.flying.is_empty() {
                self.proceed(0);
            }
            while self.held.values().any(|held| held.running) {
                self.finish(0, 0);
            }
            if self.held.is_empty() && self.flying.is_empty() {
                return;
            }
        }
        panic!("tickets without an answer: {:?}", self.held);
    }

    fn note(&mut self, flow: flow::Id, text: String) {
        self.history.push((flow, format!("{} {text}", self.now.0)));
    }

    /// What happened to a flow, and to the owners.
    fn story(&self, flow: flow::Id) -> String {
        let mut lines = String::new();
        for (id, text) in &self.history {
            if *id == flow || id.0 == u64::MAX {
                lines.push_str(text);
                lines.push('\n');
            }
        }
        lines
    }

    fn send(&mut self, key: Key, once: bool, urgent: bool, to: usize) {
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
    fn may_send(&self, key: Key) -> bool {
        let opened = self.answered_flows.contains(&key.flow);
        let first = !self.truth.keys().any(|known| known.flow == key.flow);
        !self.truth.contains_key(&key) && (opened || first)
    }

    fn repeat(&mut self, index: usize, to: usize) {
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
    }

    /// The instance that an ingress takes for the owner: in a split it may be either.
    fn believed(&self, to: usize) -> usize {
        match self.other {
            Some(other) if to % 2 == 1 => other,
            _ => self.owner,
        }
    }

    fn proceed(&mut self, index: usize) {
        if self.flying.is_empty() {
            return;
        }
        let sent = self.flying.remove(index % self.flying.len());
        let mode = match sent.stage {
            _ if !self.is_opening(&sent) => Mode::Established,
            Stage::First => Mode::Open { choice: Choice::First, whole: true },
            Stage::Second | Stage::FirstAgain => {
                Mode::Open { choice: Choice::Last, whole: sent.whole }
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
        self.note(sent.key.flow, format!("asks {at}: {sent:?} -> {} {admission:?}", ask.ticket));
        self.admitted(at, ask.ticket, sent, admission);
        self.take(at, steps);
    }

    /// Whether the caller has no answer on the flow yet.
    fn is_opening(&self, sent: &Sent) -> bool {
        !self.answered_flows.contains(&sent.key.flow)
    }

    fn header(&self, sent: &Sent) -> packet::Header {
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

    fn admitted(&mut self, at: usize, ticket: ticket::Id, sent: Sent, admission: Admission) {
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

    fn follow(&mut self, mut sent: Sent, stage: Stage) {
        sent.hops += 1;
        if sent.hops > 4 {
            return self.refuse_itself(&sent);
        }
        sent.stage = stage;
        self.flying.push(sent);
    }

    fn redirect(&mut self, mut sent: Sent, to: Option<instance::Id>) {
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

    fn hold(&mut self, at: usize, ticket: ticket::Id, sent: Sent, running: bool) {
        self.placed(at, &sent);
        self.held.insert(ticket.0, Held { sent: vec![sent], gate: at, running });
    }

    /// The ingress reports where a flow was placed to those that refused it.
    fn placed(&mut self, at: usize, sent: &Sent) {
        self.report(at, sent);
        self.flows.insert(sent.key.flow, usize::from(at == OWNERS));
    }

    fn report(&mut self, at: usize, sent: &Sent) {
        let (now, key, attempt) = (self.now, sent.key, sent.attempt);
        for (told, refused) in [(sent.first, sent.first.is_some()), (Some(OWNERS), sent.second)] {
            let (Some(told), true) = (told, refused) else { continue };
            let told = if told == OWNERS { OWNERS } else { self.owner };
            let Some(gate) = &mut self.gates[told] else { continue };
            if self.fault == Fault::FalseReport {
                gate.place_nowhere(now, key, attempt);
            } else if target(told) != target(at) {
                gate.place_elsewhere(now, key.flow, target(at));
            }
        }
    }

    fn try_next(&mut self, at: usize, mut sent: Sent, refusal: Refusal) {
        sent.whole &= refusal.whole;
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

    fn nowhere(&mut self, sent: &Sent, reason: answer::Reason) {
        for (told, refused) in [(sent.first, sent.first.is_some()), (Some(OWNERS), sent.second)] {
            let (Some(told), true) = (told, refused) else { continue };
            let told = if told == OWNERS { OWNERS } else { self.owner };
            let Some(gate) = &mut self.gates[told] else { continue };
            gate.place_nowhere(self.now, sent.key, sent.attempt);
        }
        if sent.once && sent.attempt > 1 {
            return;
        }
        self.answered(sent, reason);
    }

    /// The ingress refuses on its own: a repeated request may have run.
    fn refuse_itself(&mut self, sent: &Sent) {
        if sent.once && sent.attempt > 1 {
            return;
        }
        self.answered(sent, answer::Reason::NoOwner);
    }

    fn answered(&mut self, sent: &Sent, reason: answer::Reason) {
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

    fn started(&mut self, ticket: ticket::Id) {
        self.starts += 1;
        let held = self.held.get_mut(&ticket.0).expect("started an unknown ticket");
        held.running = true;
        let (sent, gate) = (held.sent[0].clone(), held.gate);
        let first = held.sent.iter().map(|sent| sent.attempt).min().unwrap();
        let latest = held.sent.iter().map(|sent| sent.attempt).max().unwrap();
        let truth = self.truth.get_mut(&sent.key).unwrap();
        truth.attempt = first;
        truth.running += 1 + u32::from(self.fault == Fault::StartTwice);
        self.check_slots(gate);
        let truth = &self.truth[&sent.key];
        if sent.once {
            assert!(
                !truth.ran && truth.running == 1,
                "run twice at {gate}: {sent:?}\n{}",
                self.story(sent.key.flow)
            );
            assert!(
                truth.told_not_run < latest,
                "run after 'not run': {sent:?}\n{}",
                self.story(sent.key.flow)
            );
        }
    }

    fn take(&mut self, at: usize, steps: Vec<Step>) {
        for step in steps {
            self.note_step(at, &step);
            match step {
                Step::Start(ticket) => {
                    assert!(!self.held[&ticket.0].running, "started twice");
                    self.started(ticket);
                }
                Step::Answer(ticket, answer) => {
                    for sent in self.release(ticket).sent {
                        self.answered(&sent, answer.reason);
                    }
                }
                Step::TryNext(ticket, refusal) => {
                    for sent in self.release(ticket).sent {
                        self.try_next(at, sent, refusal);
                    }
                }
                Step::Redirect(ticket, to) => {
                    for sent in self.release(ticket).sent {
                        self.redirect(sent, to.clone());
                    }
                }
                Step::Abort(ticket) => assert!(self.held[&ticket.0].running),
            }
        }
    }

    fn note_step(&mut self, at: usize, step: &Step) {
        let (Step::Start(id)
        | Step::Abort(id)
        | Step::Answer(id, _)
        | Step::TryNext(id, _)
        | Step::Redirect(id, _)) = step;
        self.note_ticket(at, *id, step);
    }

    fn note_ticket(&mut self, at: usize, id: ticket::Id, step: &Step) {
        let Some(held) = self.held.get(&id.0) else { return };
        self.note(held.sent[0].key.flow, format!("{at} says {step:?}"));
    }

    /// Takes a ticket off the books; it must be there.
    fn release(&mut self, ticket: ticket::Id) -> Held {
        self.held.remove(&ticket.0).expect("answered twice, or never admitted")
    }

    fn pick(&self, index: usize, running: bool) -> Option<u64> {
        let all: Vec<u64> = self
            .held
            .iter()
            .filter(|(_, held)| held.running == running)
            .map(|(id, _)| *id)
            .collect();
        (!all.is_empty()).then(|| all[index % all.len()])
    }

    fn finish(&mut self, index: usize, ending: u8) {
        let Some(id) = self.pick(index, true) else { return };
        let ending = match ending {
            0..=5 => Ending::Done(Bytes::from_static(b"booked")),
            6 => Ending::Shed,
            7 => Ending::Unsent,
            8 => Ending::Lost,
            9 => Ending::Overrun,
            _ => Ending::Aborted,
        };
        self.end(id, ending);
    }

    fn end(&mut self, id: u64, ending: Ending) {
        let held = &self.held[&id];
        let (at, key) = (held.gate, held.sent[0].key);
        let truth = self.truth.get_mut(&key).unwrap();
        truth.running -= 1;
        truth.ran |= !matches!(ending, Ending::Shed | Ending::Unsent);
        let outcome = Outcome { ending, took: time::Span::millis(20) };
        let mut steps = Vec::new();
        let gate = self.gates[at].as_mut().unwrap();
        gate.finish(self.now, ticket::Id(id), outcome, &mut steps);
        self.take(at, steps);
        self.send_late(at);
    }

    /// Sends the outcomes of a closed gate to the owner.
    fn send_late(&mut self, at: usize) {
        let Some(late) = self.gates[at].as_mut().and_then(Gate::take_late) else { return };
        if at == self.owner || at == OWNERS {
            return;
        }
        self.receive(self.owner, &late);
    }

    fn receive(&mut self, at: usize, message: &Handover) {
        let mut steps = Vec::new();
        let gate = self.gates[at].as_mut().unwrap();
        gate.receive(self.now, message, &mut steps).unwrap();
        self.take(at, steps);
    }

    /// Whether a running call has passed its deadline, so that the runtime ends it.
    fn is_overdue(&self, id: u64) -> bool {
        let held = &self.held[&id];
        let gate = self.gates[held.gate].as_ref().unwrap();
        held.running && gate.deadline(ticket::Id(id)).is_some_and(|deadline| deadline <= self.now)
    }

    fn cancel(&mut self, index: usize) {
        let Some(id) = self.pick(index, false) else { return };
        let at = self.held[&id].gate;
        let mut steps = Vec::new();
        self.gates[at].as_mut().unwrap().cancel(self.now, ticket::Id(id), &mut steps);
        self.take(at, steps);
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now + time::Span::millis(millis);
        let overdue: Vec<u64> =
            self.held.keys().copied().filter(|id| self.is_overdue(*id)).collect();
        for id in overdue {
            self.end(id, Ending::Overrun);
        }
        for at in 0..self.gates.len() {
            let Some(gate) = &mut self.gates[at] else { continue };
            let mut steps = Vec::new();
            gate.tick(self.now, &mut steps);
            self.take(at, steps);
        }
    }

    fn hand_over(&mut self, to: usize) {
        if to == self.owner || self.other.is_some() {
            return;
        }
        if self.gates[to].is_none() {
            self.make(to, Tenure::pending(self.now));
        }
        self.pass_on(self.owner, to);
        self.owner = to;
    }

    fn pass_on(&mut self, from: usize, to: usize) {
        let mut steps = Vec::new();
        let gate = self.gates[from].as_mut().unwrap();
        let mut message = gate.hand_over(self.now, name(to), &mut steps);
        if self.fault == Fault::ForgetRequests {
            message.requests.retain(|request| request.ending() == message::Ending::Running);
        }
        if self.fault == Fault::ForgetRunning {
            message.requests.retain(|request| request.ending() != message::Ending::Running);
        }
        for part in message.into_parts() {
            self.receive(to, &part);
        }
        self.take(from, steps);
    }

    /// The owner is lost with all that it knew; another takes over.
    fn crash(&mut self, to: usize) {
        if to == self.owner || self.other.is_some() {
            return;
        }
        let lost = std::mem::replace(&mut self.owner, to);
        self.gates[lost] = None;
        self.drop_overlaps();
        self.exact_from = self.now + PATIENCE;
        let announcement = self.announcement(lost);
        let gone: Vec<u64> =
            self.held.iter().filter(|(_, held)| held.gate == lost).map(|(id, _)| *id).collect();
        for id in gone {
            let held = self.held.remove(&id).unwrap();
            let truth = self.truth.get_mut(&held.sent[0].key).unwrap();
            truth.ran |= held.running;
            truth.running -= u32::from(held.running);
        }
        if self.gates[to].is_none() {
            self.make(to, Tenure::pending(self.now));
        } else {
            self.gates[to].as_mut().unwrap().take_over(self.now);
        }
        let mut steps = Vec::new();
        let gate = self.gates[to].as_mut().unwrap();
        gate.announce(self.now, &announcement, &mut steps).unwrap();
        gate.lose_instance(&name(lost));
        self.take(to, steps);
    }

    /// Callers cancel an attempt before they make the next one; only while no owner is lost
    /// or doubled do the attempts of a request overlap here.
    fn drop_overlaps(&mut self) {
        let mut latest = BTreeMap::new();
        for sent in &self.flying {
            let attempt = latest.entry(sent.key).or_insert(sent.attempt);
            *attempt = sent.attempt.max(*attempt);
        }
        for held in self.held.values() {
            for sent in &held.sent {
                let attempt = latest.entry(sent.key).or_insert(sent.attempt);
                *attempt = sent.attempt.max(*attempt);
            }
        }
        self.flying.retain(|sent| latest[&sent.key] == sent.attempt);
    }

    /// What the ingresses know of the first target: its flows, and every request on them
    /// that was ever sent and may have run.
    fn announcement(&self, lost: usize) -> Announcement {
        let mut message = Announcement { target: target(lost).to_string(), ..Default::default() };
        for (flow, second) in &self.flows {
            if *second == 0 {
                message.flows.push(flow.0);
            }
        }
        for held in self.held.values() {
            let key = held.sent[0].key;
            if held.gate != lost || !held.sent[0].once {
                continue;
            }
            message.requests.push(message::Request {
                flow: key.flow.0,
                request: key.request.0,
                part: key.part,
                ..Default::default()
            });
        }
        message
    }

    /// Another instance takes the target over while the owner goes on.
    fn split(&mut self, to: usize) {
        if to == self.owner || self.other.is_some() || self.gates[to].is_some() {
            return;
        }
        self.make(to, Tenure::pending(self.now));
        let other = self.owner;
        self.other = Some(other);
        self.owner = to;
        if self.fault == Fault::Uncontested {
            return;
        }
        for at in [to, other] {
            self.gates[at].as_mut().unwrap().set_contested(self.now, true);
        }
    }

    /// The split ends: the earlier owner hands over to the later one.
    fn heal(&mut self) {
        let Some(other) = self.other.take() else { return };
        self.exact_from = self.now + PATIENCE;
        self.pass_on(other, self.owner);
        if self.fault != Fault::Uncontested {
            self.gates[self.owner].as_mut().unwrap().set_contested(self.now, false);
        }
    }

    fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        let mut limits = limits(slots, 1, 3);
        limits.connections = 3;
        for at in 0..OWNERS {
            let Some(gate) = &mut self.gates[at] else { continue };
            let mut steps = Vec::new();
            gate.set_limits(self.now, limits.clone(), &mut steps);
            self.take(at, steps);
        }
    }

    fn with_owner(&mut self, act: impl FnOnce(&mut Gate, time::Instant, &mut Vec<Step>)) {
        let mut steps = Vec::new();
        act(self.gates[self.owner].as_mut().unwrap(), self.now, &mut steps);
        self.take(self.owner, steps);
    }

    /// Checks at a start that the target has no more than its slots.
    fn check_slots(&self, at: usize) {
        if self.other.is_some() || self.now < self.exact_from {
            return;
        }
        let same = |held: &&Held| held.running && (held.gate == OWNERS) == (at == OWNERS);
        let running = self.held.values().filter(same).count();
        let slots = if at == OWNERS { SLOTS } else { self.slots };
        assert!(running <= slots as usize, "{running} of {slots} slots at {at}");
    }

    fn check(&self) {
        for (at, gate) in self.gates.iter().enumerate() {
            let Some(gate) = gate else { continue };
            let running = self.held.values().filter(|held| held.gate == at && held.running).count();
            let load = gate.load(self.now);
            assert_eq!(load.running as usize, running, "running at {at}");
            assert!(load.queued <= 3, "queue of {at}");
        }
    }
}
