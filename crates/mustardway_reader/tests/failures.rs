//! Platforms that are down, slow, or answer nonsense.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use common::{Fake, Reply, client, closed, impatient, response};
use mustardway_reader::answer;
use mustardway_reader::client::{ANSWER_MAX, Client, Settings};
use mustardway_reader::counters::Outcome;
use mustardway_reader::failure::Failure;
use mustardway_reader::platform::Platform;
use mustardway_types::{rate, revision, time};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// How one call to `fake` for the configuration ends.
async fn failure(fake: &Fake) -> Failure {
    let client = client(vec![fake.address]);
    let answer = client.configuration(revision::Number(1), time::Span::ZERO).await;
    let failure = answer.unwrap_err();
    assert_eq!(client.counters().calls(failure.into()), 1);
    failure
}

#[tokio::test]
async fn down() {
    let client = client(vec![closed().await]);
    assert_eq!(client.instances().await, Err(Failure::Unreachable));
}

#[tokio::test]
async fn slow() {
    let fake = Fake::start(Reply::Nothing).await;
    let client = impatient(vec![fake.address]);
    assert_eq!(client.instances().await, Err(Failure::Timeout));
    assert_eq!(client.counters().calls(Outcome::Timeout), 1);
}

#[tokio::test]
async fn half_answer() {
    let mut bytes = response("200 OK", br#"{"revision": 7, "files": null}"#);
    bytes.truncate(bytes.len() - 9);
    let fake = Fake::start(Reply::Bytes(bytes, Duration::ZERO)).await;
    assert_eq!(failure(&fake).await, Failure::Malformed);
}

#[tokio::test]
async fn not_http() {
    let text = b"\x00\x01 nothing of HTTP \r\n\r\n".to_vec();
    let fake = Fake::start(Reply::Bytes(text, Duration::ZERO)).await;
    assert_eq!(failure(&fake).await, Failure::Malformed);
}

#[tokio::test]
async fn hung_up() {
    let fake = Fake::start(Reply::Bytes(Vec::new(), Duration::ZERO)).await;
    assert_eq!(failure(&fake).await, Failure::Unreachable);
}

#[tokio::test]
async fn huge() {
    let fake = Fake::answering("200 OK", &vec![b' '; ANSWER_MAX.0 as usize + 1]).await;
    assert_eq!(failure(&fake).await, Failure::TooLarge);
}

#[tokio::test]
async fn nonsense() {
    for body in [
        "",
        "{",
        "null",
        r#"{"files": null}"#,
        r#"{"revision": -1, "files": null}"#,
        r#"{"revision": 1, "files": []}"#,
        r#"{"revision": 1, "files": {"a.ini": 1}}"#,
        r#"{"revision": 1, "files": {"a.ini": "", "a.ini": ""}}"#,
        "{\"revision\": 1, \"files\": {\"a.ini\": \"\u{1}\"}}",
    ] {
        let fake = Fake::answering("200 OK", body.as_bytes()).await;
        assert_eq!(failure(&fake).await, Failure::Malformed, "{body}");
    }
}

#[test]
fn bad_lists() {
    for body in [
        r#"{"instances": [{"id": "E 1", "domain": "a", "peer": "1.1.1.1:1", "state": "live"}]}"#,
        r#"{"instances": [{"id": "e", "domain": "a", "peer": "host:1", "state": "live"}]}"#,
        r#"{"instances": [{"id": "e", "domain": "a", "peer": "1.1.1.1:1", "state": "odd"}]}"#,
        r#"{"instances": [{"id": "e", "domain": "a", "peer": "1.1.1.1:1", "state": "live"},
            {"id": "e", "domain": "a", "peer": "1.1.1.1:2", "state": "live"}]}"#,
    ] {
        assert_eq!(answer::instances(body.as_bytes()), Err(Failure::Malformed), "{body}");
    }
}

#[tokio::test]
async fn bad_status() {
    for (status, code) in [("404 Not Found", 404), ("503 Service Unavailable", 503)] {
        let fake = Fake::answering(status, br#"{"revision": 7, "files": null}"#).await;
        assert_eq!(failure(&fake).await, Failure::Status(code));
    }
}

#[tokio::test]
async fn bounded_calls() {
    const CALLS_MAX: u64 = 3;
    let mut settings = Settings::new(vec![closed().await], 16);
    settings.rate = rate::PerSecond(1);
    settings.burst = CALLS_MAX;
    let client = Client::new(settings).unwrap();
    // A loop without any wait of its own.
    let storm = async {
        loop {
            assert_matches!(client.instances().await, Err(Failure::Unreachable));
        }
    };
    let start = Instant::now();
    let _ = tokio::time::timeout(Duration::from_millis(900), storm).await;
    assert!(client.counters().all() <= CALLS_MAX + start.elapsed().as_secs());
    assert!(client.counters().all() >= 1);
}

#[test]
fn any_bytes() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let seed = TestRng::from_seed(RngAlgorithm::ChaCha, &[16; 32]);
    let mut runner = TestRunner::new_with_rng(config, seed);
    let bytes = proptest::collection::vec(proptest::num::u8::ANY, 0..200);
    runner
        .run(&bytes, |bytes| {
            assert_matches!(answer::configuration(&bytes), Err(Failure::Malformed));
            assert_matches!(answer::instances(&bytes), Err(Failure::Malformed));
            Ok(())
        })
        .unwrap();
}
