//! Service of one target at twice its capacity, with a gate and with a plain
//! queue.
//!
//! Arrivals are open-loop and service times exponential; time is simulated and
//! the seeds are fixed. The load is twice the capacity for 60 s and 70% of it
//! after that. A request counts if it is answered within its deadline. The
//! plain queue is first in, first out, has 1,000 places and ignores deadlines.
//! Prints minimum, median and maximum over the seeds.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use bytes::Bytes;
use mustardway_gate::{
    Admission, Ask, Candidate, Ending, Gate, Key, Mode, Outcome, Ownership, Step, ticket,
};
use mustardway_types::{flow, packet, request, time};
use mustardway_view::model::Limits;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const SEEDS: u64 = 7;
const MEAN_SERVICE_SECONDS: f64 = 0.020;
const URGENT_SHARE: f64 = 0.2;
const OVERLOAD_FACTOR: f64 = 2.0;
const NORMAL_FACTOR: f64 = 0.7;
const OVERLOAD_END_SECONDS: f64 = 160.0;
const START_SECONDS: f64 = 100.0;
const END_SECONDS: f64 = 190.0;

/// Length of one window in the search for the recovery, in seconds.
const WINDOW_SECONDS: f64 = 0.5;

/// A target and the deadlines of its callers.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    slots: u32,
    /// Time from a request to its deadline.
    time_to_deadline: time::Span,
}

const SCENARIOS: [Scenario; 4] = [
    Scenario { slots: 2, time_to_deadline: time::Span::millis(500) },
    Scenario { slots: 4, time_to_deadline: time::Span::millis(500) },
    Scenario { slots: 4, time_to_deadline: time::Span::millis(150) },
    Scenario { slots: 16, time_to_deadline: time::Span::millis(150) },
];

/// One request of a caller.
#[derive(Debug, Clone, Copy)]
struct Call {
    at: f64,
    service: f64,
    urgent: bool,
}

/// Results of the calls.
#[derive(Debug, Default)]
struct Score {
    in_time: Vec<bool>,
}

/// A queueing policy in front of the target.
trait Policy {
    fn serve(&mut self, scenario: Scenario, calls: &[Call]) -> Score;
}

/// First in, first out, without deadlines.
struct PlainQueue;

/// Admission control by a gate.
struct GatePolicy;

fn calls(scenario: Scenario, seed: u64) -> Vec<Call> {
    let mut random = Pcg32::seed_from_u64(seed);
    let capacity = f64::from(scenario.slots) / MEAN_SERVICE_SECONDS;
    let mut calls = Vec::new();
    let mut at = START_SECONDS;
    while at < END_SECONDS {
        let load = if at < OVERLOAD_END_SECONDS { OVERLOAD_FACTOR } else { NORMAL_FACTOR };
        at += exponential(&mut random) / (capacity * load);
        let service = exponential(&mut random) * MEAN_SERVICE_SECONDS;
        calls.push(Call { at, service, urgent: random.random_bool(URGENT_SHARE) });
    }
    calls
}

fn exponential(random: &mut Pcg32) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

fn instant(seconds: f64) -> time::Instant {
    time::Instant((seconds * 1e6) as u64)
}

impl Policy for PlainQueue {
    fn serve(&mut self, scenario: Scenario, calls: &[Call]) -> Score {
        const PLACES: usize = 1_000;
        let mut score = Score { in_time: vec![false; calls.len()] };
        let mut free: BinaryHeap<Reverse<u64>> = (0..scenario.slots).map(|_| Reverse(0)).collect();
        let mut starts: VecDeque<f64> = VecDeque::new();
        for (index, call) in calls.iter().enumerate() {
            while starts.front().is_some_and(|start| *start <= call.at) {
                starts.pop_front();
            }
            if starts.len() >= PLACES {
                continue;
            }
            let Some(Reverse(free_at)) = free.pop() else { continue };
            let start = call.at.max(free_at as f64 / 1e6);
            let end = start + call.service;
            free.push(Reverse((end * 1e6) as u64));
            starts.push_back(start);
            score.in_time[index] = end - call.at <= scenario.time_to_deadline.as_seconds();
        }
        score
    }
}

