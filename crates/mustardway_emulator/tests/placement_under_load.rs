//! Placement by expected time: what callers get where targets differ in speed, and that
//! nothing changes where they do not.

use std::sync::{Arc, Mutex};

use mustardway_emulator::comparison::{METHODS, Method, steady};
use mustardway_emulator::preset::Preset;
use mustardway_emulator::report::Report;
use mustardway_emulator::scenario::Scenario;
use mustardway_emulator::site::Site;
use mustardway_emulator::variant::Variant;
use mustardway_emulator::world::simulate_with_listener;
use mustardway_flow::load::{Admission, Placement, Settings};
use mustardway_flow::note::Note;
use mustardway_flow::packet::Flow;
use mustardway_types::time::Span;
use mustardway_types::{instance, target};

/// Divisor of the sites, so that a run is short.
const DIVISOR: usize = 8;
/// Seeds over which latencies are compared.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Load at which placements are compared, as a share of the capacity.
const SHARE: f64 = 0.8;
/// Greatest ratio of the latency at the 99th percentile to that of a dispatcher that knows
/// the work and speed of all targets.
const OMNISCIENT_RATIO_MAX: f64 = 1.1;
/// Greatest ratio of the busiest target's share of the mean busy time to that with a dispatcher
/// that knows the work and speed of all targets, in the same run. At unequal speeds even that one
/// gives fast targets more than the mean.
const BUSIEST_RATIO_MAX: f64 = 1.1;
/// Greatest rate of load estimates that an instance sends: the limit for all control
/// traffic.
const LOAD_BYTES_PER_SECOND_MAX: f64 = 28_000.0;

fn uneven() -> Site {
    Preset::Uneven.site().divided(DIVISOR)
}

fn method(name: &str) -> &'static Method {
    METHODS.iter().find(|method| method.name == name).expect("the method is compared")
}

fn reports(name: &str) -> Vec<Report> {
    let site = uneven();
    let scenario = steady(&site, SHARE);
    SEEDS.iter().map(|seed| method(name).simulate(&site, &scenario, *seed)).collect()
}

/// Returns the mean latency of the first class at the 99th percentile.
fn p99(reports: &[Report]) -> f64 {
    let sum: f64 = reports.iter().map(|report| f64::from(report.class_quantile(0, 0.99))).sum();
    sum / reports.len() as f64
}

/// Guards against slow targets that count like the others until their queues are long.
#[test]
fn expected_time_lowers_latency_at_unequal_targets() {
    let (before, after) = (p99(&reports("score")), p99(&reports("shared-time")));
    assert!(after < before, "p99 of the first class: {after} ms, {before} ms before");
}

/// Guards against estimates that come too late or are too rough to place flows well.
#[test]
fn expected_time_is_near_an_omniscient_dispatcher() {
    let (bound, after) = (p99(&reports("omniscient")), p99(&reports("shared-time")));
    let limit = bound * OMNISCIENT_RATIO_MAX;
    assert!(after <= limit, "p99 of the first class: {after} ms, omniscient {bound} ms");
}

/// Guards against a herd of instances that all choose the same targets, and against slow
/// targets that get as many flows as fast ones.
#[test]
fn expected_time_keeps_targets_equally_busy() {
    let runs = reports("shared-time").into_iter().zip(reports("omniscient"));
    for (seed, (report, bound)) in SEEDS.iter().zip(runs) {
        let (busiest, limit) = (report.busiest(0), bound.busiest(0) * BUSIEST_RATIO_MAX);
        assert!(busiest <= limit, "seed {seed}: busiest target {busiest} times the mean, {limit}");
    }
}

/// Guards against load estimates that fill the links of the instances.
#[test]
fn load_estimates_are_small() {
    let site = uneven();
    let instances: usize = site.instances.iter().sum();
    for (seed, report) in SEEDS.iter().zip(reports("shared-time")) {
        let seconds = steady(&site, SHARE).duration.as_seconds();
        let rate = report.load_bytes as f64 / (instances as f64 * seconds);
        assert!(rate > 0.0, "seed {seed}: no load estimates were sent");
        assert!(rate <= LOAD_BYTES_PER_SECOND_MAX, "seed {seed}: {rate} bytes per second");
    }
}

/// A new flow that an instance placed.
#[derive(Debug, Clone, PartialEq)]
struct Placing {
    at: Span,
    flow: Flow,
    target: target::Id,
}

/// Runs a scenario and returns the new flows in the order in which they were placed.
fn placings(site: &Site, scenario: &Scenario, seed: u64) -> Vec<Placing> {
    let placings = Arc::new(Mutex::new(Vec::new()));
    let placed = Arc::clone(&placings);
    let listener = move |at: Span, _: &instance::Id, note: &Note| {
        if let Note::Placed { flow, target, .. } = note {
            let placing = Placing { at, flow: *flow, target: target.clone() };
            placed.lock().expect("no run panics").push(placing);
        }
    };
    simulate_with_listener(site, scenario, seed, Box::new(listener));
    let placings = placings.lock().expect("no run panics");
    placings.clone()
}

/// Asserts that equal targets that are not full get the same flows with load estimates as
/// without them.
fn assert_equal_targets_are_placed_alike(load: Settings) {
    let mut site = Preset::Contended.site().divided(DIVISOR);
    // On a link without limits, messages do not delay packets.
    site.link_bits_per_second = f64::INFINITY;
    let scenario = steady(&site, 0.5);
    for seed in SEEDS {
        let before = placings(&site, &scenario, seed);
        let after = placings(&site.clone().with_load(load), &scenario, seed);
        assert!(!before.is_empty(), "seed {seed}: no flow was placed");
        for (number, (before, after)) in before.iter().zip(&after).enumerate() {
            assert_eq!(after, before, "seed {seed}: flow {number}");
        }
    }
}

/// Guards against admission that changes the placement while no service is full.
#[test]
fn admission_changes_nothing_at_equal_targets() {
    let load = Settings { placement: Placement::Outstanding, admission: Admission::ByPriority };
    assert_equal_targets_are_placed_alike(load);
}

/// Guards against estimates that change the placement by chance where all targets are
/// equal.
#[test]
fn expected_time_changes_nothing_at_equal_targets() {
    let load = Settings { placement: Placement::ExpectedTime, admission: Admission::Off };
    assert_equal_targets_are_placed_alike(load);
}

/// Guards against a bound that is none: the omniscient policy has to be at least as good
/// as rendezvous hashing and the power of two choices.
#[test]
fn omniscient_dispatcher_is_a_bound() {
    assert!(METHODS.iter().any(|method| method.variant == Variant::Omniscient));
    let bound = p99(&reports("omniscient"));
    for other in ["rendezvous", "pair"] {
        assert!(bound <= p99(&reports(other)), "{other} has a lower p99 than {bound} ms");
    }
}
