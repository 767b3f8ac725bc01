//! A model of callers, ingresses, owners and two targets, driven by random events.
//!
//! The first target has three instances that may own it, one after another or two
//! at once; the second has one. The world knows the truth of every execution and
//! panics when a gate breaks a promise.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use mustardway_gate::{Ending, Gate, Key, Outcome, Ownership, Step, ticket};
use mustardway_types::{flow, instance, request, target, time};

mod ingress;
mod owners;

use super::limits;

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
        let serving = Ownership::Serving { since: time::Instant::default(), inherited: false };
        world.make(0, serving.clone());
        world.make(OWNERS, serving);
        world
    }

    fn make(&mut self, at: usize, ownership: Ownership) {
        let mut limits = limits(self.slots, 1, 3);
        limits.connections = 3;
        self.gates[at] = Some(Gate::new(target(at), name(at), limits, ownership, 5, self.now));
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
            self.note(flow::Id(u64::MAX), &text);
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

    fn note(&mut self, flow: flow::Id, text: &str) {
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
        let flow = held.sent[0].key.flow;
        self.note(flow, &format!("{at} says {step:?}"));
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
