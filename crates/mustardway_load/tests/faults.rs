//! Instances that fail, pause, start or run an older build.

mod common;

use std::collections::BTreeSet;

use common::{Fleet, domain_name, id, route, target_key};
use mustardway_load::node::{Event, SUMMARY_AGE_MAX};
use mustardway_load::topology::Topology;
use mustardway_types::time::Span;

fn slow_fleet(instances: usize, domains: usize) -> Fleet {
    let mut fleet = Fleet::new(instances, domains, 40);
    fleet.targets[3].slow = 6.0;
    fleet.run(Span::seconds(15));
    assert_slow_everywhere(&fleet);
    fleet
}

fn assert_slow_everywhere(fleet: &Fleet) {
    for member in fleet.live() {
        let slowness = member.node.view().slowness(target_key(3, 1));
        assert!(slowness > 1.33, "{} at {}: {slowness}", member.id, fleet.now.0);
    }
}

/// Runs for `span` and asserts that the slow target is known all the time.
fn run_slow(fleet: &mut Fleet, span: Span) {
    let end = fleet.now + span;
    while fleet.now < end {
        fleet.run(Span::millis(50));
        assert_slow_everywhere(fleet);
    }
}

/// Guards against estimates that are lost with the instance that has made them.
#[test]
fn estimates_outlast_a_parent_and_a_root() {
    let mut fleet = slow_fleet(30, 3);
    let inner = fleet.inner();
    fleet.members[inner].is_up = false;
    run_slow(&mut fleet, Span::millis(1_500));
    fleet.update_topologies();
    run_slow(&mut fleet, Span::seconds(5));
    for _ in 0..3 {
        let root = fleet.root(0);
        fleet.members[root].is_up = false;
        run_slow(&mut fleet, Span::millis(1_500));
        fleet.update_topologies();
        run_slow(&mut fleet, Span::seconds(5));
    }
    let epoch = fleet.members[fleet.root(0)].node.view().epoch();
    fleet.run(Span::seconds(4));
    assert!(fleet.members[fleet.root(0)].node.view().epoch() >= epoch + 3);
}

/// Guards against a failing target that gets flows again, since the next root does not know
/// of its short answers.
#[test]
fn short_share_outlasts_a_root() {
    let mut fleet = Fleet::new(30, 3, 40);
    fleet.targets[3].short = 0.9;
    fleet.run(Span::seconds(15));
    let root = fleet.root(0);
    fleet.members[root].is_up = false;
    fleet.run(Span::seconds(1));
    fleet.update_topologies();
    for _ in 0..100 {
        fleet.run(Span::millis(50));
        for member in fleet.live() {
            assert!(member.node.view().short_share(target_key(3, 1)) > 0.5, "{}", member.id);
        }
    }
}

/// Guards against a failure domain that stops learning when it is cut off.
#[test]
fn both_sides_of_a_partition_go_on() {
    let mut fleet = slow_fleet(30, 3);
    fleet.cut = Some(1);
    run_slow(&mut fleet, Span::seconds(1));
    fleet.update_topologies();
    run_slow(&mut fleet, Span::seconds(5));
    fleet.targets[5].slow = 6.0;
    let took =
        fleet.run_until(Span::seconds(10), |node| node.view().slowness(target_key(5, 1)) > 1.33);
    assert!(took.is_some_and(|took| took <= Span::seconds(3)), "took {took:?}");
    fleet.cut = None;
    fleet.update_topologies();
    run_slow(&mut fleet, Span::seconds(5));
}

/// Guards against an instance that goes on with estimates that nobody renews.
#[test]
fn instance_without_summaries_uses_its_own_samples() {
    let mut fleet = slow_fleet(6, 1);
    let root = fleet.root(0);
    fleet.members[root].is_up = false;
    fleet.run(SUMMARY_AGE_MAX + Span::seconds(1));
    let rate = fleet.requests_expected() / 5.0;
    for member in fleet.live() {
        let known = member.node.view().route(route()).map_or(0.0, |load| load.requests);
        assert!((known / rate - 1.0).abs() < 0.5, "{}: {known} instead of {rate}", member.id);
        assert!(member.node.view().age(fleet.now).is_some_and(|age| age >= SUMMARY_AGE_MAX));
    }
    fleet.update_topologies();
    fleet.run(Span::seconds(2));
    for member in fleet.live() {
        assert!(member.node.view().age(fleet.now).is_some_and(|age| age < Span::seconds(1)));
    }
}

