//! Large configurations on a site whose instances have narrow links.

use std::fmt::Write as _;

use mustardway_emulator::scenario::{Kind, Scenario};
use mustardway_emulator::site::Preset;
use mustardway_emulator::world::simulate;
use mustardway_types::time::Span;

/// Number of routes of the large configuration, which is 104 KB as a message.
const LARGE_ROUTES: usize = 3_350;
/// Number of routes of the larger one after it: 156 KB as a message, 938 KB as an answer
/// of the platform.
const LARGER_ROUTES: usize = 5_000;

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
    let site = Preset::FrioAustralGrown.site();
    let mut faults = String::new();
    for seed in [1, 4, 5] {
        let report = simulate(&site, &scenario, seed);
        let in_time = report.between(Span::seconds(10), Span::seconds(16)).in_time_share();
        if report.violations.is_empty() && in_time >= 0.99 {
            continue;
        }
        let _ = writeln!(faults, "seed {seed}: in time from 10 to 16 s {in_time:.4}; {report}");
    }
    assert!(faults.is_empty(), "{faults}");
}
