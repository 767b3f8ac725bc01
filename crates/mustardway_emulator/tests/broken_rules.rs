//! Tests that the simulation detects when defective instances violate a rule, and
//! reports no violation by sound ones.

use mustardway_emulator::defect::Defect;
use mustardway_emulator::preset::Preset;
use mustardway_emulator::report::Rule;
use mustardway_emulator::scenario::{Kind, Scenario};
use mustardway_emulator::site::Site;
use mustardway_emulator::world::simulate_defect;
use mustardway_types::time::Span;

/// Returns a scenario with an occasion to violate each rule.
fn scenario() -> Scenario {
    let lasts = Span::seconds(10);
    let gone = Span::seconds(3);
    Scenario::quiet(30)
        .with(2.0, Kind::Release { service: 0, share: 0.5, gap: Span::seconds(1) })
        .with(4.0, Kind::Configure { routes: 3 })
        .with(6.0, Kind::Evacuate { domain: 1, lasts })
        .with(18.0, Kind::Configure { routes: 1 })
        .with(20.0, Kind::Slow { service: 0, share: 0.5, factor: 8.0, lasts: Span::seconds(4) })
        .with(25.0, Kind::DomainTargetsDown { domain: 0, lasts: gone })
}

/// Returns a site whose cold targets have a low rate limit, so that exceeding it is
/// likely.
fn site() -> Site {
    let mut site = Preset::FrioAustral.site();
    for service in &mut site.services {
        service.cold_rate = Some(1);
    }
    site
}

/// Returns the rules that instances with `defect` violate.
fn rules(defect: Defect) -> Vec<Rule> {
    let report = simulate_defect(&site(), &scenario(), 1, defect);
    let mut rules: Vec<Rule> = report.violations.iter().map(|violation| violation.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

#[test]
fn sound_instances_violate_no_rule() {
    assert_eq!(rules(Defect::None), []);
}

#[test]
fn defects_are_detected() {
    let cases = [
        (Defect::KeepsLeaving, Rule::Leaving),
        (Defect::KeepsEvacuated, Rule::Evacuated),
        (Defect::IgnoresCold, Rule::Cold),
        (Defect::KeepsConfiguration, Rule::Outdated),
        (Defect::MixesServices, Rule::WrongService),
        (Defect::MisreadsProbes, Rule::FalseReset),
    ];
    for (defect, rule) in cases {
        let violations = rules(defect);
        assert!(violations.contains(&rule), "{defect:?}: {violations:?}");
    }
}
