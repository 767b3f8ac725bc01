//! Large configurations on a site whose instances have narrow links.

use std::fmt::Write as _;

use mustardway_emulator::preset::Preset;
use mustardway_emulator::scenario::{Kind, Scenario};
use mustardway_emulator::world::simulate;
use mustardway_types::time::Span;

/// Number of routes of the large configuration, which is 104 KB as a message.
const LARGE_ROUTES: usize = 3_350;
/// Number of routes of the larger one: 156 KB as a message, 938 KB as an answer of the
/// platform.
const LARGER_ROUTES: usize = 5_000;
/// Share of the requests that are answered in time while instances get a configuration.
const IN_TIME_MIN: f64 = 0.99;

/// Asserts that no run violates a rule, and that the requests that are sent from `first`
/// until before `last`, in seconds, are answered in time.
fn assert_faultless(scenario: &Scenario, seeds: &[u64], first: u64, last: u64) {
    let site = Preset::FrioAustralGrown.site();
    let mut faults = String::new();
    for seed in seeds {
        let report = simulate(&site, scenario, *seed);
        let counts = report.between(Span::seconds(first), Span::seconds(last));
        let in_time = counts.in_time_share();
        if !report.violations.is_empty() || in_time < IN_TIME_MIN {
            let _ = writeln!(faults, "seed {seed}: in time {in_time:.4}; {report}");
        }
    }
    assert!(faults.is_empty(), "{faults}");
}

/// Guards against flows that are reset because the whole change is pushed to a few
/// instances by all others.
#[test]
fn large_configuration_resets_no_open_flow() {
    let gap = Span::millis(500);
    let mut scenario = Scenario::quiet(18)
        .with(0.5, Kind::Configure { routes: LARGE_ROUTES })
        .with(2.0, Kind::Release { service: 0, share: 0.25, gap })
        .with(10.0, Kind::Configure { routes: LARGER_ROUTES });
    scenario.load = 1.0;
    assert_faultless(&scenario, &[1, 4, 5], 10, 16);
}

/// Guards against the same while all targets are suspected, since their registrations
/// expired.
#[test]
fn large_configuration_after_an_outage_resets_no_open_flow() {
    let scenario = Scenario::quiet(16)
        .with(2.0, Kind::PowerOff { share: 1.0, lasts: Span::millis(1_100) })
        .with(7.8, Kind::PlatformDown { lasts: Span::millis(2_900), lapses: true })
        .with(8.8, Kind::Configure { routes: LARGER_ROUTES });
    assert_faultless(&scenario, &[1, 2], 10, 16);
}

/// Guards against pushes that are delayed on a full link and then confirm an outdated
/// state.
#[test]
fn configurations_in_quick_succession_are_in_force_in_time() {
    let scenario = Scenario::quiet(14)
        .with(4.3, Kind::Configure { routes: 1_500 })
        .with(6.8, Kind::Configure { routes: 2_750 })
        .with(8.7, Kind::Configure { routes: 4_300 });
    assert_faultless(&scenario, &[1, 4], 4, 14);
}
