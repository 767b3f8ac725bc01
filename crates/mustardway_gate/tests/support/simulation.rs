//! Simulation of callers, ingresses, owners and two targets, driven by random
//! events.
//!
//! The first target has three instances that may own it, one after another or
//! two at the same time; the second target has one. The simulation tracks every
//! execution and panics when a gate breaks a guarantee.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use mustardway_gate::{Ending, Gate, Key, Outcome, Ownership, Step, ticket};
use mustardway_types::{flow, instance, request, target, time};

mod ingress;
mod owners;

use super::limits;

/// Number of instances that may own the first target. The gate of the second target has this
/// index.
pub const OWNERS: usize = 3;

/// A fault outside the gates, or in a message, that the simulation must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A handover loses the requests that have ended.
    ForgetRequests,
    /// A handover loses the running requests.
    ForgetRunning,
    /// Ingresses send every retry as a first attempt.
    FirstAttempt,
    /// The owners are not told that they serve at the same time.
    Uncontested,
    /// An ingress that has placed a flow on the next target reports that it placed the flow on no
    /// target.
    FalseReport,
    /// A gate's start step is carried out twice.
    StartTwice,
}

/// Slots of each target at the beginning.
const INITIAL_SLOTS: u32 = 2;

/// Time from sending a packet to its deadline.
const TIME_TO_DEADLINE: time::Span = time::Span::millis(2_000);

/// Time after the first deadline during which callers retry a request.
const MAX_RETRY_SPAN: time::Span = time::Span::seconds(50);

/// One random event. Indices are taken modulo the number of candidates.
#[derive(Debug, Clone)]
pub enum Event {
    Send { flow: u64, request: u64, once: bool, urgent: bool, to: usize },
    Retry { index: usize, to: usize },
    Deliver { index: usize },
    Finish { index: usize, ending: u8 },
    Cancel { index: usize },
    AdvanceTime { millis: u64 },
    Move { to: usize },
    Crash { to: usize },
    Split { to: usize },
    Heal,
    Leaving { leaving: bool },
    Domain { out: bool },
    Slots { slots: u32 },
}

/// One attempt of a request, on its way from the caller through an ingress to a gate.
#[derive(Debug, Clone)]
struct Packet {
    key: Key,
    attempt: u32,
    once: bool,
    urgent: bool,
    deadline: time::Instant,
    stage: Stage,
    /// Instance that the ingress takes for the owner of the first target.
    gate: usize,
    hops: u32,
    /// Gate of the first target that refused the flow.
    first_refused_by: Option<usize>,
    /// Whether the second target refused the flow.
    second_refused: bool,
    /// Whether no gate has said that requests of the flow may have run before.
    fresh: bool,
}

/// Target that a packet is sent to next, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    First,
    Second,
    FirstAgain,
    Moved,
}

/// A ticket that runs or waits, with all packets that joined it.
#[derive(Debug)]
struct Admitted {
    packets: Vec<Packet>,
    gate: usize,
    running: bool,
}

/// What really happened to one request.
#[derive(Debug, Default)]
struct Execution {
    running: u32,
    ran: bool,
    /// Highest attempt whose caller was told "not run".
    told_not_run: u32,
    /// Lowest attempt among the packets of the latest run when it started.
    first_attempt: u32,
    /// Number of attempts that were sent.
    attempts: u32,
}

