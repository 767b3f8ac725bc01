//! Network partitions between failure domains, and their healing.

mod common;

use common::Fleet;
use mustardway_types::time::Span;

fn partition(fleet: &mut Fleet, alone: impl Fn(usize) -> bool) {
    for index in 0..fleet.sides.len() {
        fleet.sides[index] = u8::from(alone(index));
    }
}

fn sides_agree(fleet: &Fleet) -> bool {
    for (viewer, host) in fleet.running() {
        let side = fleet.sides[viewer];
        let peers = fleet.sides.iter().filter(|other| **other == side).count();
        if host.node.live().count() != peers {
            return false;
        }
    }
    true
}

/// Returns whether no running host is missing from the live list of a host on its
/// own side.
fn sides_see_own_live(fleet: &Fleet) -> bool {
    for (viewer, _) in fleet.running() {
        for (subject, _) in fleet.running() {
            let same = fleet.sides[viewer] == fleet.sides[subject];
            if same && !fleet.sees_live(viewer, subject) {
                return false;
            }
        }
    }
    true
}

/// Cuts the first `alone` domains off from the others, heals the cut and checks that
/// each side agrees during the cut and the fleet agrees after it.
fn cut_and_heal(count: usize, domains: usize, alone: usize, seed: u64, heal_limit: Span) {
    let mut fleet = Fleet::settled(count, domains, seed);
    partition(&mut fleet, |index| index % domains < alone);
    let cut = fleet.run_until(Span::seconds(30), sides_agree);
    assert!(cut.is_some(), "seed {seed}: sides do not agree");
    for _ in 0..50 {
        fleet.run(Span::millis(100));
        assert!(sides_see_own_live(&fleet), "seed {seed}");
    }
    let fenced = fenced_hosts(&fleet);
    assert_eq!(fenced, 0, "seed {seed}");
    partition(&mut fleet, |_| false);
    let healed = fleet.run_until(heal_limit, Fleet::agrees);
    assert!(healed.is_some(), "seed {seed}: not healed");
    fleet.run(Span::seconds(5));
    assert!(fleet.agrees(), "seed {seed}: not stable");
}

/// Returns the number of running hosts that are fenced.
fn fenced_hosts(fleet: &Fleet) -> usize {
    fleet.running().filter(|(_, host)| host.node.fenced(fleet.now)).count()
}

#[test]
fn domain_cut_heals() {
    for seed in 0..5 {
        cut_and_heal(9, 3, 1, seed, Span::seconds(3));
    }
}

#[test]
fn region_cut_heals() {
    for seed in 0..3 {
        cut_and_heal(36, 6, 3, seed, Span::seconds(3));
    }
}

#[test]
fn domain_cut_heals_in_large_fleet() {
    cut_and_heal(120, 6, 1, 1, Span::seconds(4));
}

/// Guards against a heal that takes an instance off the live lists of its own side:
/// the other side's tables say that it is dead.
fn check_own_side_stays_live(count: usize, domains: usize, seed: u64) {
    let mut fleet = Fleet::settled(count, domains, seed);
    partition(&mut fleet, |index| index % domains == 0);
    fleet.run(Span::seconds(20));
    let sides = fleet.sides.clone();
    partition(&mut fleet, |_| false);
    for _ in 0..100 {
        fleet.run(Span::millis(50));
        for (viewer, _) in fleet.running() {
            for (subject, _) in fleet.running() {
                let kept = sides[viewer] != sides[subject] || fleet.sees_live(viewer, subject);
                assert!(kept, "seed {seed}: {viewer} lost {subject}");
            }
        }
    }
    assert!(fleet.agrees(), "seed {seed}");
}

#[test]
fn heal_keeps_own_side_live() {
    for seed in 0..5 {
        check_own_side_stays_live(9, 3, seed);
    }
    check_own_side_stays_live(90, 6, 1);
}

#[test]
fn heal_soon_after_cut() {
    let mut fleet = Fleet::warm(120, 6, 1);
    partition(&mut fleet, |index| index % 6 == 0);
    fleet.run(Span::seconds(8));
    partition(&mut fleet, |_| false);
    assert!(fleet.run_until(Span::seconds(3), Fleet::agrees).is_some());
}

#[test]
fn instance_cut_off_is_fenced_then_alone() {
    let mut fleet = Fleet::settled(9, 3, 4);
    fleet.sides[4] = 1;
    fleet.run(Span::millis(1_000));
    assert!(fleet.hosts[4].node.fenced(fleet.now));
    fleet.run(Span::millis(1_500));
    assert!(!fleet.hosts[4].node.fenced(fleet.now));
    assert_eq!(fleet.hosts[4].node.live().count(), 1);
    assert!(fleet.all_see_dead(4));
    fleet.sides[4] = 0;
    let healed = fleet.run_until(Span::seconds(3), Fleet::agrees);
    assert!(healed.is_some());
}
