//! Load on a cold target compared with its capacity.
//!
//! The target can run one request at a time when cold, and its capacity grows
//! linearly to its slots over the warm-up time; it sheds what exceeds the
//! capacity. Halfway through the run it turns cold without warning. Calls
//! arrive at 90% of its warm capacity. Prints the share of calls that the
//! target shed, the largest excess over the capacity and the share of calls
//! that were answered, with the gate and with the warm slots from the start:
//! minimum, median and maximum over the seeds.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use bytes::Bytes;
use mustardway_gate::{
    Admission, Ask, Candidate, Ending, Gate, Key, Mode, Outcome, Ownership, Step, ticket,
};
use mustardway_types::{address, flow, packet, parse, request, time};
use mustardway_view::model::Limits;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const SEEDS: u64 = 7;
const SLOTS: u32 = 8;
const MEAN_SERVICE_SECONDS: f64 = 0.020;
const LOAD: f64 = 0.9;
const TIME_TO_DEADLINE: time::Span = time::Span::millis(500);
const WARM_UP: time::Span = time::Span::seconds(20);
const START: time::Instant = time::Instant(100_000_000);
const HALF_RUN: time::Span = time::Span::seconds(60);

/// A target whose capacity is low when it is cold.
struct Target {
    cold_since: time::Instant,
    running: u32,
    max_excess: u32,
    shed: u32,
}

struct Run {
    gate: Gate,
    target: Target,
    address: address::Address,
    random: Pcg32,
    ends: BinaryHeap<Reverse<(time::Instant, u64)>>,
    started: HashMap<u64, time::Instant>,
    answered: u32,
}

impl Target {
    fn capacity(&self, now: time::Instant) -> u32 {
        let share = now.since(self.cold_since).as_seconds() / WARM_UP.as_seconds();
        1 + (f64::from(SLOTS - 1) * share.min(1.0)) as u32
    }
}

fn exponential(random: &mut Pcg32) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

fn span(seconds: f64) -> time::Span {
    time::Span((seconds * 1e6) as u64)
}

impl Run {
    fn new(seed: u64, cold_slots: u32) -> Result<Self, parse::Error> {
        let limits =
            Limits { slots: SLOTS, cold_slots, connections: 1_000, warm_up: WARM_UP, queue: 64 };
        let ownership = Ownership::Serving { since: time::Instant(0), inherited: false };
        let gate = Gate::new("target".parse()?, "entry".parse()?, limits, ownership, seed, START);
        let target = Target { cold_since: START, running: 0, max_excess: 0, shed: 0 };
        Ok(Run {
            gate,
            target,
            address: "10.0.0.7:443".parse()?,
            random: Pcg32::seed_from_u64(seed),
            ends: BinaryHeap::new(),
            started: HashMap::new(),
            answered: 0,
        })
    }

    fn arrive(&mut self, now: time::Instant, number: u64) {
        let header = packet::Header {
            address: self.address,
            flow: flow::Id(number % 500),
            request: request::Id(number),
            part: 0,
            parts: 1,
            opening: false,
            closing: false,
            repeat: request::Repeat::Idempotent,
            attempt: 1,
            urgency: request::Urgency::Ordinary,
        };
        let mode = Mode::Open { candidate: Candidate::Last, fresh: true };
        let ask =
            Ask { header, deadline: now + TIME_TO_DEADLINE, mode, ticket: ticket::Id(number) };
        let mut steps = Vec::new();
        match self.gate.admit(now, &ask, &mut steps) {
            Admission::Run => self.start(now, number),
            Admission::TryNext(_) => self.gate.record_no_placement(now, Key::of(&ask.header), 1),
            _ => {}
        }
        self.apply_steps(now, &steps);
    }

    /// Sends a request to the target, which may shed it.
    fn start(&mut self, now: time::Instant, number: u64) {
        let capacity = self.target.capacity(now);
        if self.target.running >= capacity {
            self.target.shed += 1;
            self.target.max_excess = self.target.max_excess.max(self.target.running + 1 - capacity);
            self.end(now, number, Ending::Shed, time::Span(100));
            return;
        }
        self.target.running += 1;
        self.started.insert(number, now);
        let took = span(exponential(&mut self.random) * MEAN_SERVICE_SECONDS);
        self.ends.push(Reverse((now + took, number)));
    }

    fn end(&mut self, now: time::Instant, number: u64, ending: Ending, took: time::Span) {
        let mut steps = Vec::new();
        self.gate.finish(now, ticket::Id(number), Outcome { ending, took }, &mut steps);
        self.apply_steps(now, &steps);
    }

    fn apply_steps(&mut self, now: time::Instant, steps: &[Step]) {
        for step in steps {
            let Step::Start(ticket) = step else { continue };
            self.start(now, ticket.0);
        }
    }

    fn advance(&mut self, until: time::Instant) {
        while let Some(Reverse((at, number))) = self.ends.peek().copied() {
            if at > until {
                break;
            }
            self.ends.pop();
            self.target.running -= 1;
            self.answered += 1;
            let took =
                self.started.remove(&number).map_or(time::Span::ZERO, |start| at.since(start));
            self.end(at, number, Ending::Done(Bytes::new()), took);
        }
        let mut steps = Vec::new();
        self.gate.tick(until, &mut steps);
        self.apply_steps(until, &steps);
    }

    /// Runs the scenario. Returns the number of calls, the number of shed requests, the largest
    /// excess of requests over the capacity, and the number of answered calls.
    fn run(mut self) -> (u64, u32, u32, u32) {
        let rate = f64::from(SLOTS) / MEAN_SERVICE_SECONDS * LOAD;
        let (mut now, mut number) = (START, 0);
        while now < START + HALF_RUN + HALF_RUN {
            now = now + span(exponential(&mut self.random) / rate);
            self.advance(now);
            if now >= START + HALF_RUN && self.target.cold_since == START {
                self.target.cold_since = START + HALF_RUN;
            }
            number += 1;
            self.arrive(now, number);
        }
        (number, self.target.shed, self.target.max_excess, self.answered)
    }
}

fn print(name: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let (low, middle, high) = (values[0], values[values.len() / 2], values[values.len() - 1]);
    println!("{name:<46} {low:>8.2} {middle:>8.2} {high:>8.2}");
}

fn main() -> Result<(), parse::Error> {
    println!("{:<46} {:>8} {:>8} {:>8}", "cold twice in 120 s, 8 slots", "min", "median", "max");
    for (name, cold_slots) in [("warm slots from the start", SLOTS), ("gate", 1)] {
        let (mut sheds, mut excesses, mut served) = (Vec::new(), Vec::new(), Vec::new());
        for seed in 0..SEEDS {
            let (asked, shed, excess, answered) = Run::new(seed, cold_slots)?.run();
            sheds.push(100.0 * f64::from(shed) / asked as f64);
            excesses.push(f64::from(excess));
            served.push(100.0 * f64::from(answered) / asked as f64);
        }
        print(&format!("{name}: % of calls shed"), sheds);
        print(&format!("{name}: most at once beyond what it bore"), excesses);
        print(&format!("{name}: % of calls answered"), served);
    }
    Ok(())
}
