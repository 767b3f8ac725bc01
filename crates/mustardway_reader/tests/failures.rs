//! Platforms that are down, slow, or send malformed answers.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use common::{Reply, Server, client, client_with_short_timeout, closed_address, response};
use mustardway_reader::answer;
use mustardway_reader::client::{ANSWER_MAX, Client, Settings};
use mustardway_reader::counters::Outcome;
use mustardway_reader::failure::Failure;
use mustardway_reader::platform::Platform;
use mustardway_types::{rate, revision, time};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Returns the failure of one call to `server` for the configuration.
async fn call_failure(server: &Server) -> Failure {
    let client = client(vec![server.address]);
    let answer = client.configuration(revision::Number(1), time::Span::ZERO).await;
    let failure = answer.unwrap_err();
    assert_eq!(client.counters().calls(failure.into()), 1);
    failure
}

#[tokio::test]
async fn closed_port_is_unreachable() {
    let client = client(vec![closed_address().await]);
    assert_eq!(client.instances().await, Err(Failure::Unreachable));
}

#[tokio::test]
async fn silent_platform_times_out() {
    let server = Server::start(Reply::Nothing).await;
    let client = client_with_short_timeout(vec![server.address]);
    assert_eq!(client.instances().await, Err(Failure::Timeout));
    assert_eq!(client.counters().calls(Outcome::Timeout), 1);
}

#[tokio::test]
async fn truncated_answer_is_malformed() {
    let mut bytes = response("200 OK", br#"{"revision": 7, "files": null}"#);
    bytes.truncate(bytes.len() - 9);
    let server = Server::start(Reply::Bytes(bytes, Duration::ZERO)).await;
    assert_eq!(call_failure(&server).await, Failure::Malformed);
}

#[tokio::test]
async fn bytes_that_are_not_http_are_malformed() {
    let text = b"\x00\x01 nothing of HTTP \r\n\r\n".to_vec();
    let server = Server::start(Reply::Bytes(text, Duration::ZERO)).await;
    assert_eq!(call_failure(&server).await, Failure::Malformed);
}

#[tokio::test]
async fn closed_connection_is_unreachable() {
    let server = Server::start(Reply::Bytes(Vec::new(), Duration::ZERO)).await;
    assert_eq!(call_failure(&server).await, Failure::Unreachable);
}

#[tokio::test]
async fn oversized_answer_is_too_large() {
    let server = Server::answering("200 OK", &vec![b' '; ANSWER_MAX.0 as usize + 1]).await;
    assert_eq!(call_failure(&server).await, Failure::TooLarge);
}

#[tokio::test]
async fn invalid_configurations_are_malformed() {
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
        let server = Server::answering("200 OK", body.as_bytes()).await;
        assert_eq!(call_failure(&server).await, Failure::Malformed, "{body}");
    }
}

#[test]
fn invalid_lists_are_malformed() {
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
async fn error_status_is_reported() {
    for (status, code) in [("404 Not Found", 404), ("503 Service Unavailable", 503)] {
        let server = Server::answering(status, br#"{"revision": 7, "files": null}"#).await;
        assert_eq!(call_failure(&server).await, Failure::Status(code));
    }
}

#[tokio::test]
async fn failing_calls_stay_within_the_rate() {
    const CALLS_MAX: u64 = 3;
    let mut settings = Settings::new(vec![closed_address().await], 16);
    settings.rate = rate::PerSecond(1);
    settings.burst = CALLS_MAX;
    let client = Client::new(settings).unwrap();
    // The loop itself does not wait between calls.
    let call_loop = async {
        loop {
            assert_matches!(client.instances().await, Err(Failure::Unreachable));
        }
    };
    let start = Instant::now();
    let _ = tokio::time::timeout(Duration::from_millis(900), call_loop).await;
    assert!(client.counters().all() <= CALLS_MAX + start.elapsed().as_secs());
    assert!(client.counters().all() >= 1);
}

#[test]
fn random_bytes_are_malformed() {
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
