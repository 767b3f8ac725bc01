//! Days on which the platform comes back from an older copy of its state.

use mustardway_emulator::preset::Preset;
use mustardway_emulator::scenario::{Kind, Scenario};
use mustardway_emulator::world::simulate;
use mustardway_types::time::Span;

fn restored() -> Kind {
    Kind::PlatformRestored {
        lost: Span::seconds(4),
        lasts: Span::millis(500),
        rewrite: Span::millis(800),
    }
}

/// Changes of every kind are lost and published again.
#[test]
fn lost_changes_are_published_again() {
    let changes = [
        Kind::Configure { routes: 40 },
        Kind::Evacuate { domain: 1, lasts: Span::seconds(12) },
        Kind::Evacuate { domain: 1, lasts: Span::seconds(2) },
        Kind::Release { service: 0, share: 0.4, gap: Span::millis(700) },
    ];
    for change in changes {
        for preset in [Preset::FrioAustral, Preset::SanJose] {
            let scenario = Scenario::quiet(24).with(6.0, change.clone()).with(9.0, restored());
            let report = simulate(&preset.site(), &scenario, 3);
            assert!(report.violations.is_empty(), "{preset}, {change:?}: {report}");
            let total = report.total();
            assert!(total.failed_share() <= 0.002, "{preset}, {change:?}: {report}");
        }
    }
}

#[test]
fn random_scenarios_violate_no_rule() {
    for preset in [Preset::FrioAustral, Preset::SanJose] {
        let site = preset.site();
        for seed in 1..=15 {
            let scenario = Scenario::restored(seed, site.domains.len(), site.services.len());
            let report = simulate(&site, &scenario, seed);
            assert!(report.violations.is_empty(), "{preset}, seed {seed}: {report}");
        }
    }
}

/// Days on which an instance kept an outdated configuration: it had started from the
/// copy, and its peers sent the later one on as no change, or under a number that was
/// lower than that of the copy.
#[test]
fn later_configuration_reaches_instances_that_started_from_the_copy() {
    let cases = [
        (Preset::SanJose, [111, 3_146, 5_082, 9_100].as_slice()),
        (Preset::FrioAustral, [5_082].as_slice()),
    ];
    for (preset, seeds) in cases {
        let site = preset.site();
        for seed in seeds {
            let scenario = Scenario::restored(*seed, site.domains.len(), site.services.len());
            let report = simulate(&site, &scenario, *seed);
            assert!(report.violations.is_empty(), "{preset}, seed {seed}: {report}");
        }
    }
}
