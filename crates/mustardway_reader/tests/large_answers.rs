//! Answers that are large, stalled or endless.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{Reply, Server, client, client_with_short_timeout, response};
use mustardway_reader::client::{ANSWER_MAX, Client, Settings};
use mustardway_reader::failure::Failure;
use mustardway_reader::platform::Platform;
use mustardway_types::{revision, size, time};

/// Bytes that a link of 10 Mbit/s carries in [`TICK`].
const TICK_BYTES: usize = 12_500;
const TICK: Duration = Duration::from_millis(10);
const NEVER: Duration = Duration::from_secs(20);

/// Returns a configuration whose answer has the largest size that is accepted.
fn largest_answer() -> Vec<u8> {
    let [start, end] = [r#"{"revision": 7, "files": {"a.ini": ""#, r#""}}"#];
    let text = "a".repeat(ANSWER_MAX.0 as usize - start.len() - end.len());
    response("200 OK", [start, &text, end].concat().as_bytes())
}

#[tokio::test]
async fn largest_answer_is_read_on_a_link_of_10_mbit_per_s() {
    let parts = largest_answer().chunks(TICK_BYTES).map(<[u8]>::to_vec).collect();
    let server = Server::start(Reply::Parts(parts, TICK)).await;
    let client = client(vec![server.address]);
    let answer = client.configuration(revision::Number(6), time::Span::ZERO).await;
    assert_eq!(answer.map(|answer| answer.revision), Ok(revision::Number(7)));
}

#[tokio::test]
async fn answer_that_stalls_times_out_at_every_step() {
    let bytes = largest_answer();
    for sent in [0, 20, bytes.len() / 2] {
        let parts = vec![bytes[..sent].to_vec(), bytes[sent..].to_vec()];
        let server = Server::start(Reply::Parts(parts, NEVER)).await;
        let client = client_with_short_timeout(vec![server.address]);
        let wait = time::Span::ZERO;
        let call = client.configuration(revision::Number(6), wait);
        let answer = tokio::time::timeout(Duration::from_secs(2), call).await;
        assert_eq!(answer, Ok(Err(Failure::Timeout)), "{sent} bytes");
    }
}

#[tokio::test]
async fn held_back_answer_is_read() {
    let bytes = response("200 OK", br#"{"revision": 7, "files": null}"#);
    let server = Server::start(Reply::Bytes(bytes, Duration::from_millis(400))).await;
    let client = client_with_short_timeout(vec![server.address]);
    let answer = client.configuration(revision::Number(7), time::Span::millis(400)).await;
    assert_eq!(answer.map(|answer| answer.revision), Ok(revision::Number(7)));
}

#[tokio::test]
async fn answer_that_trickles_is_bounded() {
    let mut settings = Settings::new(Vec::new(), 16);
    settings.answer_max = size::Bytes(256 << 10);
    let bytes = response("200 OK", &[b' '; 100_000]);
    let (start, rest) = bytes.split_at(100);
    let mut parts = vec![start.to_vec()];
    parts.extend(rest.chunks(1).map(<[u8]>::to_vec));
    let server = Server::start(Reply::Parts(parts, Duration::from_millis(20))).await;
    settings.addresses = vec![server.address];
    let client = Client::new(settings).unwrap();
    let answer = tokio::time::timeout(NEVER, client.instances()).await;
    assert_eq!(answer, Ok(Err(Failure::Timeout)));
}
