//! The model of unequal targets, swinging demand and bursts.

use mustardway_emulator::comparison::{BURST_TIME, METHODS, steady};
use mustardway_emulator::preset::Preset;
use mustardway_emulator::scenario::{Kind, Scenario};
use mustardway_emulator::site::Site;
use mustardway_emulator::world::simulate;
use mustardway_types::time::Span;

/// Divisor of the sites, so that a run is short.
const DIVISOR: usize = 8;

fn uneven() -> Site {
    Preset::Uneven.site().divided(DIVISOR)
}

/// Returns the number of requests that were sent from `first` until before `last`.
fn asked(site: &Site, scenario: &Scenario, first: u64, last: u64) -> f64 {
    let report = simulate(site, scenario, 1);
    f64::from(report.between(Span::seconds(first), Span::seconds(last)).asked)
}

/// Guards against speeds that do not reach the targets.
#[test]
fn slow_targets_take_longer() {
    let site = uneven();
    let report = METHODS[0].simulate(&site, &steady(&site, 0.3), 1);
    let time_per_request = |target: usize| {
        report.busy[&(0, target)].as_seconds() / f64::from(report.work[&(0, target)])
    };
    // The first target has a speed of 0.55, the next ones of 1.2.
    let ratio = time_per_request(0) / time_per_request(1);
    assert!((1.9..2.5).contains(&ratio), "the slow target takes {ratio} times as long");
}

/// Guards against a demand that stays constant, and a capacity that ignores its maximum.
#[test]
fn demand_swings_around_its_mean() {
    let site = uneven();
    let scenario = steady(&site, 0.3);
    let (high, low) = (asked(&site, &scenario, 0, 4), asked(&site, &scenario, 8, 12));
    // The mean factors of the swing over these times are 1.33 and 0.73.
    assert!((1.7..1.95).contains(&(high / low)), "{high} and {low} requests in 4 s");
    let mut constant = site.clone();
    constant.swing = None;
    let ratio = constant.load_at_capacity() / site.load_at_capacity();
    assert!((1.4..1.55).contains(&ratio), "the maximum is {ratio} times the mean");
}

/// Guards against bursts that change other classes or do not end.
#[test]
fn burst_changes_one_class_for_its_time() {
    let site = Preset::Contended.site().divided(DIVISOR);
    let burst = Kind::Burst { class: Some(2), factor: 5.0, lasts: BURST_TIME };
    let quiet = steady(&site, 0.3);
    let scenario = quiet.clone().with(4.0, burst);
    let count = |scenario: &Scenario, class| {
        let report = simulate(&site, scenario, 1);
        f64::from(report.class(class).asked)
    };
    let (before, after) = (count(&quiet, 2), count(&scenario, 2));
    // A quarter of the time has five times the rate.
    assert!((1.6..2.5).contains(&(after / before)), "{after} requests, {before} without");
    let (before, after) = (count(&quiet, 0), count(&scenario, 0));
    assert!((0.95..1.05).contains(&(after / before)), "{after} requests, {before} without");
}