/// A gate and its target in simulated time.
struct Run<'a> {
    scenario: Scenario,
    calls: &'a [Call],
    gate: Gate,
    ends: BinaryHeap<Reverse<(time::Instant, usize)>>,
    started: HashMap<usize, time::Instant>,
    score: Score,
}

impl Policy for GatePolicy {
    fn serve(&mut self, scenario: Scenario, calls: &[Call]) -> Score {
        let limits = Limits {
            slots: scenario.slots,
            cold_slots: scenario.slots,
            connections: 1_000_000,
            warm_up: time::Span::seconds(10),
            queue: 64,
        };
        let ownership = Ownership::Serving { since: time::Instant(0), inherited: false };
        let (target, instance) = ("target".parse(), "entry".parse());
        let (Ok(target), Ok(instance)) = (target, instance) else { return Score::default() };
        let gate = Gate::new(target, instance, limits, ownership, 1, instant(START_SECONDS));
        let score = Score { in_time: vec![false; calls.len()] };
        let (ends, started) = (BinaryHeap::new(), HashMap::new());
        let mut run = Run { scenario, calls, gate, ends, started, score };
        for (index, call) in calls.iter().enumerate() {
            run.advance(instant(call.at));
            run.arrive(index);
        }
        run.advance(instant(END_SECONDS) + scenario.time_to_deadline);
        run.score
    }
}

impl Run<'_> {
    fn advance(&mut self, until: time::Instant) {
        while let Some(Reverse((at, index))) = self.ends.peek().copied() {
            if at > until {
                break;
            }
            self.ends.pop();
            self.end(at, index);
        }
        let mut steps = Vec::new();
        self.gate.tick(until, &mut steps);
        self.apply_steps(until, &steps);
    }

    fn arrive(&mut self, index: usize) {
        let call = self.calls[index];
        let now = instant(call.at);
        let Ok(address) = "10.0.0.7:443".parse() else { return };
        let urgency =
            if call.urgent { request::Urgency::Urgent } else { request::Urgency::Ordinary };
        let header = packet::Header {
            address,
            flow: flow::Id(index as u64 % 1_000),
            request: request::Id(index as u64),
            part: 0,
            parts: 1,
            opening: false,
            closing: false,
            repeat: request::Repeat::Idempotent,
            attempt: 1,
            urgency,
        };
        let ask = Ask {
            header,
            deadline: now + self.scenario.time_to_deadline,
            mode: Mode::Open { candidate: Candidate::Last, fresh: true },
            ticket: ticket::Id(index as u64),
        };
        let mut steps = Vec::new();
        match self.gate.admit(now, &ask, &mut steps) {
            Admission::Run => self.start(now, index),
            Admission::TryNext(_) => self.gate.record_no_placement(now, Key::of(&ask.header), 1),
            _ => {}
        }
        self.apply_steps(now, &steps);
    }

    fn start(&mut self, now: time::Instant, index: usize) {
        let call = self.calls[index];
        let end = now + time::Span((call.service * 1e6) as u64);
        let deadline = instant(call.at) + self.scenario.time_to_deadline;
        self.started.insert(index, now);
        self.ends.push(Reverse((end.min(deadline), index)));
    }

    fn end(&mut self, now: time::Instant, index: usize) {
        let Some(started) = self.started.remove(&index) else { return };
        let deadline = instant(self.calls[index].at) + self.scenario.time_to_deadline;
        let in_time = now < deadline;
        self.score.in_time[index] = in_time;
        let ending = if in_time { Ending::Done(Bytes::new()) } else { Ending::Overrun };
        let outcome = Outcome { ending, took: now.since(started) };
        let mut steps = Vec::new();
        self.gate.finish(now, ticket::Id(index as u64), outcome, &mut steps);
        self.apply_steps(now, &steps);
    }

    fn apply_steps(&mut self, now: time::Instant, steps: &[Step]) {
        for step in steps {
            let Step::Start(ticket) = step else { continue };
            self.start(now, ticket.0 as usize);
        }
    }
}

