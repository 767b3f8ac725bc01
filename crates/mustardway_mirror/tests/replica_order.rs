//! The replica's state never goes back, whatever the order of answers and pushes.

mod common;

use std::sync::Arc;

use assert_matches::assert_matches;
use common::{Platform, answer, configuration, instance, put, target, version};
use mustardway_mirror::message::{Body, Push};
use mustardway_mirror::node::{Action, Answer, Event, Failure, Node, Query};
use mustardway_mirror::publication::{Change, Configuration, Item, Key, Update};
use mustardway_mirror::replica::Replica;
use mustardway_mirror::topology::Topology;
use mustardway_mirror::usage::Usage;
use mustardway_types::revision::Number;
use mustardway_types::time::{Instant, Span};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SEED: [u8; 32] = [7; 32];

/// Later than an instance that knows no other reads again.
const LATER: Span = Span::seconds(3);

fn start() -> Instant {
    Instant::default() + Span::seconds(100)
}

fn handle(node: &mut Node, now: Instant, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    node.handle(now, event, &mut actions);
    actions
}

/// A node that has read everything published so far.
fn reader(platform: &mut Platform) -> Node {
    let mut node = Node::new(1, start());
    let actions = handle(&mut node, start(), Event::Tick);
    assert_matches!(actions[..], [Action::Read(_, Query::Full)]);
    answer(&mut node, start(), platform.answer(Query::Full));
    node
}

#[test]
fn old_push_does_not_restore_removed_target() {
    let mut platform = Platform::default();
    platform.publish(configuration(1));
    platform.publish(put(1, false));
    let old = platform.answer(Query::Since { after: Number(1), wait: Span::ZERO });
    platform.publish(Change::Removed(Key::Target(target(1))));
    let mut node = reader(&mut platform);
    let Ok(Answer::Since(to, changes)) = old else { panic!("not a change list") };
    let push = Push::new(version(0, 1), version(0, to.number.0 + 1), 0, &changes);
    let message = Body::Push(push).into();
    handle(&mut node, start(), Event::Received { from: instance(2), message });
    assert_eq!(node.replica().items().count(), 1, "only the configuration");
}

#[test]
fn stale_answer_is_ignored() {
    let mut platform = Platform::default();
    platform.publish(configuration(1));
    let stale = platform.answer(Query::Full);
    platform.publish(configuration(2));
    let mut node = reader(&mut platform);
    let later = start() + LATER;
    assert_matches!(handle(&mut node, later, Event::Tick)[..], [Action::Read(..)]);
    let actions = answer(&mut node, later, stale);
    assert!(!actions.iter().any(|action| matches!(action, Action::Changed(_))));
    assert_eq!(node.age(later), Some(LATER), "a stale answer must not confirm the replica");
}

#[test]
fn lost_platform_history_causes_full_read() {
    let mut platform = Platform::default();
    platform.publish(configuration(1));
    platform.publish(put(1, false));
    let mut node = reader(&mut platform);
    let later = start() + LATER;
    handle(&mut node, later, Event::Tick);
    let actions = answer(&mut node, later, Err(Failure::Forgotten));
    assert_matches!(actions[..], [Action::Read(_, Query::Full)]);
    assert_eq!(node.replica().items().count(), 2, "the items are kept until the full read");
    platform.publish(Change::Removed(Key::Target(target(1))));
    let full = platform.answer(Query::Full);
    let actions = answer(&mut node, later, full);
    assert!(actions.contains(&Action::Changed(vec![Change::Removed(Key::Target(target(1)))])));
}

#[test]
fn push_with_gap_causes_pull() {
    let mut platform = Platform::default();
    platform.publish(configuration(1));
    let mut node = reader(&mut platform);
    let changes = [Update { number: Number(9), change: put(1, false) }];
    let message = Body::Push(Push::new(version(0, 8), version(0, 9), 0, &changes)).into();
    let actions = handle(&mut node, start(), Event::Received { from: instance(2), message });
    assert_matches!(&actions[..], [Action::Send { to, message }, Action::Pushed(pushed)]
        if *to == instance(2)
            && matches!(message.body, Some(Body::Pull(_)))
            && pushed.usage == Usage::Detached);
    assert_eq!(node.replica().number(), Number(1));
}

#[test]
fn undecodable_push_is_rejected() {
    let mut platform = Platform::default();
    platform.publish(configuration(1));
    let mut node = reader(&mut platform);
    let mut push = Push::new(version(0, 1), version(0, 2), 0, &[]);
    push.changes.push(vec![0xff; 9]);
    let message = Body::Push(push).into();
    let actions = handle(&mut node, start(), Event::Received { from: instance(2), message });
    assert_matches!(&actions[..], [Action::Undecodable { count: 1, .. }, Action::Pushed(pushed)]
        if pushed.usage == Usage::Undecodable);
    assert_eq!(node.replica().number(), Number(1));
}

#[test]
fn pause_ages_replica() {
    let mut platform = Platform::default();
    platform.publish(configuration(1));
    let mut node = reader(&mut platform);
    let actions = handle(&mut node, start(), Event::Paused(Span::seconds(4)));
    assert_eq!(node.age(start()), Some(Span::seconds(4)));
    assert_matches!(actions[..], [Action::Read(..)]);
}

