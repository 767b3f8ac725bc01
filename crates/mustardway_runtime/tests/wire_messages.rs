//! Tests of the messages between instances.
//!
//! Headers and answers must survive a round trip, and malformed input must not cause a panic or a
//! wrong claim that a request did not run.

#![allow(clippy::unwrap_used)]

use assert_matches::assert_matches;
use mustardway_runtime::message::{Ask, Final, HeaderMessage, Kind, Reply};
use mustardway_types::answer::{Answer, Reason, TABLE};
use mustardway_types::packet::Header;
use mustardway_types::request::{Repeat, Urgency};
use mustardway_types::time::Span;
use mustardway_types::{flow, request};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use prost::Message;

fn header() -> Header {
    Header {
        address: "10.0.0.1:80".parse().unwrap(),
        flow: flow::Id(u64::MAX),
        request: request::Id(7),
        part: 2,
        parts: 9,
        opening: true,
        closing: false,
        repeat: Repeat::Once,
        attempt: 3,
        urgency: Urgency::Urgent,
    }
}

#[test]
fn header_survives_a_round_trip() {
    assert_eq!(HeaderMessage::new(&header()).to_header(), Some(header()));
}

#[test]
fn answer_survives_a_round_trip() {
    for (reason, _) in TABLE {
        for come_back in [None, Some(Span::millis(250))] {
            let answer = Answer { reason, come_back };
            assert_eq!(Final::new(answer).to_answer(), answer);
        }
    }
}

#[test]
fn unknown_reason_does_not_claim_not_run() {
    let answer = Final { reason: 4_000, come_back_micros: 0 }.to_answer();
    assert_eq!(answer.reason, Reason::OwnerLost);
    assert!(!answer.kind().says_not_run());
}

#[test]
fn kinds_have_distinct_numbers() {
    for kind in Kind::ALL {
        assert_eq!(Kind::from_number(kind as u32), Some(kind));
    }
    assert_eq!(Kind::from_number(999), None);
}

#[test]
fn arbitrary_bytes_cause_no_panic() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    runner
        .run(&bytes, |bytes| {
            if let Ok(ask) = Ask::decode(bytes.as_slice()) {
                let _ = ask.header.and_then(|header| header.to_header());
            }
            let _ = Reply::decode(bytes.as_slice());
            Ok(())
        })
        .unwrap();
}

#[test]
fn header_with_malformed_address_is_refused() {
    let message = HeaderMessage { address: "nowhere".into(), ..HeaderMessage::new(&header()) };
    assert_matches!(message.to_header(), None);
}
