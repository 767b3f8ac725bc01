//! A change that takes long to pass a narrow link reaches all instances, and none of
//! them receives it many times.

mod common;

use common::Fleet;
use mustardway_mirror::message::{Body, Message, Pull, Push};
use mustardway_mirror::node::{Action, Answer, Event, Node};
use mustardway_mirror::publication::Update;
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
