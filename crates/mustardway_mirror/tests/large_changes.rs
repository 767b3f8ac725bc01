//! A change that takes long to pass a narrow link reaches all instances, and none of
//! them receives it many times.

mod common;

use common::Fleet;
use mustardway_mirror::message::{Body, Message, Pull, Push};
use mustardway_mirror::node::{Action, Answer, Event, Failure, Node};
use mustardway_mirror::publication::{Change, Key, Update};
use mustardway_mirror::topology::Topology;
use mustardway_types::instance;
use mustardway_types::revision::{Number, Version};
use mustardway_types::time::{Instant, Span};

/// Bytes per second of a link of 10 Mbit/s.
const NARROW_LINK: u64 = 1_250_000;
/// Routes of a configuration that takes about 0.7 s as an answer of the platform and
/// 0.1 s as a message between instances on a narrow link.
const ROUTES: u16 = 4_200;
/// Time within which a change has to be in force on a site with narrow links.
const IN_FORCE_MILLIS: u64 = 5_000;

/// Publishes a large configuration and returns the fleet after it has to be in force.
fn after_large_change(count: usize, domains: usize) -> Fleet {
    let mut fleet = Fleet::new(count, domains);
    fleet.publish_next_configuration(ROUTES);
    fleet.run(3_000);
    fleet.limit_links(NARROW_LINK);
    fleet.run(1_500);
    fleet.received.clear();
    fleet.platform.calls = 0;
    fleet.publish_next_configuration(ROUTES);
    fleet.run(IN_FORCE_MILLIS);
    fleet
}

/// Returns the number of bytes of a configuration with `routes` routes.
fn configuration_bytes(routes: u16) -> usize {
    let update = Update { number: Number(1), change: common::configuration_with(1, routes) };
    Push::new(Version::default(), Version::default(), 0, &[update]).size()
}

#[test]
fn large_change_is_in_force_everywhere() {
    for (count, domains) in [(9, 3), (85, 3), (300, 6)] {
        let fleet = after_large_change(count, domains);
        for number in 0..count {
            assert!(fleet.is_current(number), "instance {number} of {count}");
        }
    }
}

/// Instances that read the platform themselves pushed the whole change to the first
/// ones of each failure domain, whose links were full for seconds.
#[test]
fn no_instance_receives_a_large_change_many_times() {
    for (count, domains) in [(85, 3), (300, 6)] {
        let fleet = after_large_change(count, domains);
        let most = fleet.received.values().max().expect("something was received");
        let size = configuration_bytes(ROUTES);
        assert!(*most <= 2 * size, "{most} bytes at one of {count} instances, {size} each");
    }
}

/// All replicas grow old while a large change is on its way. The instances must not
/// all read the platform: the calls grow with the failure domains, not the instances.
#[test]
fn few_instances_read_a_large_change() {
    const CALLS_PER_DOMAIN_MAX: usize = 8;
    for (count, domains) in [(85, 3), (300, 6)] {
        let fleet = after_large_change(count, domains);
        let calls = fleet.platform.calls;
        assert!(calls <= CALLS_PER_DOMAIN_MAX * domains, "{calls} calls by {count} instances");
    }
}

/// The instance that offers a change may stop before it sends it.
#[test]
fn change_arrives_although_the_reader_stops() {
    let mut fleet = Fleet::new(30, 3);
    fleet.publish_next_configuration(ROUTES);
    fleet.run(3_000);
    fleet.limit_links(NARROW_LINK);
    fleet.run(1_500);
    fleet.publish_next_configuration(ROUTES);
    let reader = fleet.reader();
    while !fleet.is_current(reader) {
        fleet.run(10);
        assert!(fleet.oldest() < Span::seconds(20), "the reader does not read");
    }
    fleet.run(30);
    fleet.hosts[reader].running = false;
    fleet.run(1_000);
    fleet.update_topologies();
    fleet.run(IN_FORCE_MILLIS - 1_000);
    for number in (0..30).filter(|number| *number != reader) {
        assert!(fleet.is_current(number), "instance {number}");
    }
}