pub struct Simulation {
    fault: Fault,
    now: time::Instant,
    gates: Vec<Option<Gate>>,
    owner: usize,
    /// Earlier owner that goes on serving during a split.
    split_owner: Option<usize>,
    slots: u32,
    /// Packets that have not reached a gate yet.
    in_flight: Vec<Packet>,
    first_attempts: Vec<Packet>,
    admitted: BTreeMap<u64, Admitted>,
    executions: BTreeMap<Key, Execution>,
    /// Target on which each flow is placed: 0 for the first, 1 for the second.
    flows: BTreeMap<flow::Id, usize>,
    answered_flows: BTreeSet<flow::Id>,
    next: u64,
    /// Logged events by flow; events of the owners are under the id `u64::MAX`.
    history: Vec<(flow::Id, String)>,
    /// Time from which the slots are checked. Until then, calls of earlier owners may still run
    /// after a change of the owner.
    slots_exact_from: time::Instant,
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

impl Simulation {
    pub fn new(fault: Fault) -> Self {
        let now = time::Instant(100_000_000);
        let mut simulation = Simulation {
            fault,
            now,
            gates: vec![None, None, None, None],
            owner: 0,
            split_owner: None,
            slots: INITIAL_SLOTS,
            in_flight: Vec::new(),
            first_attempts: Vec::new(),
            admitted: BTreeMap::new(),
            executions: BTreeMap::new(),
            flows: BTreeMap::new(),
            answered_flows: BTreeSet::new(),
            next: 0,
            history: Vec::new(),
            slots_exact_from: now,
            starts: 0,
        };
        let serving = Ownership::Serving { since: time::Instant::default(), inherited: false };
        simulation.create_gate(0, serving.clone());
        simulation.create_gate(OWNERS, serving);
        simulation
    }

    fn create_gate(&mut self, at: usize, ownership: Ownership) {
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
            let text = format!("{event:?}, owner {}, other {:?}", self.owner, self.split_owner);
            self.log(flow::Id(u64::MAX), &text);
        }
        match event {
            Event::Send { flow, request, once, urgent, to } => {
                let key = Key { flow: flow::Id(*flow), request: request::Id(*request), part: 0 };
                self.send(key, *once, *urgent, *to);
            }
            Event::Retry { index, to } => self.retry(*index, *to),
            Event::Deliver { index } => self.deliver(*index),
            Event::Finish { index, ending } => self.finish(*index, *ending),
            Event::Cancel { index } => self.cancel(*index),
            Event::AdvanceTime { millis } => self.advance_time(*millis),
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
        self.check_gates();
    }

    /// Ends everything that is under way and checks that no ticket is left.
    pub fn settle(&mut self) {
        for _ in 0..200 {
            self.advance_time(400);
            while !self.in_flight.is_empty() {
                self.deliver(0);
            }
            while self.admitted.values().any(|admitted| admitted.running) {
                self.finish(0, 0);
            }
            if self.admitted.is_empty() && self.in_flight.is_empty() {
                return;
            }
        }
        panic!("tickets without an answer: {:?}", self.admitted);
    }

    fn log(&mut self, flow: flow::Id, text: &str) {
        self.history.push((flow, format!("{} {text}", self.now.0)));
    }

    /// Returns the logged events of a flow and of the owners.
    fn describe_history(&self, flow: flow::Id) -> String {
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
        let admitted = self.admitted.get_mut(&ticket.0).expect("started an unknown ticket");
        admitted.running = true;
        let (packet, gate) = (admitted.packets[0].clone(), admitted.gate);
        let first = admitted.packets.iter().map(|packet| packet.attempt).min().unwrap();
        let latest = admitted.packets.iter().map(|packet| packet.attempt).max().unwrap();
        let execution = self.executions.get_mut(&packet.key).unwrap();
        execution.first_attempt = first;
        execution.running += 1 + u32::from(self.fault == Fault::StartTwice);
        self.check_slots(gate);
        let execution = &self.executions[&packet.key];
        if packet.once {
            assert!(
                !execution.ran && execution.running == 1,
                "run twice at {gate}: {packet:?}\n{}",
                self.describe_history(packet.key.flow)
            );
            assert!(
                execution.told_not_run < latest,
                "run after 'not run': {packet:?}\n{}",
                self.describe_history(packet.key.flow)
            );
        }
    }

    fn apply_steps(&mut self, at: usize, steps: Vec<Step>) {
        for step in steps {
            self.log_step(at, &step);
            match step {
                Step::Start(ticket) => {
                    assert!(!self.admitted[&ticket.0].running, "started twice");
                    self.started(ticket);
                }
                Step::Answer(ticket, answer) => {
                    for packet in self.release(ticket).packets {
                        self.record_answer(&packet, answer.reason);
                    }
                }
                Step::TryNext(ticket, refusal) => {
                    for packet in self.release(ticket).packets {
                        self.try_next(at, packet, refusal);
                    }
                }
                Step::Redirect(ticket, to) => {
                    for packet in self.release(ticket).packets {
                        self.redirect(packet, to.clone());
                    }
                }
                Step::Abort(ticket) => assert!(self.admitted[&ticket.0].running),
            }
        }
    }

