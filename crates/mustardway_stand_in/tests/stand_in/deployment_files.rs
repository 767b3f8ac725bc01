//! What a deployment writes is what an operator would.

use std::collections::BTreeSet;

use mustardway_stand_in::deployment::files::{self, DomainState, Folder, TargetState};
use mustardway_stand_in::deployment::plan::Plan;
use mustardway_stand_in::deployment::user::User;
use mustardway_stand_in::platform::folder;

/// A folder that is removed with its test.
struct Scratch(Folder);

impl Scratch {
    fn new(plan: &Plan, name: &str) -> Scratch {
        let root = std::env::temp_dir().join(format!("mustardway-{}-{name}", std::process::id()));
        Scratch(Folder::create(root, plan).expect("a folder"))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(self.0.root());
    }
}

#[test]
fn sizes_of_today() {
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
fn one_file_a_thing() {
    let plan = Plan::in_network(User::FrioAustral, 0);
    let scratch = Scratch::new(&plan, "files");
    let files = folder::read(&scratch.0.configuration()).unwrap();
    assert_eq!(files.len(), 1 + 3 + 2 + 18);
}

#[test]
fn domain_out() {
    let plan = Plan::in_network(User::PartituraViva, 0);
    let scratch = Scratch::new(&plan, "domain");
    scratch.0.put_domain(&plan, &plan.domains[1], DomainState::Out).unwrap();
    let files = folder::read(&scratch.0.configuration()).unwrap();
    let text = &files["10-domain-cr-central-b.ini"];
    assert_eq!(text, "[domain cr-central-b]\nregion=cr-central\nstate=out\n");
}

#[test]
fn target_leaving() {
    let plan = Plan::in_network(User::FrioAustral, 0);
    let scratch = Scratch::new(&plan, "target");
    let target = &plan.targets[0];
    scratch.0.put_target(target, TargetState::Leaving).unwrap();
    let files = folder::read(&scratch.0.configuration()).unwrap();
    assert!(files[&files::target_file(target)].ends_with("state=leaving\n"));
    scratch.0.remove(&files::target_file(target)).unwrap();
    assert_eq!(folder::read(&scratch.0.configuration()).unwrap().len(), files.len() - 1);
}
