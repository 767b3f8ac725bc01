//! Arbitrary messages cause no panic and do not grow state without bound.

mod common;

use common::{Fleet, id, member};
use mustardway_membership::event::Event;
use mustardway_membership::message::{Body, Entry, Gossip, Heartbeat, Message};
use mustardway_membership::message::{Query, Summary, Table, Vouch};
use mustardway_membership::node::Node;
use mustardway_membership::settings::Settings;
use mustardway_types::time::{Instant, Span};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use prost::Message as _;

const SEED: [u8; 32] = [41; 32];

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    TestRunner::new_with_rng(config, rng)
}

fn names() -> impl Strategy<Value = String> {
    prop_oneof![
        (0usize..12).prop_map(|index| id(index).to_string()),
        "[a-z0-9.-]{0,70}",
        "\\PC{0,8}",
    ]
}

fn numbers() -> impl Strategy<Value = u64> {
    prop_oneof![0u64..5, 998u64..1_003, any::<u64>()]
}

prop_compose! {
    fn entries()(
        id in names(),
        domain in "zone-[0-3]|\\PC{0,4}",
        ip in vec(any::<u8>(), 0..18),
        port in any::<u32>(),
        incarnation in numbers(),
        state in -1i32..6,
        raised in numbers(),
    ) -> Entry {
        Entry { id, domain, ip, port, incarnation, state, raised }
    }
}

prop_compose! {
    fn heartbeats()(
        sequence in any::<u64>(),
        echo in any::<u64>(),
        incarnation in numbers(),
        flags in any::<(bool, bool, bool)>(),
        age_millis in any::<u64>(),
        entries in vec(entries(), 0..6),
    ) -> Heartbeat {
        Heartbeat {
            sequence,
            echo,
            incarnation,
            table: sequence,
            number: echo,
            digest: echo,
            age_millis,
            neighbour: flags.0,
            probe: flags.1,
            unknown: flags.2,
            entries,
        }
    }
}

fn bodies() -> impl Strategy<Value = Body> {
    let parts = (vec(entries(), 0..20), any::<u64>());
    let vouch = (names(), numbers(), any::<bool>(), any::<u64>());
    prop_oneof![
        heartbeats().prop_map(Body::Heartbeat),
        vec(entries(), 0..20).prop_map(|entries| Body::Gossip(Gossip { entries })),
        (names(), numbers())
            .prop_map(|(subject, incarnation)| Body::Query(Query { subject, incarnation })),
        vouch.prop_map(|(subject, incarnation, heard, age_millis)| {
            Body::Vouch(Vouch { subject, incarnation, heard, age_millis })
        }),
        vec(any::<u64>(), 0..70).prop_map(|buckets| Body::Summary(Summary { buckets })),
        parts.prop_map(|(entries, mask)| Body::Table(Table { entries, mask })),
    ]
}

#[test]
fn arbitrary_messages_keep_node_live() {
    let steps = vec((0usize..12, bodies(), 0u64..400), 1..120);
    let result = runner(96).run(&steps, |steps| {
        let mut now = Instant(1_000_000);
        let mut node = Node::new(Settings::new(member(0, 3, 1_000), 1), now);
        let mut actions = Vec::new();
        for (from, body, millis) in steps {
            now = now + Span::millis(millis);
            let message = Message { body: Some(body) };
            node.handle(now, Event::Received { from: id(from), message }, &mut actions);
            node.handle(now, Event::Tick, &mut actions);
            prop_assert!(node.me().state.is_live());
            prop_assert!(node.neighbours().len() <= 70);
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn arbitrary_bytes_do_not_panic() {
    let result = runner(256).run(&vec(any::<u8>(), 0..200), |bytes| {
        let mut node = Node::new(Settings::new(member(0, 3, 1_000), 1), Instant(0));
        let Ok(message) = Message::decode(bytes.as_slice()) else { return Ok(()) };
        let event = Event::Received { from: id(1), message };
        node.handle(Instant(1), event, &mut Vec::new());
        Ok(())
    });
    result.unwrap();
}

#[test]
fn records_bounded() {
    let now = Instant(1_000_000);
    let mut node = Node::new(Settings::new(member(0, 3, 1_000), 1), now);
    for batch in 0..60 {
        let mut entries = Vec::new();
        for index in 0..600 {
            entries.push(Entry {
                id: format!("x-{batch}-{index}"),
                domain: String::from("zone-1"),
                ip: vec![10, 0, 0, 1],
                port: 1,
                incarnation: 1,
                state: 0,
                raised: 0,
            });
        }
        let message = Message { body: Some(Body::Gossip(Gossip { entries })) };
        let event = Event::Received { from: id(1), message };
        node.handle(now, event, &mut Vec::new());
    }
    assert_eq!(node.members().count(), 16_384);
    assert!(node.counts().overflow > 0);
    assert_eq!(node.counts().excess, 60 * 88);
}

#[test]
fn watch_requests_bounded() {
    let mut fleet = Fleet::new(1);
    fleet.add(member(0, 1, 1), 1);
    for index in 1..500 {
        let entry = Entry {
            id: id(index).to_string(),
            domain: String::from("zone-0"),
            ip: vec![10, 0, 0, 1],
            port: 1,
            incarnation: 1,
            state: 0,
            raised: 0,
        };
        let heartbeat = Heartbeat {
            sequence: 1,
            incarnation: 1,
            neighbour: true,
            entries: vec![entry],
            ..Heartbeat::default()
        };
        let message = Message { body: Some(Body::Heartbeat(heartbeat)) };
        fleet.event(0, Event::Received { from: id(index), message });
    }
    assert!(fleet.hosts[0].node.neighbours().len() <= 70);
}
