//! A deployment writes the configuration files that an operator would write.

use std::collections::BTreeSet;

use mustardway_stand_in::deployment::files::{self, DomainState, Folder, TargetState};
use mustardway_stand_in::deployment::plan::Plan;
use mustardway_stand_in::deployment::user::User;
use mustardway_stand_in::platform::folder;

/// A deployment folder that is removed when the test ends.
struct TemporaryFolder(Folder);

impl TemporaryFolder {
    fn new(plan: &Plan, name: &str) -> TemporaryFolder {
        let root = std::env::temp_dir().join(format!("mustardway-{}-{name}", std::process::id()));
        TemporaryFolder(Folder::create(root, plan).expect("a folder"))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(self.0.root());
    }
}

#[test]
fn plans_have_the_present_size_and_distinct_addresses() {
    for user in [User::FrioAustral, User::PartituraViva] {
        let plan = Plan::in_network(user, 0);
        assert_eq!(plan.instances.len(), 8);
        assert_eq!(plan.targets.len(), 18);
        let fronts: BTreeSet<_> = plan.fronts().into_iter().collect();
        assert_eq!(fronts.len(), 8);
        let endpoints: BTreeSet<_> = plan.targets.iter().map(|target| target.endpoint).collect();
        assert_eq!(endpoints.len(), 18);
    }
}

#[test]
fn every_domain_service_and_target_has_its_own_file() {
    let plan = Plan::in_network(User::FrioAustral, 0);
    let temporary = TemporaryFolder::new(&plan, "files");
    let files = folder::read(&temporary.0.configuration()).unwrap();
    assert_eq!(files.len(), 1 + 3 + 2 + 18);
}

#[test]
fn domain_taken_out_is_written_as_out() {
    let plan = Plan::in_network(User::PartituraViva, 0);
    let temporary = TemporaryFolder::new(&plan, "domain");
    temporary.0.put_domain(&plan, &plan.domains[1], DomainState::Out).unwrap();
    let files = folder::read(&temporary.0.configuration()).unwrap();
    let text = &files["10-domain-cr-central-b.ini"];
    assert_eq!(text, "[domain cr-central-b]\nregion=cr-central\nstate=out\n");
}

#[test]
fn leaving_target_is_written_and_removed() {
    let plan = Plan::in_network(User::FrioAustral, 0);
    let temporary = TemporaryFolder::new(&plan, "target");
    let target = &plan.targets[0];
    temporary.0.put_target(target, TargetState::Leaving).unwrap();
    let files = folder::read(&temporary.0.configuration()).unwrap();
    assert!(files[&files::target_file(target)].ends_with("state=leaving\n"));
    temporary.0.remove(&files::target_file(target)).unwrap();
    assert_eq!(folder::read(&temporary.0.configuration()).unwrap().len(), files.len() - 1);
}