/// A platform that is restored from a copy lacks the latest configuration, which is kept.
/// It is part of the difference between the two states.
#[test]
fn large_difference_of_a_restore_is_not_received_many_times() {
    let (count, domains) = (85, 3);
    let mut fleet = after_large_change(count, domains);
    let before = fleet.platform.number - 1;
    fleet.run(4_000);
    fleet.received.clear();
    fleet.platform.restore(before);
    fleet.run(IN_FORCE_MILLIS);
    let most = fleet.received.values().max().expect("something was received");
    let size = configuration_bytes(ROUTES);
    assert!(*most <= 2 * size, "{most} bytes at one of {count} instances, {size} each");
    assert!(fleet.hosts.iter().all(|host| host.node.replica().version().era.0 == 1));
}

/// An instance with the state number 18, in a failure domain with two others.
fn instance_at_18(now: Instant) -> (Node, Vec<instance::Id>) {
    let names: Vec<_> = (0..3).map(common::instance).collect();
    let home = common::domain(0);
    let topology = Topology::new(&names[0], &home, names.iter().map(|name| (name, &home)));
    let mut node = Node::new(1, now);
    node.handle(now, Event::Topology(topology), &mut Vec::new());
    let update = Update { number: Number(18), change: common::configuration(1) };
    common::answer(&mut node, now, Ok(Answer::Full(common::version(0, 18), vec![update])));
    (node, names)
}

/// Returns a push of a large configuration as number 20.
fn large_push() -> Push {
    let update = Update { number: Number(20), change: common::configuration_with(2, ROUTES) };
    Push::new(common::version(0, 18), common::version(0, 20), 0, &[update])
}

fn receive(node: &mut Node, now: Instant, from: &instance::Id, body: Body) -> Vec<Action> {
    let mut actions = Vec::new();
    let event = Event::Received { from: from.clone(), message: body.into() };
    node.handle(now, event, &mut actions);
    actions
}

/// The peer has had a small change from elsewhere, which has not arrived here.
#[test]
fn pull_of_a_peer_that_is_ahead_waits_for_the_change() {
    let now = Instant::default() + Span::seconds(3_600);
    let (mut node, names) = instance_at_18(now);
    let offer = Push { relay: true, ..large_push().to_offer() };
    receive(&mut node, now, &names[1], Body::Push(offer));
    let pull = Pull::new(common::version(0, 19), now);
    receive(&mut node, now, &names[2], Body::Pull(pull));
    let actions = receive(&mut node, now, &names[1], Body::Push(large_push()));
    let is_answer = |action: &Action| match action {
        Action::Send { to, message: Message { body: Some(Body::Push(push)) } } => {
            *to == names[2] && push.to == 20 && push.size() > 0
        }
        _ => false,
    };
    assert!(actions.iter().any(is_answer), "{actions:?}");
}

/// The instance that offered the change was killed: its link breaks at once.
#[test]
fn platform_is_read_if_the_offering_peer_is_killed() {
    let now = Instant::default() + Span::seconds(3_600);
    let (mut node, names) = instance_at_18(now);
    let later = now + Span::millis(2_600);
    let offer = Push { relay: true, ..large_push().to_offer() };
    let actions = receive(&mut node, later, &names[1], Body::Push(offer));
    assert!(!actions.iter().any(|action| matches!(action, Action::Read(..))), "{actions:?}");
    let mut actions = Vec::new();
    node.handle(later, Event::Disconnected(names[1].clone()), &mut actions);
    assert!(actions.iter().any(|action| matches!(action, Action::Read(..))), "{actions:?}");
}

/// Time until the other instances know that one has lost power.
const DETECTION_MILLIS: u64 = 2_000;
/// The shortest time within which a change has to be in force, less the time that reading
/// and sending a large one takes on real machines.
const IN_FORCE: Span = Span::millis(3_000 - 300);

