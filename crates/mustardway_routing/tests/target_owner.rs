//! Selection of the instance that owns a target.

#![allow(clippy::unwrap_used)]

mod common;

use common::*;
use mustardway_routing::live::{Instance, Instances};
use mustardway_routing::owner;
use mustardway_types::domain;

fn without(live: &Instances, id: &str) -> Instances {
    let mut rest = Instances::default();
    for (name, instances) in live.domains() {
        for instance in instances {
            if instance.id.as_str() != id {
                rest.insert(name.clone(), instance.clone());
            }
        }
    }
    rest
}

#[test]
fn owner_is_in_domain_of_target() {
    let snapshot = snapshot(view(30), live(3));
    for number in 0..30 {
        let owner = snapshot.owner(&target(number)).unwrap();
        assert!(owner.id.as_str().starts_with(DOMAINS[number % 3]));
    }
}

#[test]
fn lost_instance_moves_only_its_targets() {
    let all = live(3);
    let rest = without(&all, "rosario-1");
    for number in 0..300 {
        let home: domain::Name = DOMAINS[number % 3].parse().unwrap();
        let key = owner::key(&target(number));
        let before = owner::highest_ranked(owner::candidates(&all, &home), key).unwrap();
        let after = owner::highest_ranked(owner::candidates(&rest, &home), key).unwrap();
        if before.id.as_str() != "rosario-1" {
            assert_eq!(before.id, after.id);
            continue;
        }
        let ranked = owner::rank(owner::candidates(&all, &home), key);
        assert_eq!(ranked[1].id, after.id);
    }
}

#[test]
fn next_domain_owns_targets_of_empty_domain() {
    let mut rest = Instances::default();
    for (name, instances) in live(2).domains() {
        if name.as_str() == "santa-fe" {
            continue;
        }
        for instance in instances {
            rest.insert(name.clone(), instance.clone());
        }
    }
    let candidates = owner::candidates(&rest, &"santa-fe".parse().unwrap());
    assert!(candidates.iter().all(|instance| instance.id.as_str().starts_with("cordoba")));
}

#[test]
fn leaving_instance_owns_targets_and_has_successor() {
    let mut live = Instances::default();
    let home: domain::Name = "rosario".parse().unwrap();
    let peer = "10.2.0.1:1".parse().unwrap();
    for (id, leaving) in [("rosario-0", true), ("rosario-1", false)] {
        live.insert(home.clone(), Instance::new(id.parse().unwrap(), peer, leaving));
    }
    for number in 0..20 {
        let key = owner::key(&target(number));
        let successor = owner::successor(&live, &home, key).unwrap();
        assert_eq!(successor.id.as_str(), "rosario-1");
    }
    let owned = |number: &usize| {
        let top =
            owner::highest_ranked(owner::candidates(&live, &home), owner::key(&target(*number)));
        top.unwrap().id.as_str() == "rosario-0"
    };
    assert!((0..20).filter(owned).count() > 0);
}
