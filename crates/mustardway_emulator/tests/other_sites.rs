//! Sites of other sizes than the users': one failure domain, one instance, many
//! instances.

use mustardway_emulator::preset::Preset;
use mustardway_emulator::scenario::Scenario;
use mustardway_emulator::site::Site;
use mustardway_emulator::world::simulate;

/// Returns a site with the given number of instances in each failure domain, and the
/// targets spread evenly over the failure domains.
fn sized(instances: &[usize]) -> Site {
    let mut site = Preset::SanJose.site();
    site.domains.truncate(instances.len());
    site.instances = instances.to_vec();
    for service in &mut site.services {
        let total: u32 = service.targets.iter().sum();
        let targets_per_domain = total.div_ceil(instances.len() as u32);
        service.targets = vec![targets_per_domain; instances.len()];
    }
    site
}

/// Runs a quiet scenario and the given number of random ones.
fn run_scenarios(instances: &[usize], scenarios: u64) {
    let site = sized(instances);
    let quiet = simulate(&site, &Scenario::quiet(12), 1);
    assert!(quiet.violations.is_empty() && quiet.total().failed == 0, "{instances:?}: {quiet}");
    for seed in 1..=scenarios {
        let scenario = Scenario::random(seed, site.domains.len(), site.services.len());
        let report = simulate(&site, &scenario, seed);
        assert!(report.violations.is_empty(), "{instances:?}, scenario {seed}: {report}");
    }
}

#[test]
fn one_instance_violates_no_rule() {
    run_scenarios(&[1], 8);
}

#[test]
fn one_domain_violates_no_rule() {
    run_scenarios(&[3], 8);
    run_scenarios(&[30], 1);
}

#[test]
fn two_domains_violate_no_rule() {
    run_scenarios(&[3, 1], 8);
}

#[test]
fn sixty_instances_violate_no_rule() {
    run_scenarios(&[20, 20, 20], 1);
}
