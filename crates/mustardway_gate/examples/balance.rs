//! Imbalance of open flows over 14 equal warm targets at 70% load.
//!
//! Compares a plain hash with two candidates and a refusal for balance above
//! the mean load, which the gates learn one second late. Flows open at random
//! and stay open for a fixed time; time is simulated and the seeds are fixed.
//! Prints the flow count of the fullest target divided by the mean: minimum,
//! median and maximum over the seeds.

use std::collections::VecDeque;

use bytes::Bytes;
use mustardway_gate::{Admission, Ask, Candidate, Ending, Gate, Mode, Outcome, Ownership, ticket};
use mustardway_types::{address, flow, hash, packet, request, time};
use mustardway_view::model::Limits;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const SEEDS: u64 = 7;
const TARGETS: usize = 14;
const CONNECTIONS: u32 = 2_000;
const LOAD: f64 = 0.7;

/// Time for which a flow stays open, in seconds.
const FLOW_LIFE_SECONDS: f64 = 60.0;

/// Simulated time of one run, in seconds.
const RUN_SECONDS: f64 = 300.0;

/// Time between two updates of the mean load at the gates, in seconds.
const MEAN_LOAD_INTERVAL_SECONDS: f64 = 1.0;

/// Time from which the imbalance is measured, in seconds.
const MEASURE_FROM_SECONDS: f64 = 150.0;

struct Fleet {
    gates: Vec<Gate>,
    next: u64,
    address: address::Address,
}

fn exponential(random: &mut Pcg32) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

fn instant(seconds: f64) -> time::Instant {
    time::Instant((seconds * 1e6) as u64)
}

/// Returns the first and second candidate of a flow.
fn candidates(id: flow::Id) -> (usize, usize) {
    let (mut first, mut second) = ((0, 0), (0, 0));
    for target in 0..TARGETS {
        let rank = (hash::mix(hash::mix(17, target as u64), id.0), target);
        if rank > first {
            (first, second) = (rank, first);
        } else if rank > second {
            second = rank;
        }
    }
    (first.1, second.1)
}

impl Fleet {
    fn new() -> Result<Self, mustardway_types::parse::Error> {
        let limits = Limits {
            slots: 2,
            cold_slots: 2,
            connections: CONNECTIONS,
            warm_up: time::Span::seconds(10),
            queue: 64,
        };
        let mut gates = Vec::new();
        for target in 0..TARGETS {
            let ownership = Ownership::Serving { since: time::Instant(0), inherited: false };
            let id = format!("target-{target}").parse()?;
            let now = time::Instant(0);
            gates.push(Gate::new(id, "entry".parse()?, limits.clone(), ownership, 1, now));
        }
        Ok(Fleet { gates, next: 0, address: "10.0.0.7:443".parse()? })
    }

    /// Sends one packet that is answered at once, and returns whether the target admitted it.
    fn send(
        &mut self,
        now: time::Instant,
        at: usize,
        id: flow::Id,
        mode: Mode,
        closing: bool,
    ) -> bool {
        self.next += 1;
        let header = packet::Header {
            address: self.address,
            flow: id,
            request: request::Id(self.next),
            part: 0,
            parts: 1,
            opening: !closing,
            closing,
            repeat: request::Repeat::Idempotent,
            attempt: 1,
            urgency: request::Urgency::Ordinary,
        };
        let ticket = ticket::Id(self.next);
        let ask = Ask { header, deadline: now + time::Span::seconds(1), mode, ticket };
        let mut steps = Vec::new();
        if self.gates[at].admit(now, &ask, &mut steps) != Admission::Run {
            return false;
        }
        let outcome = Outcome { ending: Ending::Done(Bytes::new()), took: time::Span::millis(1) };
        self.gates[at].finish(now, ticket, outcome, &mut steps);
        true
    }

