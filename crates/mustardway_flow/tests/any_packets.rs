//! Whatever callers send, packets go where their tokens say and nowhere else.

mod common;

use common::{Host, caller, id, opening, route_address, target_of};
use mustardway_flow::front::{Event, Verdict};
use mustardway_flow::health::Outcome;
use mustardway_flow::packet::{Flags, Packet};
use mustardway_flow::token::Token;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Cases; each is a sequence of up to 60 steps.
const CASES: u32 = 400;

/// One step.
#[derive(Debug, Clone)]
enum Step {
    Packet(Packet),
    Wait(u64),
    Probed(u64, Outcome),
    Unregister(u64),
    Pause,
}

fn packet() -> impl Strategy<Value = Packet> {
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

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop::sample::select(vec![
        Outcome::Alive,
        Outcome::Replaced,
        Outcome::Refused,
        Outcome::Silent,
    ]);
    prop_oneof![
        12 => packet().prop_map(Step::Packet),
        4 => (1_u64..400).prop_map(Step::Wait),
        2 => (1_u64..=8, outcome).prop_map(|(number, outcome)| Step::Probed(number, outcome)),
        1 => (1_u64..=8).prop_map(Step::Unregister),
        1 => Just(Step::Pause),
    ]
}

/// Whether `verdict` is one that `packet` may get.
fn is_allowed(packet: &Packet, verdict: Verdict) -> bool {
    match verdict {
        // Routes 1 and 2 are the only ones with targets.
        Verdict::Forward { key, token, .. } => {
            let leads = [route_address(1), route_address(2)].contains(&packet.destination);
            leads && token == Token::of(&id(key))
        }
        Verdict::Reset(reset) => reset.flow == packet.flow(),
        Verdict::Drop(_) => true,
    }
}

#[test]
fn any_sequence() {
    let rng_seed = RngSeed::Fixed(1);
    let config = Config { cases: CASES, rng_seed, failure_persistence: None, ..Config::default() };
    let steps = prop::collection::vec(step(), 1..60);
    let check = |steps: Vec<Step>| {
        let mut host = Host::new(4, 4);
        for step in steps {
            match step {
                Step::Packet(packet) => {
                    let verdict = host.send(&packet);
                    prop_assert!(is_allowed(&packet, verdict), "{packet:?}: {verdict:?}");
                }
                Step::Wait(millis) => host.wait(millis),
                Step::Probed(number, outcome) => host.probed_blindly(number, outcome),
                Step::Unregister(number) => host.unregister(number),
                Step::Pause => host.tell(Event::Paused),
            }
        }
        // Whatever came before, a new flow is placed once the pause is over,
        // or refused at once.
        host.tell(Event::BacklogCleared);
        let verdict = host.send(&opening(9, 1, 0));
        prop_assert!(target_of(verdict).is_some() || matches!(verdict, Verdict::Reset(_)));
        Ok(())
    };
    TestRunner::new(config).run(&steps, check).expect("holds");
}
