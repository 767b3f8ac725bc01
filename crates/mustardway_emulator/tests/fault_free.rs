//! Scenarios without faults: the service level that callers get and the control traffic
//! that it costs.

use mustardway_emulator::preset::Preset;
use mustardway_emulator::scenario::{Kind, Scenario};
use mustardway_emulator::world::simulate;
use mustardway_types::time::Span;

/// Maximum mean rate of calls to the platform by one instance.
const PLATFORM_CALLS_PER_SECOND: f64 = 0.15;

#[test]
fn quiet_scenario_is_fully_served() {
    for preset in [Preset::FrioAustral, Preset::SanJose] {
        let site = preset.site();
        let report = simulate(&site, &Scenario::quiet(30), 3);
        let total = report.total();
        assert!(report.violations.is_empty(), "{preset}: {report}");
        assert_eq!(total.failed, 0, "{preset}: {report}");
        assert!(total.in_time_share() >= 0.995, "{preset}: {report}");
        // The instances run for 45 s, and each reads once at its start.
        let instances: usize = site.instances.iter().sum();
        let calls_max = PLATFORM_CALLS_PER_SECOND * 45.0 * instances as f64 + instances as f64;
        assert!(f64::from(report.platform_calls) <= calls_max, "{preset}: {report}");
        assert!(report.cross_domain * 100 <= report.placed, "{preset}: {report}");
    }
}

#[test]
fn planned_changes_violate_no_rule() {
    let gap = Span::seconds(1);
    let scenario = Scenario::quiet(30)
        .with(3.0, Kind::Release { service: 0, share: 0.5, gap })
        .with(6.0, Kind::Roll { share: 1.0, gap: Span::millis(2_500) })
        .with(8.0, Kind::Configure { routes: 100 })
        .with(15.0, Kind::Evacuate { domain: 1, lasts: Span::seconds(6) });
    for preset in [Preset::FrioAustral, Preset::SanJose] {
        let report = simulate(&preset.site(), &scenario, 5);
        assert!(report.violations.is_empty(), "{preset}: {report}");
        assert!(report.total().in_time_share() >= 0.99, "{preset}: {report}");
        assert!(report.total().failed_share() <= 0.001, "{preset}: {report}");
    }
}

#[test]
fn equal_seeds_give_equal_reports() {
    let site = Preset::FrioAustral.site();
    let scenario = Scenario::random(11, 3, 2);
    let report = |seed| format!("{}", simulate(&site, &scenario, seed));
    assert_eq!(report(7), report(7));
    assert_ne!(report(7), report(8));
}