    fn log_step(&mut self, at: usize, step: &Step) {
        let (Step::Start(id)
        | Step::Abort(id)
        | Step::Answer(id, _)
        | Step::TryNext(id, _)
        | Step::Redirect(id, _)) = step;
        self.log_ticket(at, *id, step);
    }

    fn log_ticket(&mut self, at: usize, id: ticket::Id, step: &Step) {
        let Some(admitted) = self.admitted.get(&id.0) else { return };
        let flow = admitted.packets[0].key.flow;
        self.log(flow, &format!("{at} says {step:?}"));
    }

    /// Removes a ticket that must exist.
    fn release(&mut self, ticket: ticket::Id) -> Admitted {
        self.admitted.remove(&ticket.0).expect("answered twice, or never admitted")
    }

    fn pick(&self, index: usize, running: bool) -> Option<u64> {
        let all: Vec<u64> = self
            .admitted
            .iter()
            .filter(|(_, admitted)| admitted.running == running)
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
        self.end_call(id, ending);
    }

    fn end_call(&mut self, id: u64, ending: Ending) {
        let admitted = &self.admitted[&id];
        let (at, key) = (admitted.gate, admitted.packets[0].key);
        let execution = self.executions.get_mut(&key).unwrap();
        execution.running -= 1;
        execution.ran |= !matches!(ending, Ending::Shed | Ending::Unsent);
        let outcome = Outcome { ending, took: time::Span::millis(20) };
        let mut steps = Vec::new();
        let gate = self.gates[at].as_mut().unwrap();
        gate.finish(self.now, ticket::Id(id), outcome, &mut steps);
        self.apply_steps(at, steps);
        self.send_late_outcomes(at);
    }

    /// Returns whether a running call has passed its deadline, so that the runtime ends it.
    fn is_overdue(&self, id: u64) -> bool {
        let admitted = &self.admitted[&id];
        let gate = self.gates[admitted.gate].as_ref().unwrap();
        admitted.running
            && gate.deadline(ticket::Id(id)).is_some_and(|deadline| deadline <= self.now)
    }

    fn cancel(&mut self, index: usize) {
        let Some(id) = self.pick(index, false) else { return };
        let at = self.admitted[&id].gate;
        let mut steps = Vec::new();
        self.gates[at].as_mut().unwrap().cancel(self.now, ticket::Id(id), &mut steps);
        self.apply_steps(at, steps);
    }

    fn advance_time(&mut self, millis: u64) {
        self.now = self.now + time::Span::millis(millis);
        let overdue: Vec<u64> =
            self.admitted.keys().copied().filter(|id| self.is_overdue(*id)).collect();
        for id in overdue {
            self.end_call(id, Ending::Overrun);
        }
        for at in 0..self.gates.len() {
            let Some(gate) = &mut self.gates[at] else { continue };
            let mut steps = Vec::new();
            gate.tick(self.now, &mut steps);
            self.apply_steps(at, steps);
        }
    }

    /// Checks at a start that the target does not run more requests than its slots allow.
    fn check_slots(&self, at: usize) {
        if self.split_owner.is_some() || self.now < self.slots_exact_from {
            return;
        }
        let same =
            |admitted: &&Admitted| admitted.running && (admitted.gate == OWNERS) == (at == OWNERS);
        let running = self.admitted.values().filter(same).count();
        let slots = if at == OWNERS { INITIAL_SLOTS } else { self.slots };
        assert!(running <= slots as usize, "{running} of {slots} slots at {at}");
    }

    fn check_gates(&self) {
        for (at, gate) in self.gates.iter().enumerate() {
            let Some(gate) = gate else { continue };
            let running = self
                .admitted
                .values()
                .filter(|admitted| admitted.gate == at && admitted.running)
                .count();
            let load = gate.load(self.now);
            assert_eq!(load.running as usize, running, "running at {at}");
            assert!(load.queued <= 3, "queue of {at}");
        }
    }
}
