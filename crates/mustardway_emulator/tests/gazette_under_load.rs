//! The load of the gazette: short flows, a few instances, and targets whose full queues take
//! as long as the target latency.

use mustardway_emulator::comparison::{WARM_UP, goodput, steady};
use mustardway_emulator::preset::Preset;
use mustardway_emulator::report::Report;
use mustardway_emulator::scenario::Kind;
use mustardway_emulator::site::Site;
use mustardway_emulator::world::simulate;
use mustardway_flow::load::{Admission, Placement, Settings};
use mustardway_types::time::Span;

const BY_WORK: Settings = Settings { placement: Placement::Outstanding, admission: Admission::Off };
const BY_TIME: Settings =
    Settings { placement: Placement::ExpectedTime, admission: Admission::Off };
const ADMITTING: Settings =
    Settings { placement: Placement::ExpectedTime, admission: Admission::ByPriority };
/// Seeds over which placements are compared.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=60;
/// Least goodput beyond the capacity, as a share of that at the capacity.
const GOODPUT_MIN: f64 = 0.95;
/// Class of the most urgent requests.
const URGENT: usize = 1;
/// Least share of the most urgent requests that is answered within the target latency.
const URGENT_IN_TIME_MIN: f64 = 0.98;
/// Time after the end of a fault from which on all requests are answered in time.
const RECOVERY: Span = Span::seconds(4);
/// Least share of the requests that is answered in time once a fault is over. Of the same
/// requests without a fault, one in 1,000 takes longer.
const RECOVERED_MIN: f64 = 0.99;

fn gazette(load: Settings) -> Site {
    Preset::Gazette.site().with_load(load)
}

fn run(load: Settings, share: f64, seed: u64) -> Report {
    let site = gazette(load);
    simulate(&site, &steady(&site, share), seed)
}

/// Asserts that placement by time answers as many requests in time as placement by work, up to
/// the standard error of the paired differences.
fn assert_time_is_no_worse(share: f64) {
    let mut differences = Vec::new();
    for seed in SEEDS {
        let in_time = |load| run(load, share, seed).total().in_time_share();
        differences.push(in_time(BY_TIME) - in_time(BY_WORK));
    }
    let count = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / count;
    let squares: f64 = differences.iter().map(|one| (one - mean).powi(2)).sum();
    let error = (squares / (count - 1.0) / count).sqrt();
    assert!(mean >= -error, "{mean} with a standard error of {error}: {differences:?}");
}

/// Guards against instances that take the queues of targets for their speed and leave the same
/// targets together.
#[test]
fn placement_by_time_is_no_worse_below_capacity() {
    assert_time_is_no_worse(0.8);
}

/// Guards against instances that take the queues of targets for their speed and leave the same
/// targets together.
#[test]
fn placement_by_time_is_no_worse_at_capacity() {
    assert_time_is_no_worse(1.0);
}

fn goodput_at(share: f64) -> f64 {
    goodput(&gazette(ADMITTING), &run(ADMITTING, share, 1))
}

fn assert_goodput_holds(share: f64) {
    let (at_capacity, beyond) = (goodput_at(1.0), goodput_at(share));
    assert!(beyond >= at_capacity * GOODPUT_MIN, "{beyond} slots, {at_capacity} at capacity");
}

/// Guards against queues so long that everything admitted is late.
#[test]
fn goodput_holds_at_1_3_times() {
    assert_goodput_holds(1.3);
}

/// Guards against queues so long that everything admitted is late.
#[test]
fn goodput_holds_at_2_times() {
    assert_goodput_holds(2.0);
}

/// Guards against queues so long that everything admitted is late.
#[test]
fn goodput_holds_at_4_times() {
    assert_goodput_holds(4.0);
}

/// Guards against capacity that ordinary requests take from urgent ones.
#[test]
fn urgent_is_in_time_at_2_times() {
    let urgent = run(ADMITTING, 2.0, 1).class_from(URGENT, WARM_UP).in_time_share();
    assert!(urgent >= URGENT_IN_TIME_MIN, "{urgent} of the urgent requests");
}

/// Guards against refusals while targets have room.
#[test]
fn nothing_is_refused_at_0_8_times() {
    assert_eq!(run(ADMITTING, 0.8, 1).refusals, []);
}

/// Guards against an overload that goes on by itself after the slow targets that caused it have
/// recovered.
#[test]
fn overload_ends_with_its_cause() {
    let site = gazette(ADMITTING);
    let (start, lasts) = (3.0, Span::seconds(5));
    let slow = Kind::Slow { service: 0, share: 0.36, factor: 4.0, lasts };
    let report = simulate(&site, &steady(&site, 0.9).with(start, slow), 1);
    let from = Span((start * 1e6) as u64) + lasts + RECOVERY;
    let after = report.between(from, Span(u64::MAX)).in_time_share();
    assert!(after >= RECOVERED_MIN, "{after} in time, {report}");
}
