//! Deployments of other sizes than the users': one failure domain, one instance,
//! many instances.

use mustardway_emulator::scenario::Scenario;
use mustardway_emulator::site::{Preset, Site};
use mustardway_emulator::world::simulate;

/// The site with so many instances in each failure domain, and targets in all.
fn sized(instances: &[usize]) -> Site {
    let mut site = Preset::SanJose.site();
    site.domains.truncate(instances.len());
    site.instances = instances.to_vec();
    for service in &mut site.services {
        let total: u32 = service.targets.iter().sum();
        let each = total.div_ceil(instances.len() as u32);
        service.targets = vec![each; instances.len()];
    }
    site
}

fn play_days(instances: &[usize], scenarios: u64) {
    let site = sized(instances);
    let quiet = simulate(&site, &Scenario::quiet(12), 1);
    assert!(quiet.violations.is_empty() && quiet.total().failed == 0, "{instances:?}: {quiet}");
    for seed in 1..=scenarios {
        let scenario = Scenario::random(seed, site.domains.len(), site.services.len());
        let report = simulate(&site, &scenario, seed);
        assert!(report.violations.is_empty(), "{instances:?}, day {seed}: {report}");
    }
}

#[test]
fn one_instance() {
    play_days(&[1], 8);
}

#[test]
fn one_domain() {
    play_days(&[3], 8);
    play_days(&[30], 1);
}

#[test]
fn two_domains() {
    play_days(&[3, 1], 8);
}

#[test]
fn sixty_instances() {
    play_days(&[20, 20, 20], 1);
}