/// Returns the share of urgent calls under overload that were answered in time, in percent.
fn urgent_share(calls: &[Call], score: &Score) -> f64 {
    let (mut asked, mut good) = (0, 0);
    for (call, in_time) in calls.iter().zip(&score.in_time) {
        if call.at < OVERLOAD_END_SECONDS && call.urgent {
            asked += 1;
            good += u32::from(*in_time);
        }
    }
    100.0 * f64::from(good) / f64::from(asked)
}

/// Returns the calls answered in time under overload relative to the capacity, in percent.
fn goodput(scenario: Scenario, calls: &[Call], score: &Score) -> f64 {
    let mut good = 0;
    for (call, in_time) in calls.iter().zip(&score.in_time) {
        good += u32::from(*in_time && call.at < OVERLOAD_END_SECONDS);
    }
    let capacity =
        f64::from(scenario.slots) / MEAN_SERVICE_SECONDS * (OVERLOAD_END_SECONDS - START_SECONDS);
    100.0 * f64::from(good) / capacity
}

/// Returns the time from the end of the overload until 99% of the calls of every later window are
/// answered in time, in seconds.
fn recovery(calls: &[Call], score: &Score) -> f64 {
    let windows = ((END_SECONDS - OVERLOAD_END_SECONDS) / WINDOW_SECONDS) as usize;
    let mut bad = vec![(0u32, 0u32); windows + 1];
    for (call, in_time) in calls.iter().zip(&score.in_time) {
        if call.at >= OVERLOAD_END_SECONDS {
            let window = &mut bad[((call.at - OVERLOAD_END_SECONDS) / WINDOW_SECONDS) as usize];
            window.0 += 1;
            window.1 += u32::from(!in_time);
        }
    }
    let last = bad.iter().rposition(|(all, bad)| f64::from(*bad) > 0.01 * f64::from(*all));
    last.map_or(0.0, |window| (window + 1) as f64 * WINDOW_SECONDS)
}

/// Returns the share of calls answered in time from ten seconds after the overload on, in
/// percent.
fn steady_share(calls: &[Call], score: &Score) -> f64 {
    const SETTLED_SECONDS: f64 = OVERLOAD_END_SECONDS + 10.0;
    let (mut asked, mut good) = (0, 0);
    for (call, in_time) in calls.iter().zip(&score.in_time) {
        if call.at >= SETTLED_SECONDS {
            asked += 1;
            good += u32::from(*in_time);
        }
    }
    100.0 * f64::from(good) / f64::from(asked)
}

fn print(name: &str, unit: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let (low, middle, high) = (values[0], values[values.len() / 2], values[values.len() - 1]);
    println!("{name:<42} {low:>8.1} {middle:>8.1} {high:>8.1} {unit}");
}

/// Runs one scenario under one policy and prints its lines.
fn measure(scenario: Scenario, name: &str, policy: &mut dyn Policy) {
    let (mut urgent, mut good, mut back) = (Vec::new(), Vec::new(), Vec::new());
    let mut after = Vec::new();
    for seed in 0..SEEDS {
        let calls = calls(scenario, seed);
        let score = policy.serve(scenario, &calls);
        urgent.push(urgent_share(&calls, &score));
        good.push(goodput(scenario, &calls, &score));
        back.push(recovery(&calls, &score));
        after.push(steady_share(&calls, &score));
    }
    print(&format!("{name}: urgent in time"), "%", urgent);
    print(&format!("{name}: goodput of capacity"), "%", good);
    print(&format!("{name}: recovery"), "s", back);
    print(&format!("{name}: in time 10 s after"), "%", after);
}

fn main() {
    for scenario in SCENARIOS {
        let title = format!("{} slots, {} patience", scenario.slots, scenario.time_to_deadline);
        println!("{title:<42} {:>8} {:>8} {:>8}", "min", "median", "max");
        measure(scenario, "plain queue", &mut PlainQueue);
        measure(scenario, "gate", &mut GatePolicy);
    }
}
