//! Service of one target at twice its capacity, with a gate and with a plain queue.
//!
//! Open arrivals, exponential service time, given time, fixed seeds. The load is
//! twice the capacity for 60 s and 70% after that. A request counts if it is
//! answered within its deadline. The plain queue is first in, first out, of 1,000
//! places, and looks at no deadline. Prints minimum, median and maximum over seeds.

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
const MEAN_SERVICE: f64 = 0.020;
const URGENT_SHARE: f64 = 0.2;
const OVERLOAD: f64 = 2.0;
const NORMAL: f64 = 0.7;
const OVERLOAD_END: f64 = 160.0;
const START: f64 = 100.0;
const END: f64 = 190.0;

/// Length of one window in the search for recovery, in seconds.
const WINDOW: f64 = 0.5;

/// A target and its callers.
#[derive(Debug, Clone, Copy)]
struct Scene {
    slots: u32,
    /// Time from a request to its deadline.
    patience: time::Span,
}

const SCENES: [Scene; 4] = [
    Scene { slots: 2, patience: time::Span::millis(500) },
    Scene { slots: 4, patience: time::Span::millis(500) },
    Scene { slots: 4, patience: time::Span::millis(150) },
    Scene { slots: 16, patience: time::Span::millis(150) },
];

/// One request that a caller sends.
#[derive(Debug, Clone, Copy)]
struct Call {
    at: f64,
    service: f64,
    urgent: bool,
}

/// What became of the calls.
#[derive(Debug, Default)]
struct Score {
    in_time: Vec<bool>,
}

/// A policy in front of the target.
trait Policy {
    fn serve(&mut self, scene: Scene, calls: &[Call]) -> Score;
}

/// First in, first out, without deadlines.
struct PlainQueue;

/// The gate.
struct Gated;

fn calls(scene: Scene, seed: u64) -> Vec<Call> {
    let mut random = Pcg32::seed_from_u64(seed);
    let capacity = f64::from(scene.slots) / MEAN_SERVICE;
    let mut calls = Vec::new();
    let mut at = START;
    while at < END {
        let load = if at < OVERLOAD_END { OVERLOAD } else { NORMAL };
        at += exponential(&mut random) / (capacity * load);
        let service = exponential(&mut random) * MEAN_SERVICE;
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
    fn serve(&mut self, scene: Scene, calls: &[Call]) -> Score {
        const PLACES: usize = 1_000;
        let mut score = Score { in_time: vec![false; calls.len()] };
        let mut free: BinaryHeap<Reverse<u64>> = (0..scene.slots).map(|_| Reverse(0)).collect();
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
            score.in_time[index] = end - call.at <= scene.patience.as_seconds();
        }
        score
    }
}

/// The gate and its target in given time.
struct Run<'a> {
    scene: Scene,
    calls: &'a [Call],
    gate: Gate,
    ends: BinaryHeap<Reverse<(time::Instant, usize)>>,
    started: HashMap<usize, time::Instant>,
    score: Score,
}

impl Policy for Gated {
    fn serve(&mut self, scene: Scene, calls: &[Call]) -> Score {
        let limits = Limits {
            slots: scene.slots,
            cold_slots: scene.slots,
            connections: 1_000_000,
            warm_up: time::Span::seconds(10),
            queue: 64,
        };
        let ownership = Ownership::Serving { since: time::Instant(0), inherited: false };
        let (target, instance) = ("target".parse(), "entry".parse());
        let (Ok(target), Ok(instance)) = (target, instance) else { return Score::default() };
        let gate = Gate::new(target, instance, limits, ownership, 1, instant(START));
        let score = Score { in_time: vec![false; calls.len()] };
        let (ends, started) = (BinaryHeap::new(), HashMap::new());
        let mut run = Run { scene, calls, gate, ends, started, score };
        for (index, call) in calls.iter().enumerate() {
            run.advance(instant(call.at));
            run.arrive(index);
        }
        run.advance(instant(END) + scene.patience);
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
        self.take(until, &steps);
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
            deadline: now + self.scene.patience,
            mode: Mode::Open { candidate: Candidate::Last, fresh: true },
            ticket: ticket::Id(index as u64),
        };
        let mut steps = Vec::new();
        match self.gate.admit(now, &ask, &mut steps) {
            Admission::Run => self.start(now, index),
            Admission::TryNext(_) => self.gate.record_no_placement(now, Key::of(&ask.header), 1),
            _ => {}
        }
        self.take(now, &steps);
    }

    fn start(&mut self, now: time::Instant, index: usize) {
        let call = self.calls[index];
        let end = now + time::Span((call.service * 1e6) as u64);
        let deadline = instant(call.at) + self.scene.patience;
        self.started.insert(index, now);
        self.ends.push(Reverse((end.min(deadline), index)));
    }

    fn end(&mut self, now: time::Instant, index: usize) {
        let Some(started) = self.started.remove(&index) else { return };
        let deadline = instant(self.calls[index].at) + self.scene.patience;
        let in_time = now < deadline;
        self.score.in_time[index] = in_time;
        let ending = if in_time { Ending::Done(Bytes::new()) } else { Ending::Overrun };
        let outcome = Outcome { ending, took: now.since(started) };
        let mut steps = Vec::new();
        self.gate.finish(now, ticket::Id(index as u64), outcome, &mut steps);
        self.take(now, &steps);
    }

    fn take(&mut self, now: time::Instant, steps: &[Step]) {
        for step in steps {
            let Step::Start(ticket) = step else { continue };
            self.start(now, ticket.0 as usize);
        }
    }
}

