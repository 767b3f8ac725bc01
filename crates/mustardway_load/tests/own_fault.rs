//! A fault of an instance is not taken for a fault of the targets.

mod common;

use common::{Fleet, target_key};
use mustardway_types::time::Span;

/// Guards against sound targets that are avoided, since the link of one instance is full.
#[test]
fn instance_with_a_full_link_makes_no_target_slow() {
    // Where the fault begins and ends between two reports differs with the seed.
    for (instances, seed) in [(6, 7), (30, 7), (6, 3), (6, 11), (6, 14), (6, 15), (6, 16)] {
        let mut fleet = Fleet::new(instances, 3, 40);
        fleet.reseed(seed);
        fleet.run(Span::seconds(10));
        fleet.members[4].factor = 10.0;
        assert_all_usual(&mut fleet, Span::seconds(20));
        fleet.members[4].factor = 1.0;
        assert_all_usual(&mut fleet, Span::seconds(10));
    }
}

/// Guards against a full link that is so from the start, when nothing is known yet.
#[test]
fn instance_that_starts_with_a_full_link_makes_no_target_slow() {
    let mut fleet = Fleet::new(30, 3, 40);
    fleet.members[4].factor = 10.0;
    fleet.run(Span::seconds(5));
    assert_all_usual(&mut fleet, Span::seconds(20));
}

/// Guards against a path between one instance and one target that is slow: the other
/// instances would avoid the target without a reason.
#[test]
fn one_instance_alone_makes_no_target_slow() {
    let mut fleet = Fleet::new(6, 2, 40);
    fleet.run(Span::seconds(10));
    let key = target_key(40, 1);
    for _ in 0..200 {
        fleet.run(Span::millis(50));
        fleet.answer(2, key, 6.0);
        for member in fleet.live() {
            assert_eq!(member.node.view().slowness(key), 1.0, "{}", member.id);
        }
    }
}

/// Guards against a slow target that stays unknown, since half of the targets are slow and
/// each instance takes itself for the slow part.
#[test]
fn half_of_the_targets_slow_is_no_fault_of_the_instances() {
    let mut fleet = Fleet::new(30, 3, 40);
    fleet.run(Span::seconds(10));
    for index in 0..20 {
        fleet.targets[index].slow = 6.0;
    }
    let took = fleet.run_until(Span::seconds(10), |node| {
        (0..20).all(|index| node.view().slowness(target_key(index, 1)) > 1.33)
    });
    assert!(took.is_some_and(|took| took <= Span::seconds(5)), "took {took:?}");
}

fn assert_all_usual(fleet: &mut Fleet, span: Span) {
    let end = fleet.now + span;
    while fleet.now < end {
        fleet.run(Span::millis(100));
        for member in fleet.live() {
            for index in 0..40 {
                let slowness = member.node.view().slowness(target_key(index, 1));
                assert!(
                    slowness <= 1.0,
                    "{} {}: target {index} is {slowness}",
                    fleet.now.0,
                    member.id
                );
            }
        }
    }
}