    fn open(&mut self, now: time::Instant, id: flow::Id, two_candidates: bool) -> Option<usize> {
        let (first, second) = candidates(id);
        let mode = |candidate| Mode::Open { candidate, fresh: true };
        let candidate = if two_candidates { Candidate::First } else { Candidate::Last };
        if self.send(now, first, id, mode(candidate), false) {
            return Some(first);
        }
        if !two_candidates || !self.send(now, second, id, mode(Candidate::Last), false) {
            return None;
        }
        let placed = self.gates[second].target().clone();
        self.gates[first].record_placement(now, id, placed);
        Some(second)
    }

    fn mean(&self, now: time::Instant) -> f64 {
        let sum: f64 = self.gates.iter().map(|gate| gate.load_fraction(now)).sum();
        sum / TARGETS as f64
    }

    fn update_mean_load(&mut self, now: time::Instant, mean: f64) {
        let mut steps = Vec::new();
        for gate in &mut self.gates {
            gate.set_mean_load(mean);
            gate.tick(now, &mut steps);
        }
    }

    fn imbalance(&self) -> f64 {
        let mut most = 0;
        let mut all = 0;
        for gate in &self.gates {
            most = most.max(gate.flows());
            all += gate.flows();
        }
        most as f64 * TARGETS as f64 / all as f64
    }
}

/// Returns the median and the worst imbalance of one run, and the share of flows on their second
/// candidate in percent.
fn run(seed: u64, two_candidates: bool) -> Result<(f64, f64, f64), mustardway_types::parse::Error> {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut fleet = Fleet::new()?;
    let rate = TARGETS as f64 * f64::from(CONNECTIONS) * LOAD / FLOW_LIFE_SECONDS;
    let mut open: VecDeque<(f64, usize, flow::Id)> = VecDeque::new();
    let (mut at, mut updated_at, mut last_mean) = (0.0, 0.0, 0.0);
    let (mut imbalances, mut moved, mut opened) = (Vec::new(), 0u32, 0u32);
    while at < RUN_SECONDS {
        at += exponential(&mut random) / rate;
        let now = instant(at);
        while updated_at + MEAN_LOAD_INTERVAL_SECONDS < at {
            updated_at += MEAN_LOAD_INTERVAL_SECONDS;
            fleet.update_mean_load(now, last_mean);
            last_mean = fleet.mean(now);
            if updated_at > MEASURE_FROM_SECONDS {
                imbalances.push(fleet.imbalance());
            }
        }
        while open.front().is_some_and(|(end, _, _)| *end < at) {
            let Some((_, target, id)) = open.pop_front() else { break };
            fleet.send(now, target, id, Mode::Established, true);
        }
        let id = flow::Id(random.random());
        let Some(target) = fleet.open(now, id, two_candidates) else { continue };
        opened += 1;
        moved += u32::from(target != candidates(id).0);
        open.push_back((at + FLOW_LIFE_SECONDS, target, id));
    }
    imbalances.sort_by(f64::total_cmp);
    let worst = imbalances.last().copied().unwrap_or_default();
    let share = 100.0 * f64::from(moved) / f64::from(opened);
    Ok((imbalances[imbalances.len() / 2], worst, share))
}

fn print(name: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let (low, middle, high) = (values[0], values[values.len() / 2], values[values.len() - 1]);
    println!("{name:<42} {low:>8.3} {middle:>8.3} {high:>8.3}");
}

fn main() -> Result<(), mustardway_types::parse::Error> {
    println!("{:<42} {:>8} {:>8} {:>8}", "14 targets, 70% load, max/mean", "min", "median", "max");
    for (name, two_candidates) in [("plain hash", false), ("two candidates", true)] {
        let (mut middles, mut worsts, mut shares) = (Vec::new(), Vec::new(), Vec::new());
        for seed in 0..SEEDS {
            let (middle, worst, share) = run(seed, two_candidates)?;
            middles.push(middle);
            worsts.push(worst);
            shares.push(share);
        }
        print(&format!("{name}: median of a run"), middles);
        print(&format!("{name}: worst second of a run"), worsts);
        print(&format!("{name}: % at second target"), shares);
    }
    Ok(())
}
