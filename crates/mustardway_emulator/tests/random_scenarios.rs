//! Days of drawn troubles: no rule is broken, whatever comes when.

use mustardway_emulator::scenario::Scenario;
use mustardway_emulator::site::Preset;
use mustardway_emulator::world::simulate;

/// Days of each site; many more are played by hand.
const SCENARIOS: u64 = 12;

fn play_days(preset: Preset, scenarios: u64) {
    let site = preset.site();
    for seed in 1..=scenarios {
        let scenario = Scenario::random(seed, site.domains.len(), site.services.len());
        let report = simulate(&site, &scenario, seed);
        assert!(report.violations.is_empty(), "{preset}, day {seed}: {report}");
    }
}

#[test]
fn frio_austral_days() {
    play_days(Preset::FrioAustral, SCENARIOS);
}

#[test]
fn san_jose_days() {
    play_days(Preset::SanJose, SCENARIOS);
}

#[test]
fn grown_day() {
    play_days(Preset::SanJoseGrown, 1);
}

#[test]
fn mixed_days() {
    for preset in [Preset::FrioAustral, Preset::SanJose] {
        let site = preset.site();
        for seed in 1..=SCENARIOS {
            let scenario = Scenario::mixed(seed, site.domains.len(), site.services.len());
            let report = simulate(&site, &scenario, seed);
            assert!(report.violations.is_empty(), "{preset}, mixed day {seed}: {report}");
        }
    }
}