/// Publishes a configuration `delay` milliseconds after the reader has begun a read, when
/// an instance loses power. Returns the time until the change is in force at all others.
fn time_in_force_without(fleet: &mut Fleet, lost: usize, routes: u16, delay: u64) -> Span {
    let reader = fleet.reader();
    while fleet.hosts[reader].node.reading().is_none() {
        fleet.run(10);
    }
    fleet.run(delay);
    fleet.publish_next_configuration(routes);
    fleet.hosts[lost].running = false;
    let published = fleet.now;
    let others: Vec<usize> = (0..fleet.hosts.len()).filter(|number| *number != lost).collect();
    while !others.iter().all(|number| fleet.is_current(*number)) {
        fleet.run(10);
        let passed = fleet.now.since(published);
        if passed == Span::millis(DETECTION_MILLIS) {
            fleet.update_topologies();
        }
        assert!(passed < Span::seconds(20), "the change does not arrive");
    }
    let passed = fleet.now.since(published);
    fleet.run(DETECTION_MILLIS);
    fleet.hosts[lost].running = true;
    fleet.update_topologies();
    fleet.run(3_000);
    passed
}

/// Guards against instances that go on with an older version beside one that has lost
/// power: they waited for a change that the lost one was to send.
#[test]
fn change_is_in_force_in_time_beside_a_lost_instance() {
    for (count, domains) in [(4, 2), (7, 3), (12, 3), (30, 5)] {
        for routes in [100, 1_000, ROUTES] {
            let mut fleet = Fleet::new(count, domains);
            fleet.publish_next_configuration(routes);
            fleet.run(3_000);
            let reader = fleet.reader();
            for delay in [0, 10, 200, 400, 600, 800, 950] {
                let passed = time_in_force_without(&mut fleet, reader, routes, delay);
                assert!(
                    passed <= IN_FORCE,
                    "{passed}: {routes} routes, {reader} of {count} lost after {delay} ms"
                );
            }
        }
    }
}

/// Each instance loses power in turn, so that it is the reader, a relay and an inner
/// instance of a tree.
#[test]
fn change_is_in_force_in_time_whichever_instance_is_lost() {
    let mut fleet = Fleet::new(12, 2);
    fleet.publish_next_configuration(ROUTES);
    fleet.run(3_000);
    for lost in 0..12 {
        let passed = time_in_force_without(&mut fleet, lost, ROUTES, 0);
        assert!(passed <= IN_FORCE, "{passed}: {lost} lost");
    }
}

/// Returns whether the actions pull from `peer`.
fn pulls_from(actions: &[Action], peer: &instance::Id) -> bool {
    actions.iter().any(|action| match action {
        Action::Send { to, message: Message { body: Some(Body::Pull(_)) } } => to == peer,
        _ => false,
    })
}

/// The instance that was to offer the change is lost.
#[test]
fn notice_without_an_offer_is_followed_by_a_pull() {
    let now = Instant::default() + Span::seconds(3_600);
    let (mut node, names) = instance_at_18(now);
    let root = names[2].to_string();
    let notice = Push { relay: true, is_notice: true, root, ..large_push().to_offer() };
    let actions = receive(&mut node, now, &names[1], Body::Push(notice));
    assert!(!pulls_from(&actions, &names[1]), "{actions:?}");
    let mut actions = Vec::new();
    for millis in (50..=500).step_by(50) {
        node.handle(now + Span::millis(millis), Event::Tick, &mut actions);
    }
    assert!(pulls_from(&actions, &names[1]), "{actions:?}");
    receive(&mut node, now + Span::millis(550), &names[1], Body::Push(large_push()));
    assert_eq!(node.replica().number(), Number(20));
}

