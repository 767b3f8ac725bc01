//! Admission by priority: what callers get when they ask for more than the targets can
//! serve.

use mustardway_emulator::comparison::{BURST_BASE, WARM_UP, burst, goodput, late_refusals, steady};
use mustardway_emulator::preset::Preset;
use mustardway_emulator::report::Report;
use mustardway_emulator::scenario::Scenario;
use mustardway_emulator::site::Site;
use mustardway_emulator::world::simulate;
use mustardway_flow::load::{Admission, Placement, Settings};

/// Divisor of the site, so that a run is short.
const DIVISOR: usize = 8;
/// Seed of the runs.
const SEED: u64 = 1;
/// Least goodput beyond the capacity, as a share of that at the capacity.
const GOODPUT_MIN: f64 = 0.95;
/// Class of the most urgent requests.
const URGENT: usize = 1;
/// Least share of the most urgent requests that is answered within the target latency.
const URGENT_IN_TIME_MIN: f64 = 0.98;

/// Returns the site with all that the load estimates are used for.
fn contended() -> Site {
    let load = Settings { placement: Placement::ExpectedTime, admission: Admission::ByPriority };
    Preset::Contended.site().divided(DIVISOR).with_load(load)
}

fn run(scenario: &Scenario) -> Report {
    simulate(&contended(), scenario, SEED)
}

fn goodput_at(share: f64) -> f64 {
    let site = contended();
    goodput(&site, &run(&steady(&site, share)))
}

fn assert_goodput_holds(share: f64) {
    let (at_capacity, beyond) = (goodput_at(1.0), goodput_at(share));
    assert!(beyond >= at_capacity * GOODPUT_MIN, "{beyond} slots, {at_capacity} at capacity");
}

/// Guards against work for callers that have given up or are late.
#[test]
fn goodput_holds_at_1_3_times_capacity() {
    assert_goodput_holds(1.3);
}

/// Guards against work for callers that have given up or are late.
#[test]
fn goodput_holds_at_twice_capacity() {
    assert_goodput_holds(2.0);
}

/// Guards against work for callers that have given up or are late, and against packets of
/// refused flows that keep those of open flows from the links.
#[test]
fn goodput_holds_at_four_times_capacity() {
    assert_goodput_holds(4.0);
}

/// Guards against capacity that ordinary requests take from urgent ones. Admission needs
/// more than 1 s to find the service full; the requests before that do not count.
#[test]
fn urgent_requests_are_in_time_at_twice_capacity() {
    let site = contended();
    let report = run(&steady(&site, 2.0));
    let urgent = site.classes.iter().map(|class| class.urgency).min();
    assert_eq!(Some(site.classes[URGENT].urgency), urgent);
    let share = report.class_from(URGENT, WARM_UP).in_time_share();
    assert!(share >= URGENT_IN_TIME_MIN, "{share} of the urgent requests: {report}");
}

/// Guards against refusals while there is spare capacity.
#[test]
fn nothing_is_refused_below_capacity() {
    let report = run(&steady(&contended(), 0.8));
    assert_eq!(report.refusals, []);
}

fn assert_burst_is_over(share: f64) {
    let report = run(&burst(&contended(), None, share / BURST_BASE));
    assert!(!report.refusals.is_empty(), "the burst filled no service: {report}");
    let (all, last) = (report.refusals.len(), report.refusals.last());
    assert_eq!(late_refusals(&report), 0, "of {all} refusals, the last {last:?}");
}

/// Guards against refusals that go on although the targets have spare capacity again.
#[test]
fn refusals_end_with_a_burst_to_twice_capacity() {
    assert_burst_is_over(2.0);
}

/// Guards against refusals that go on although the targets have spare capacity again.
#[test]
fn refusals_end_with_a_burst_to_four_times_capacity() {
    assert_burst_is_over(4.0);
}

/// Guards against one kind of request whose demand explodes and takes capacity from others
/// of the same urgency, or more urgent ones.
#[test]
fn burst_of_ordinary_requests_spares_urgent_ones() {
    let site = contended();
    let report = run(&burst(&site, Some(0), 3.0));
    let share = report.class(URGENT).in_time_share();
    assert!(share >= URGENT_IN_TIME_MIN, "{share} of the urgent requests: {report}");
}