/// After each of any mix of old and new changes and full states, the replica
/// equals the newest state that it has received.
#[test]
fn arbitrary_order_ends_at_newest_state() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = vec((0u64..6, any::<bool>(), any::<bool>()), 1..40);
    let deliveries = vec((0usize..60, 0usize..60, any::<bool>()), 1..60);
    let run = runner.run(&(steps, deliveries), |(steps, deliveries)| {
        let mut platform = Platform::default();
        platform.publish(configuration(1));
        let mut states = Vec::new();
        for (number, leaving, removed) in steps {
            let key = Key::Target(target(number));
            let change = match removed && platform.items.contains_key(&key) {
                true => Change::Removed(key),
                false => put(number, leaving),
            };
            platform.publish(change);
            states.push(platform.items.clone());
        }
        let mut replica = Replica::default();
        let mut newest = 0;
        for (from, to, is_full) in deliveries {
            let to = to % states.len();
            let from = from % (to + 1);
            let last = Number(to as u64 + 2);
            if last < replica.number() {
                continue;
            }
            if is_full {
                replica.apply_full_state(last, states[to].values().cloned().collect(), start());
            } else if from as u64 + 2 <= replica.number().0 {
                let log = platform.log[from + 2..to + 2].to_vec();
                replica.apply_changes(last, log, start());
            } else {
                continue;
            }
            newest = newest.max(to);
            let known: Vec<_> =
                replica.full_state(start()).into_iter().map(|update| update.change).collect();
            let wanted = states[newest].values().map(|update| update.change.clone());
            prop_assert_eq!(known, wanted.collect::<Vec<_>>());
        }
        Ok(())
    });
    run.expect("the property holds for every case");
}

/// A registration that expires and returns between two reads is no change for the
/// reader, but it is one for a peer that has seen it expire.
#[test]
fn returned_target_reaches_peer_that_saw_removal() {
    let gone = Change::Removed(Key::Target(target(1)));
    let update = |number, change| Update { number: Number(number), change };
    let mut replica = Replica::default();
    replica.apply_full_state(Number(1), vec![update(1, put(1, false))], start());
    replica.apply_changes(Number(3), vec![update(2, gone), update(3, put(1, false))], start());
    let after = replica.changes_after(version(0, 2), start()).expect("known");
    assert_eq!(after, [update(3, put(1, false))]);
}

/// After a full read the reader does not know which items were removed and
/// published again, so it has no changes for peers that are behind.
#[test]
fn history_ends_at_full_read() {
    let update = |number, change| Update { number: Number(number), change };
    let mut replica = Replica::default();
    replica.apply_full_state(
        Number(1),
        vec![update(1, put(1, false)), update(1, put(2, false))],
        start(),
    );
    replica.apply_changes(Number(2), vec![update(2, put(2, true))], start());
    replica.apply_full_state(
        Number(9),
        vec![update(8, put(1, false)), update(2, put(2, true))],
        start(),
    );
    assert_eq!(
        replica.changes_after(version(0, 6), start()),
        None,
        "peers that are behind get the full state"
    );
    assert_eq!(replica.changes_after(version(0, 9), start()), Some(Vec::new()));
}

/// Guards against memory that grows by a megabyte with each large configuration.
#[test]
fn superseded_configurations_are_not_kept() {
    let mut replica = Replica::default();
    let mut published = Vec::new();
    for number in 1..=300 {
        let content = Arc::new(Configuration { version: number, ..Configuration::default() });
        published.push(Arc::downgrade(&content));
        let change = Change::Put(Item::Configuration(content));
        let configuration = Update { number: Number(2 * number), change };
        let target = Update { number: Number(2 * number + 1), change: put(number, false) };
        let updates = vec![configuration, target];
        replica.apply_changes(Number(2 * number + 1), updates, start());
    }
    let kept = published.iter().filter(|content| content.strong_count() > 0).count();
    assert_eq!(kept, 1);
    // Peers that are behind get all targets and the last configuration.
    let after = replica.changes_after(version(0, 401), start()).expect("known");
    assert_eq!(after.len(), 101);
}

/// The instances of high rank read the whole state and push it, so that the others do
/// not all read it.
#[test]
fn low_rank_instance_waits_for_the_full_state() {
    let mut platform = Platform::default();
    platform.publish(configuration(1));
    let mut node = reader(&mut platform);
    let topology = Topology { fleet_rank: 20, domain_rank: 5, ..Topology::default() };
    handle(&mut node, start(), Event::Topology(topology));
    let later = start() + LATER;
    assert_matches!(
        handle(&mut node, later, Event::Tick)[..],
        [Action::Read(_, Query::Since { .. })]
    );
    let actions = answer(&mut node, later, Err(Failure::Forgotten));
    assert_eq!(actions, []);
    let actions = handle(&mut node, later + Span::millis(900), Event::Tick);
    assert_matches!(actions[..], [Action::Read(_, Query::Full)], "it reads if nothing comes");
}
