//! The configuration and the list of instances as a working platform answers them.
#![allow(clippy::unwrap_used)]

mod common;

use assert_matches::assert_matches;
use common::{Server, client, closed_address, response};
use mustardway_reader::answer::{Answer, File, Folder, State};
use mustardway_reader::client::{Client, Error, Settings};
use mustardway_reader::counters::Outcome;
use mustardway_reader::platform::Platform;
use mustardway_types::{revision, time};

const PUBLISHED: &[u8] =
    br#"{"revision": 7, "files": {"20-b.ini": "b\n", "10-a.ini": "a"}, "later": 1}"#;
const UNCHANGED: &[u8] = br#"{"revision": 7, "files": null}"#;
const LIST: &[u8] = br#"{"instances": [
    {"id": "e1", "domain": "rosario", "peer": "127.0.1.1:7000", "state": "live"},
    {"id": "e2", "domain": "cordoba", "peer": "[::1]:7000", "state": "leaving", "later": 1}]}"#;

#[tokio::test]
async fn later_configuration_is_returned() {
    let server = Server::answering("200 OK", PUBLISHED).await;
    let client = client(vec![server.address]);
    let answer = client.configuration(revision::Number(6), time::Span::millis(1_500)).await;
    let file = |name: &str, text: &str| File { name: name.into(), text: text.into() };
    let files = vec![file("10-a.ini", "a"), file("20-b.ini", "b\n")];
    let wanted = Answer { revision: revision::Number(7), files: Some(Folder { files }) };
    assert_eq!(answer, Ok(wanted));
    assert_eq!(*server.lines.lock(), ["GET /configuration?after=6&wait=1500 HTTP/1.1"]);
    assert_eq!(client.counters().calls(Outcome::Answered), 1);
}

#[tokio::test]
async fn unchanged_configuration_has_no_files() {
    let server = Server::answering("200 OK", UNCHANGED).await;
    let client = client(vec![server.address]);
    let answer = client.configuration(revision::Number(7), time::Span::ZERO).await.unwrap();
    assert_eq!(answer, Answer { revision: revision::Number(7), files: None });
}

#[tokio::test]
async fn earlier_revision_is_returned() {
    // A platform that lags answers with an earlier revision, which is returned unchanged.
    let server = Server::answering("200 OK", UNCHANGED).await;
    let client = client(vec![server.address]);
    let answer = client.configuration(revision::Number(9), time::Span::ZERO).await.unwrap();
    assert_eq!(answer.revision, revision::Number(7));
}

#[tokio::test]
async fn instances_are_listed() {
    let server = Server::answering("200 OK", LIST).await;
    let list = client(vec![server.address]).instances().await.unwrap();
    assert_eq!(list.len(), 2);
    assert_eq!(list[0].id.as_str(), "e1");
    assert_eq!(list[0].state, State::Live);
    assert_eq!(list[1].peer, "[::1]:7000".parse().unwrap());
    assert_eq!(list[1].state, State::Leaving);
    assert_eq!(*server.lines.lock(), ["GET /instances HTTP/1.1"]);
}

#[tokio::test]
async fn allowed_wait_extends_the_timeout() {
    let answer = response("200 OK", UNCHANGED);
    let held = std::time::Duration::from_millis(600);
    let server = Server::start(common::Reply::Bytes(answer, held)).await;
    // The answer arrives after the time limit of a call, but within the allowed wait.
    let client = common::client_with_short_timeout(vec![server.address]);
    let answer = client.configuration(revision::Number(7), time::Span::seconds(20)).await;
    assert_matches!(answer, Ok(_));
}

#[tokio::test]
async fn failed_address_is_followed_by_the_next() {
    let broken = Server::answering("500 Internal Server Error", b"").await;
    let good = Server::answering("200 OK", LIST).await;
    let client = client(vec![closed_address().await, broken.address, good.address]);
    assert_matches!(client.instances().await, Ok(_));
    assert_matches!(client.instances().await, Ok(_));
    // The second call starts with the address that answered the first.
    assert_eq!(broken.requests(), 1);
    assert_eq!(good.requests(), 2);
    assert_eq!(client.counters().calls(Outcome::Unreachable), 1);
    assert_eq!(client.counters().calls(Outcome::Status), 1);
    assert_eq!(client.counters().all(), 4);
}

#[test]
fn client_needs_an_address() {
    assert_matches!(Client::new(Settings::new(Vec::new(), 1)).err(), Some(Error::NoAddress));
}
