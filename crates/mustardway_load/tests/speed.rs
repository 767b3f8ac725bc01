//! The speed of targets is learned by all instances from few samples each.

mod common;

use common::{Fleet, target_key};
use mustardway_load::node::Node;
use mustardway_types::time::Span;

fn slowness(node: &Node, target: usize) -> f64 {
    node.view().slowness(target_key(target, 1))
}

/// Guards against slow targets that stay unknown, since each instance sees one request of
/// a target in two seconds or less.
#[test]
fn target_at_sixfold_time_is_known_everywhere_within_two_seconds() {
    let mut fleet = Fleet::new(30, 3, 40);
    fleet.run(Span::seconds(10));
    fleet.targets[3].slow = 6.0;
    let took = fleet.run_until(Span::seconds(10), |node| slowness(node, 3) > 1.33).unwrap();
    println!("known after {took}");
    assert!(took <= Span::seconds(2), "took {took}");
}

/// Guards against targets at half speed that are taken for usual ones. The first samples
/// of a target decide at once; those of a target that slows down have to outweigh the
/// earlier ones, which count for 4 s.
#[test]
fn target_that_starts_at_half_speed_is_known_everywhere_within_two_seconds() {
    let mut fleet = Fleet::new(30, 3, 40);
    fleet.run(Span::seconds(10));
    fleet.targets[3].key = target_key(3, 2);
    fleet.targets[3].slow = 2.0;
    let key = target_key(3, 2);
    let took = fleet.run_until(Span::seconds(10), |node| node.view().slowness(key) > 1.33).unwrap();
    println!("known after {took}");
    assert!(took <= Span::seconds(2), "took {took}");
}

/// Guards against a target whose later slowing down is averaged away.
#[test]
fn target_that_slows_down_to_half_speed_is_known_within_a_time_constant() {
    let mut fleet = Fleet::new(30, 3, 40);
    fleet.run(Span::seconds(10));
    fleet.targets[3].slow = 2.0;
    let took = fleet.run_until(Span::seconds(10), |node| slowness(node, 3) > 1.33).unwrap();
    println!("known after {took}");
    assert!(took <= Span::seconds(4), "took {took}");
}

/// Guards against estimates that are off, which would send too many or too few flows to
/// slow targets, and against chance differences between equal targets.
#[test]
fn slow_quarter_is_told_from_the_rest() {
    let mut fleet = Fleet::new(30, 3, 40);
    for index in 0..10 {
        fleet.targets[index].slow = 3.0;
    }
    fleet.run(Span::seconds(15));
    for member in fleet.live() {
        for index in 0..40 {
            let relative = slowness(&member.node, index) / slowness(&member.node, 39);
            let expected = if index < 10 { 3.0 } else { 1.0 };
            assert!(
                (relative / expected - 1.0).abs() < 0.35,
                "{}: target {index} is {relative}, not {expected}",
                member.id
            );
        }
    }
}

/// Guards against targets that are avoided for good after they have recovered.
#[test]
fn recovery_is_noticed_everywhere() {
    let mut fleet = Fleet::new(30, 3, 40);
    fleet.targets[3].slow = 6.0;
    fleet.run(Span::seconds(15));
    assert!(fleet.live().all(|member| slowness(&member.node, 3) > 2.0));
    fleet.targets[3].slow = 1.0;
    let took = fleet.run_until(Span::seconds(30), |node| slowness(node, 3) <= 1.33).unwrap();
    println!("recovery known after {took}");
    assert!(took <= Span::seconds(14), "took {took}");
}

/// Guards against the recovery that is told once, in a message that is lost: an instance
/// would avoid the target until the estimate expires.
#[test]
fn recovery_is_noticed_although_a_summary_is_lost() {
    let mut fleet = Fleet::new(30, 3, 40);
    fleet.targets[3].slow = 6.0;
    fleet.run(Span::seconds(15));
    fleet.targets[3].slow = 1.0;
    let root = fleet.root(0);
    while slowness(&fleet.members[root].node, 3) > 1.33 {
        fleet.run(Span::millis(10));
    }
    // The summary that tells the recovery is under way.
    fleet.drop_messages();
    let took = fleet.run_until(Span::seconds(40), |node| slowness(node, 3) <= 1.33).unwrap();
    println!("recovery known after {took}");
    assert!(took <= Span::seconds(3), "took {took}");
}

/// Guards against a restarted target that inherits the slowness of its former process.
#[test]
fn restarted_target_begins_anew() {
    let mut fleet = Fleet::new(30, 3, 40);
    fleet.targets[3].slow = 6.0;
    fleet.run(Span::seconds(15));
    fleet.targets[3].key = target_key(3, 2);
    fleet.targets[3].slow = 1.0;
    for _ in 0..100 {
        fleet.run(Span::millis(100));
        for member in fleet.live() {
            assert_eq!(member.node.view().slowness(target_key(3, 2)), 1.0, "{}", member.id);
        }
    }
}

/// Guards against a failing target that looks fast because it rejects everything at once.
#[test]
fn short_answers_raise_the_short_share_and_do_not_make_fast() {
    let mut fleet = Fleet::new(30, 3, 40);
    fleet.run(Span::seconds(10));
    fleet.targets[3].short = 0.8;
    fleet.run(Span::seconds(10));
    for member in fleet.live() {
        let share = member.node.view().short_share(target_key(3, 1));
        assert!((0.6..=0.95).contains(&share), "{}: {share}", member.id);
        assert!(slowness(&member.node, 3) >= 1.0);
        assert_eq!(member.node.view().short_share(target_key(4, 1)), 0.0);
    }
}

/// Guards against an overload in which all instances leave the targets that are full.
#[test]
fn rejections_of_a_full_target_do_not_raise_the_short_share() {
    let mut fleet = Fleet::new(30, 3, 40);
    fleet.run(Span::seconds(10));
    fleet.targets[3].short = 0.8;
    fleet.targets[3].is_full = true;
    fleet.run(Span::seconds(10));
    for member in fleet.live() {
        assert_eq!(member.node.view().short_share(target_key(3, 1)), 0.0, "{}", member.id);
        assert_eq!(slowness(&member.node, 3), 1.0);
    }
}

/// Guards against a change of the work of a route that is taken for a fault of every
/// instance: none would send speeds any more.
#[test]
fn speeds_are_learned_again_after_the_work_of_a_route_has_changed() {
    let mut fleet = Fleet::new(30, 3, 40);
    fleet.run(Span::seconds(20));
    fleet.work = 6.0;
    fleet.run(Span::seconds(30));
    fleet.targets[3].slow = 6.0;
    let took = fleet.run_until(Span::seconds(10), |node| slowness(node, 3) > 1.33);
    assert!(took.is_some_and(|took| took <= Span::seconds(4)), "took {took:?}");
}