/// Share of the urgent calls under overload that were answered in time, in percent.
fn urgent_share(calls: &[Call], score: &Score) -> f64 {
    let (mut asked, mut good) = (0, 0);
    for (call, in_time) in calls.iter().zip(&score.in_time) {
        if call.at < OVERLOAD_END && call.urgent {
            asked += 1;
            good += u32::from(*in_time);
        }
    }
    100.0 * f64::from(good) / f64::from(asked)
}

/// Calls answered in time under overload against the capacity, in percent.
fn goodput(scene: Scene, calls: &[Call], score: &Score) -> f64 {
    let mut good = 0;
    for (call, in_time) in calls.iter().zip(&score.in_time) {
        good += u32::from(*in_time && call.at < OVERLOAD_END);
    }
    let capacity = f64::from(scene.slots) / MEAN_SERVICE * (OVERLOAD_END - START);
    100.0 * f64::from(good) / capacity
}

/// Time from the end of the overload until windows have 99% in time from there on, in seconds.
fn recovery(calls: &[Call], score: &Score) -> f64 {
    let windows = ((END - OVERLOAD_END) / WINDOW) as usize;
    let mut bad = vec![(0u32, 0u32); windows + 1];
    for (call, in_time) in calls.iter().zip(&score.in_time) {
        if call.at >= OVERLOAD_END {
            let window = &mut bad[((call.at - OVERLOAD_END) / WINDOW) as usize];
            window.0 += 1;
            window.1 += u32::from(!in_time);
        }
    }
    let last = bad.iter().rposition(|(all, bad)| f64::from(*bad) > 0.01 * f64::from(*all));
    last.map_or(0.0, |window| (window + 1) as f64 * WINDOW)
}

/// Calls answered in time from ten seconds after the overload on, in percent.
fn steady(calls: &[Call], score: &Score) -> f64 {
    const SETTLED: f64 = OVERLOAD_END + 10.0;
    let (mut asked, mut good) = (0, 0);
    for (call, in_time) in calls.iter().zip(&score.in_time) {
        if call.at >= SETTLED {
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

/// Runs one scene under one policy and prints its lines.
fn measure(scene: Scene, name: &str, policy: &mut dyn Policy) {
    let (mut urgent, mut good, mut back) = (Vec::new(), Vec::new(), Vec::new());
    let mut after = Vec::new();
    for seed in 0..SEEDS {
        let calls = calls(scene, seed);
        let score = policy.serve(scene, &calls);
        urgent.push(urgent_share(&calls, &score));
        good.push(goodput(scene, &calls, &score));
        back.push(recovery(&calls, &score));
        after.push(steady(&calls, &score));
    }
    print(&format!("{name}: urgent in time"), "%", urgent);
    print(&format!("{name}: goodput of capacity"), "%", good);
    print(&format!("{name}: recovery"), "s", back);
    print(&format!("{name}: in time 10 s after"), "%", after);
}

fn main() {
    for scene in SCENES {
        let title = format!("{} slots, {} patience", scene.slots, scene.patience);
        println!("{title:<42} {:>8} {:>8} {:>8}", "min", "median", "max");
        measure(scene, "plain queue", &mut PlainQueue);
        measure(scene, "gate", &mut Gated);
    }
}
