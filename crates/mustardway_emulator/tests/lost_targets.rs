//! The service level that callers get while targets are lost or cut off, and while the
//! platform is down.

use mustardway_emulator::preset::Preset;
use mustardway_emulator::scenario::{Kind, Scenario};
use mustardway_emulator::world::simulate;
use mustardway_types::time::Span;

/// A target that falls silent loses the requests that run on it and those that are sent
/// to it until the fault is detected. At 483 requests per second over 18 targets, a
/// fifth of them silent, their share of half a second is 48 requests.
#[test]
fn silent_targets_are_detected() {
    let lasts = Span::seconds(8);
    let kind = Kind::Crash { service: 0, share: 0.2, is_dark: true, lasts };
    let scenario = Scenario::quiet(16).with(4.0, kind);
    for seed in 1..=3 {
        let report = simulate(&Preset::FrioAustral.site(), &scenario, seed);
        let total = report.total();
        assert!(report.violations.is_empty(), "seed {seed}: {report}");
        assert!(total.failed + total.late <= 48 + 12, "seed {seed}: {report}");
    }
}

/// The targets in a failure domain that is cut off serve its callers.
#[test]
fn cut_off_domain_serves_its_callers() {
    let kind = Kind::Cut { domain: 0, lasts: Span::seconds(6), refuses: false };
    let scenario = Scenario::quiet(18).with(4.0, kind);
    for preset in [Preset::FrioAustral, Preset::SanJose] {
        let report = simulate(&preset.site(), &scenario, 2);
        assert!(report.violations.is_empty(), "{preset}: {report}");
        assert!(report.total().failed_share() <= 0.002, "{preset}: {report}");
        assert!(report.total().in_time_share() >= 0.985, "{preset}: {report}");
    }
}

/// Registrations expire and instances restart while the platform is down.
#[test]
fn platform_is_down() {
    let scenario = Scenario::quiet(20)
        .with(4.0, Kind::PlatformDown { lasts: Span::seconds(8), lapses: true })
        .with(6.0, Kind::PowerOff { share: 0.3, lasts: Span::seconds(1) });
    for preset in [Preset::FrioAustral, Preset::SanJose] {
        let report = simulate(&preset.site(), &scenario, 2);
        assert!(report.violations.is_empty(), "{preset}: {report}");
        let after = report.between(Span::seconds(12), Span::seconds(16));
        assert!(after.failed_share() <= 0.005, "{preset}: {after:?}");
    }
}
