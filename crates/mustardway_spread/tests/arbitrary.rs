//! Arbitrary events in any order never take the revision in force back.

mod common;

use common::{digest, files, id, replica};
use mustardway_spread::action::Action;
use mustardway_spread::event::Event;
use mustardway_spread::message::{Body, Delta, File, Message, Offer, Part, Pull};
use mustardway_spread::platform::{Answer, Content, Failure};
use mustardway_types::revision::{Digest, Number};
use mustardway_types::time::{Instant, Span};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use prost::Message as _;

const SEED: [u8; 32] = [43; 32];

/// A step of a generated run.
#[derive(Debug, Clone)]
enum Step {
    Event(Event),
    /// The verdict on the latest proposed revision.
    Verdict(bool),
}

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    TestRunner::new_with_rng(config, rng)
}

fn whole_part(number: u64, honest: bool) -> Part {
    let mut delta = Delta::default();
    for (name, content) in files(number) {
        delta.files.push(File { name: name.to_string(), content: content.to_vec().into() });
    }
    let digest = digest(&files(number)).0 ^ u64::from(!honest);
    Part { number, digest, index: 0, parts: 1, bytes: delta.encode_to_vec().into() }
}

fn bodies() -> impl Strategy<Value = Body> {
    let part = (0u64..9, any::<u64>(), 0u32..5, 0u32..5, vec(any::<u8>(), 0..40));
    prop_oneof![
        (0u64..9, any::<bool>())
            .prop_map(|(number, honest)| { Body::Part(whole_part(number, honest)) }),
        (0u64..9, any::<u64>()).prop_map(|(number, age_millis)| {
            let digest = digest(&files(number)).0;
            Body::Offer(Offer { number, digest, age_millis })
        }),
        any::<(u64, u64, u64)>().prop_map(|(number, digest, age_millis)| {
            Body::Offer(Offer { number, digest, age_millis })
        }),
        (0u64..9, any::<u64>(), any::<bool>()).prop_map(|(base_number, base_digest, whole)| {
            Body::Pull(Pull { base_number, base_digest, whole })
        }),
        part.prop_map(|(number, digest, index, parts, bytes)| {
            Body::Part(Part { number, digest, index, parts, bytes: bytes.into() })
        }),
    ]
}

fn answers() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0u64..9).prop_map(|number| Event::Platform(Ok(common::answer(number)))),
        (0u64..9, 0u64..9).prop_map(|(number, content)| {
            let content = Content::Whole(files(content));
            Event::Platform(Ok(Answer { number: Number(number), content }))
        }),
        (0u64..9).prop_map(|number| {
            let number = Number(number);
            Event::Platform(Ok(Answer { number, content: Content::NotChanged }))
        }),
        Just(Event::Platform(Err(Failure::Timeout))),
    ]
}

fn steps() -> impl Strategy<Value = Step> {
    let heard = (1usize..4, 0u64..9, any::<bool>()).prop_map(|(from, number, honest)| {
        let digest = Digest(digest(&files(number)).0 ^ u64::from(!honest));
        Event::PeerRevision { from: id(from), number: Number(number), digest, age: Span::ZERO }
    });
    let received = (1usize..4, bodies()).prop_map(|(from, body)| {
        let message = Message { body: Some(body) };
        Event::Received { from: id(from), message }
    });
    let events = prop_oneof![
        Just(Event::Tick),
        answers(),
        heard,
        received,
        any::<bool>().prop_map(Event::Reader),
        vec(1usize..4, 0..4)
            .prop_map(|peers| Event::Neighbours(peers.into_iter().map(id).collect())),
        (0u64..9, any::<bool>())
            .prop_map(|(number, accepted)| Event::Verdict { number: Number(number), accepted }),
    ];
    prop_oneof![3 => events.prop_map(Step::Event), 1 => any::<bool>().prop_map(Step::Verdict)]
}

#[test]
fn revision_never_goes_back() {
    let runs = vec((steps(), 0u64..2_000), 1..150);
    let result = runner(192).run(&runs, |run| {
        let mut now = Instant(1_000_000);
        let mut replica = replica(0, 1, now);
        let mut last = replica.in_force().clone();
        let mut proposed = None;
        for (step, millis) in run {
            now = now + Span::millis(millis);
            let mut actions = Vec::new();
            let event = match (step, &proposed) {
                (Step::Event(event), _) => event,
                (Step::Verdict(_), None) => continue,
                (Step::Verdict(accepted), Some(number)) => {
                    Event::Verdict { number: *number, accepted }
                }
            };
            replica.handle(now, event, &mut actions);
            for action in &actions {
                if let Action::Propose(set) = action {
                    prop_assert!(set.number > replica.in_force().number);
                    prop_assert_eq!(digest(&set.files), set.digest);
                    proposed = Some(set.number);
                }
            }
            let set = replica.in_force();
            prop_assert!(set.number >= last.number);
            prop_assert!(set.number > last.number || set == &last);
            last = set.clone();
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn arbitrary_bytes_do_not_panic() {
    let result = runner(256).run(&vec(any::<u8>(), 0..200), |bytes| {
        let mut replica = replica(0, 1, Instant(0));
        let Ok(message) = Message::decode(bytes.as_slice()) else { return Ok(()) };
        let event = Event::Received { from: id(1), message };
        replica.handle(Instant(1), event, &mut Vec::new());
        Ok(())
    });
    result.unwrap();
}
