//! Whatever callers send, a packet goes only to the target that its token names.

mod common;

use common::{Harness, caller, forwarded_to, id, opening, route_address};
use mustardway_flow::front::{Event, Verdict};
use mustardway_flow::health::Outcome;
use mustardway_flow::packet::{Flags, Packet};
use mustardway_flow::token::Token;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Number of cases. Each is a sequence of up to 60 steps.
const CASES: u32 = 400;

/// A step of a case.
#[derive(Debug, Clone)]
enum Step {
    Packet(Packet),
    Wait(u64),
    Probed(u64, Outcome),
    Unregister(u64),
    Pause,
}

fn any_packet() -> impl Strategy<Value = Packet> {
    let flags = (any::<bool>(), any::<bool>(), prop::bool::weighted(0.1), any::<bool>());
    let token = prop_oneof![
        6 => (1_u64..=8).prop_map(|number| Token::of(&id(number))),
        1 => any::<u32>().prop_map(Token),
        1 => Just(Token::NONE),
    ];
    let numbers = (1_000_u32..1_003, 0_u32..3, 0_u16..2);
    (0_u16..4, 1_u8..7, flags, token, numbers).prop_map(|(from, route, flags, token, numbers)| {
        let (opens, acknowledges, resets, finishes) = flags;
        let flags = Flags { opens, acknowledges, finishes, resets };
        let (sequence, acknowledgement, length) = numbers;
        let destination = route_address(route);
        Packet {
            source: caller(from),
            destination,
            flags,
            token,
            sequence,
            acknowledgement,
            length,
        }
    })
}

fn any_step() -> impl Strategy<Value = Step> {
    let outcome = prop::sample::select(vec![
        Outcome::Alive,
        Outcome::Replaced,
        Outcome::Refused,
        Outcome::Silent,
    ]);
    prop_oneof![
        12 => any_packet().prop_map(Step::Packet),
        4 => (1_u64..400).prop_map(Step::Wait),
        2 => (1_u64..=8, outcome).prop_map(|(number, outcome)| Step::Probed(number, outcome)),
        1 => (1_u64..=8).prop_map(Step::Unregister),
        1 => Just(Step::Pause),
    ]
}

/// Returns whether `verdict` is allowed for `packet`.
fn is_allowed(packet: &Packet, verdict: Verdict) -> bool {
    match verdict {
        // Only routes 1 and 2 have targets.
        Verdict::Forward { key, token, .. } => {
            let has_targets = [route_address(1), route_address(2)].contains(&packet.destination);
            let own = Token::of(&id(key));
            // The mark of an ambiguous flow is added to copies of opening packets and
            // kept in later packets.
            let may_be_marked = packet.flags.opens || packet.token != own;
            has_targets && (token == own || may_be_marked && token == own.ambiguous())
        }
        Verdict::Reset(reset) => reset.flow == packet.flow(),
        Verdict::Drop(_) => true,
        // Opening packets never wait for the holder of their flow.
        Verdict::Hold => !packet.flags.opens,
    }
}

#[test]
fn arbitrary_packets_follow_their_tokens() {
    let rng_seed = RngSeed::Fixed(1);
    let config = Config { cases: CASES, rng_seed, failure_persistence: None, ..Config::default() };
    let steps = prop::collection::vec(any_step(), 1..60);
    let check = |steps: Vec<Step>| {
        let mut harness = Harness::new(4, 4);
        for step in steps {
            match step {
                Step::Packet(packet) => {
                    let verdict = harness.send(&packet);
                    prop_assert!(is_allowed(&packet, verdict), "{packet:?}: {verdict:?}");
                }
                Step::Wait(millis) => harness.advance(millis),
                Step::Probed(number, outcome) => harness.finish_unconfirmed_probe(number, outcome),
                Step::Unregister(number) => harness.unregister(number),
                Step::Pause => harness.handle(Event::Paused),
            }
        }
        // After any sequence, a new flow is placed or reset at once when the backlog
        // is cleared.
        harness.handle(Event::BacklogCleared);
        let verdict = harness.send(&opening(9, 1, 0));
        prop_assert!(forwarded_to(verdict).is_some() || matches!(verdict, Verdict::Reset(_)));
        Ok(())
    };
    TestRunner::new(config).run(&steps, check).expect("every verdict is allowed");
}
