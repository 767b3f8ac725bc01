//! Shared load estimates are off by default.

mod common;

use common::load::{columns, estimate, idle_route};
use common::{Harness, acknowledgement, answer_acknowledgement, opening, peer, request};
use mustardway_flow::front::{Action, Event, Verdict};
use mustardway_flow::load::Settings;
use mustardway_flow::packet::{Flags, Packet};
use mustardway_load::message::{Body, Summary};
use mustardway_load::topology::Topology;
use proptest::prelude::*;

/// A step of a case: a packet of a caller, or time that passes.
#[derive(Debug, Clone)]
enum Step {
    Packet(Packet),
    Wait(u64),
    Unregister(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    let from = 0_u16..12;
    let number = 1_u64..7;
    let packet = (from, 1_u8..3, number, 0_u32..2, 0_u8..6).prop_map(
        |(from, route, number, copies, kind)| match kind {
            0 | 1 => opening(from, route, copies),
            2 => acknowledgement(from, route, number),
            3 => request(from, route, number),
            4 => answer_acknowledgement(from, route, number),
            _ => Packet {
                flags: Flags { finishes: true, acknowledges: true, ..Flags::default() },
                ..answer_acknowledgement(from, route, number)
            },
        },
    );
    prop_oneof![
        12 => packet.prop_map(Step::Packet),
        4 => (1_u64..700).prop_map(Step::Wait),
        1 => (1_u64..7).prop_map(Step::Unregister),
    ]
}

/// Plays the steps and returns all verdicts and actions.
fn play(mut harness: Harness, steps: &[Step]) -> (Vec<Verdict>, Vec<Action>) {
    let mut verdicts = Vec::new();
    for step in steps {
        match step {
            Step::Packet(packet) => verdicts.push(harness.send(packet)),
            Step::Wait(millis) => harness.advance(*millis),
            Step::Unregister(number) => harness.unregister(*number),
        }
        let summary = Summary {
            number: harness.now.0 / 500_000,
            spread_millis: 3_000,
            targets: Some(columns(&[estimate(1, 8_000, 900)])),
            routes: vec![idle_route(1)],
        };
        let message = Body::Summary(summary).into();
        harness.handle(Event::Load { from: peer(1), message });
    }
    (verdicts, harness.actions)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against a change for customers who have not enabled the estimates: verdicts
    /// and actions stay the same, whatever peers send.
    #[test]
    fn default_settings_change_nothing(
        seed in 0_u64..1_000,
        steps in prop::collection::vec(any_step(), 1..120),
    ) {
        let without = Harness::with_seed(seed, 4, 2);
        let mut with = Harness::with_seed(seed, 4, 2);
        with.front = with.front.with_load(Settings::default(), with.now);
        let topology = Topology { parent: Some(peer(1)), members: 2, ..Topology::default() };
        with.handle(Event::LoadTopology(topology));
        prop_assert!(with.front.load().is_none());
        prop_assert_eq!(play(without, &steps), play(with, &steps));
    }
}
