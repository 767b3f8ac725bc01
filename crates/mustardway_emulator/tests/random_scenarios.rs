//! Random scenarios: no rule is violated, whatever disruptions coincide.

use mustardway_emulator::preset::Preset;
use mustardway_emulator::scenario::Scenario;
use mustardway_emulator::world::simulate;

/// Number of scenarios of each site. Many more are run by hand.
const SCENARIOS: u64 = 12;

fn run_random_scenarios(preset: Preset, scenarios: u64) {
    let site = preset.site();
    for seed in 1..=scenarios {
        let scenario = Scenario::random(seed, site.domains.len(), site.services.len());
        let report = simulate(&site, &scenario, seed);
        assert!(report.violations.is_empty(), "{preset}, scenario {seed}: {report}");
    }
}

#[test]
fn frio_austral_violates_no_rule() {
    run_random_scenarios(Preset::FrioAustral, SCENARIOS);
}

#[test]
fn san_jose_violates_no_rule() {
    run_random_scenarios(Preset::SanJose, SCENARIOS);
}

#[test]
fn san_jose_grown_violates_no_rule() {
    run_random_scenarios(Preset::SanJoseGrown, 1);
}

#[test]
fn mixed_scenarios_violate_no_rule() {
    for preset in [Preset::FrioAustral, Preset::SanJose] {
        let site = preset.site();
        for seed in 1..=SCENARIOS {
            let scenario = Scenario::mixed(seed, site.domains.len(), site.services.len());
            let report = simulate(&site, &scenario, seed);
            assert!(report.violations.is_empty(), "{preset}, mixed scenario {seed}: {report}");
        }
    }
}

#[test]
fn large_scenarios_violate_no_rule() {
    for preset in [Preset::FrioAustral, Preset::SanJose] {
        let site = preset.site();
        for seed in 1..=SCENARIOS {
            let scenario = Scenario::large(seed, site.domains.len(), site.services.len());
            let report = simulate(&site, &scenario, seed);
            assert!(report.violations.is_empty(), "{preset}, large scenario {seed}: {report}");
        }
    }
}