/// An offer soon follows the notice, and nothing is pulled from the sender of the notice.
#[test]
fn notice_before_an_offer_causes_no_pull() {
    let now = Instant::default() + Span::seconds(3_600);
    let (mut node, names) = instance_at_18(now);
    let offer = Push { relay: true, root: names[2].to_string(), ..large_push().to_offer() };
    let notice = Push { is_notice: true, ..offer.clone() };
    let mut actions = receive(&mut node, now, &names[1], Body::Push(notice));
    let soon = now + Span::millis(100);
    let pulled = receive(&mut node, soon, &names[2], Body::Push(offer));
    assert!(pulls_from(&pulled, &names[2]), "{pulled:?}");
    for millis in (150..=500).step_by(50) {
        node.handle(now + Span::millis(millis), Event::Tick, &mut actions);
    }
    assert!(!pulls_from(&actions, &names[1]), "{actions:?}");
}

/// The instance that offered the change loses power before it has sent it.
#[test]
fn platform_is_read_if_the_offering_peer_is_lost() {
    let now = Instant::default() + Span::seconds(3_600);
    let (mut node, names) = instance_at_18(now);
    let later = now + Span::millis(2_600);
    let offer = Push { relay: true, ..large_push().to_offer() };
    receive(&mut node, later, &names[1], Body::Push(offer));
    let home = common::domain(0);
    let live = [&names[0], &names[2]].map(|name| (name, &home));
    let mut actions = Vec::new();
    let topology = Topology::new(&names[0], &home, live);
    node.handle(later + Span::millis(100), Event::Topology(topology), &mut actions);
    assert!(actions.iter().any(|action| matches!(action, Action::Read(..))), "{actions:?}");
}

/// Guards against a fleet that learns nothing while more changes lie in the platform's
/// history than one answer can hold: the same changes were asked for again and again.
#[test]
fn changes_that_no_answer_holds_are_in_force_in_time() {
    for (count, domains) in [(1, 1), (4, 2), (7, 3), (30, 5)] {
        let mut fleet = Fleet::new(count, domains);
        fleet.publish_next_configuration(ROUTES);
        fleet.run(3_000);
        fleet.platform.changes_max = Some(4 << 20);
        fleet.platform.calls = 0;
        for _ in 0..25 {
            fleet.publish_next_configuration(ROUTES);
            fleet.run(60);
        }
        fleet.run(3_000);
        for number in 0..count {
            assert!(fleet.is_current(number), "instance {number} of {count}");
        }
        fleet.platform.publish(common::put(1, true));
        fleet.run(3_000);
        for number in 0..count {
            assert!(fleet.is_current(number), "instance {number} of {count}, after the burst");
        }
        let seconds = 1 + 3 + 3 + 1;
        let calls = fleet.platform.calls;
        assert!(calls <= 4 * seconds * domains, "{calls} calls by {count} instances");
    }
}

/// Thousands of registrations lapse and return at once.
#[test]
fn registrations_that_no_answer_holds_are_in_force_in_time() {
    let mut fleet = Fleet::new(12, 3);
    for number in 0..2_000 {
        fleet.platform.publish(common::put(number, false));
    }
    fleet.run(3_000);
    fleet.platform.changes_max = Some(200_000);
    for number in 0..2_000 {
        fleet.platform.publish(Change::Removed(Key::Target(common::target(number))));
        fleet.platform.publish(common::put(number, number % 3 == 0));
    }
    fleet.run(3_000);
    for number in 0..12 {
        assert!(fleet.is_current(number), "instance {number}");
    }
}

/// A full state that is too large to be read is asked for at a limited rate.
#[test]
fn full_state_that_is_too_large_is_asked_for_slowly() {
    let now = Instant::default() + Span::seconds(3_600);
    let mut node = Node::new(1, now);
    let mut calls = 0;
    for millis in (0..10_000).step_by(50) {
        let now = now + Span::millis(millis);
        let mut actions = Vec::new();
        node.handle(now, Event::Tick, &mut actions);
        while node.reading().is_some() {
            calls += 1;
            common::answer(&mut node, now, Err(Failure::TooLarge));
        }
    }
    assert!(calls <= 15, "{calls} calls in 10 s");
}