/// Guards against samples whose times include a pause of the instance, and against an
/// instance that does not find back into the tree.
#[test]
fn paused_instance_finds_back() {
    let mut fleet = slow_fleet(30, 3);
    for paused in [fleet.inner(), fleet.root(0)] {
        fleet.members[paused].is_paused = true;
        fleet.run(Span::seconds(2));
        fleet.members[paused].is_paused = false;
        fleet.answer(paused, target_key(9, 1), 500.0);
        fleet.pass(paused, Event::Paused);
        fleet.run(Span::seconds(2));
        for member in fleet.live() {
            assert_eq!(member.node.view().slowness(target_key(9, 1)), 1.0);
            assert!(member.node.view().age(fleet.now).is_some_and(|age| age < Span::seconds(1)));
        }
        run_slow(&mut fleet, Span::seconds(5));
    }
}

/// Guards against a root that was taken for dead: its summaries have numbers that the
/// others have passed, so that they ignore it.
#[test]
fn root_that_comes_back_goes_on() {
    let mut fleet = slow_fleet(30, 3);
    let root = fleet.root(0);
    fleet.members[root].is_up = false;
    fleet.run(Span::seconds(1));
    fleet.update_topologies();
    run_slow(&mut fleet, Span::seconds(20));
    fleet.members[root].is_up = true;
    fleet.update_topologies();
    fleet.run(Span::seconds(1));
    for _ in 0..100 {
        fleet.run(Span::millis(50));
        assert_slow_everywhere(&fleet);
        for member in fleet.live() {
            let age = member.node.view().age(fleet.now);
            assert!(age.is_some_and(|age| age <= Span::millis(1_100)), "{}: {age:?}", member.id);
        }
    }
}

/// Guards against a new instance that places flows without knowing the estimates, or that
/// becomes root and makes all others forget them.
#[test]
fn fresh_instance_gets_the_estimates_within_two_seconds() {
    let (ordinary, root) = (fresh_index(false), fresh_index(true));
    for index in [ordinary, root] {
        let mut fleet = slow_fleet(30, 3);
        let epoch = fleet.members[fleet.root(0)].node.view().epoch();
        let fresh = fleet.join(index, 0);
        // The instance is alone until it has heard of the others.
        fleet.run(Span::millis(700));
        fleet.update_topologies();
        assert_eq!(fleet.members[fresh].node.topology().is_root(), index == root);
        fleet.run(Span::seconds(2));
        run_slow(&mut fleet, Span::seconds(4));
        for member in fleet.live().filter(|member| member.domain == domain_name(0)) {
            let now = member.node.view().epoch();
            assert!((epoch + 4..epoch + 9).contains(&now), "{}: {now} after {epoch}", member.id);
        }
    }
}

/// Returns the number of a new instance that becomes root, or not, among the instances 0 to
/// 29 in three failure domains.
fn fresh_index(is_root: bool) -> usize {
    let home = domain_name(0);
    let ids: Vec<_> = (0..30).step_by(3).map(id).collect();
    let is_wanted = |index: &usize| {
        let live = ids.iter().map(|id| (id, &home));
        Topology::new(&id(*index), &home, live).is_root() == is_root
    };
    (30..1_000).find(is_wanted).expect("such an instance")
}

/// Guards against an update of the fleet, with half of the instances of a build that does
/// not know the messages.
#[test]
fn half_of_the_instances_run_an_older_build() {
    let mut fleet = Fleet::new(30, 3, 40);
    for member in fleet.members.iter_mut().step_by(2) {
        member.is_old = true;
    }
    fleet.targets[3].slow = 6.0;
    fleet.run(Span::seconds(15));
    let confirmed =
        fleet.live().filter(|member| member.node.view().slowness(target_key(3, 1)) > 1.33);
    // Instances below an older one use their own samples.
    assert!(confirmed.count() >= 12);
    for member in fleet.live() {
        assert!(member.node.view().slowness(target_key(9, 1)) <= 1.0, "{}", member.id);
        let known = member.node.view().route(route()).map_or(0.0, |load| load.requests);
        assert!(known > 0.0 && known < 1.3 * fleet.requests_expected(), "{}", member.id);
    }
}

/// Guards against an instance that hears of its domain's root late and takes itself for it.
#[test]
fn second_root_does_not_disturb() {
    let mut fleet = slow_fleet(30, 3);
    let root = fleet.root(0);
    let is_next = |index: &usize| fleet.members[*index].domain == domain_name(0) && *index != root;
    let next = (0..30)
        .filter(is_next)
        .max_by_key(|index| fleet.members[*index].node.topology().children.len());
    // Some instances get no summaries while the lists differ.
    fleet.update_topology(next.unwrap(), &BTreeSet::from([root]));
    run_slow(&mut fleet, SUMMARY_AGE_MAX.saturating_sub(Span::millis(500)));
    fleet.update_topologies();
    run_slow(&mut fleet, Span::seconds(5));
}
