//! Invalid input closes its own connection and affects no other.
#![allow(clippy::unwrap_used)]

mod common;

use bytes::{Bytes, BytesMut};
use common::{
    KIND, Node, Notification, encode, hello, raw_connection, raw_frame, valid_frame, wait_until,
};
use mustardway_peer::counters::Event;
use mustardway_peer::frame::{Codec, Frame, Kind, VERSION};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;

/// Sends `bytes` after a valid hello and a valid frame. Checks that the valid frame
/// arrives, `event` is counted, the connection is closed, and a new one works.
async fn assert_closes(bytes: &[u8], event: Event) {
    let mut node = Node::start("node").await;
    let mut stream = raw_connection("stranger", &node.peer).await;
    stream.write_all(&valid_frame()).await.unwrap();
    assert_eq!(node.next_frame().await.2, Bytes::from_static(b"good"));
    stream.write_all(bytes).await.unwrap();
    assert_eq!(node.next_down().await.peer.id.as_str(), "stranger");
    assert_eq!(node.mesh.counters().count(event), 1);
    wait_for_close(&mut stream).await;
    assert_accepts_connection(&mut node).await;
}

/// Reads until the peer closes the connection.
async fn wait_for_close(stream: &mut TcpStream) {
    let mut rest = Vec::new();
    // A reset closes the connection as well.
    let _ = stream.read_to_end(&mut rest).await;
}

async fn assert_accepts_connection(node: &mut Node) {
    let mut other = raw_connection("other", &node.peer).await;
    other.write_all(&valid_frame()).await.unwrap();
    assert_eq!(node.next_frame().await.0.as_str(), "other");
}

#[tokio::test]
async fn oversized_frame_closes_connection() {
    assert_closes(&(5u32 << 20).to_be_bytes(), Event::Oversized).await;
}

#[tokio::test]
async fn malformed_frame_closes_connection() {
    assert_closes(&raw_frame(VERSION, b"\xff\xff\xff\xff\xff"), Event::Malformed).await;
}

#[tokio::test]
async fn empty_frame_closes_connection() {
    assert_closes(&0u32.to_be_bytes(), Event::Malformed).await;
}

#[tokio::test]
async fn unknown_version_closes_connection() {
    assert_closes(&raw_frame(VERSION + 1, b""), Event::UnknownVersion).await;
}

#[tokio::test]
async fn unknown_kind_is_skipped() {
    let mut node = Node::start("node").await;
    let mut stream = raw_connection("stranger", &node.peer).await;
    for kind in [Kind(18), Kind(u32::MAX)] {
        stream.write_all(&encode(&Frame::new(kind, Bytes::new()))).await.unwrap();
    }
    stream.write_all(&valid_frame()).await.unwrap();
    assert_eq!(node.next_frame().await.1, KIND);
    assert_eq!(node.mesh.counters().count(Event::UnknownKind), 2);
}

#[tokio::test]
async fn unknown_field_is_ignored() {
    let mut node = Node::start("node").await;
    let mut stream = raw_connection("stranger", &node.peer).await;
    // Field 15, a varint, after the known fields.
    let mut content = prost::Message::encode_to_vec(&Frame::new(KIND, Bytes::new()));
    content.extend_from_slice(&[15 << 3, 1]);
    stream.write_all(&raw_frame(VERSION, &content)).await.unwrap();
    assert_eq!(node.next_frame().await.1, KIND);
}

#[tokio::test]
async fn bad_hello_closes_connection() {
    let node = Node::start("node").await;
    let address = "127.0.0.1:9".parse().unwrap();
    let mut wrong_peer = node.peer.clone();
    wrong_peer.id = "another".parse().unwrap();
    let greetings = [
        valid_frame(),
        hello("stranger", address, &wrong_peer),
        hello("Not a name", address, &node.peer),
        raw_frame(VERSION, &[0xff; 9]),
    ];
    for greeting in &greetings {
        let mut stream = TcpStream::connect(node.peer.address).await.unwrap();
        stream.write_all(greeting).await.unwrap();
        wait_for_close(&mut stream).await;
    }
    wait_until(|| node.mesh.counters().count(Event::BadHello) == greetings.len() as u64).await;
}

#[tokio::test]
async fn late_hello_closes_connection() {
    let node = Node::with("node", |settings| {
        settings.hello_timeout = mustardway_types::time::Span::millis(50);
    })
    .await;
    let mut stream = TcpStream::connect(node.peer.address).await.unwrap();
    wait_for_close(&mut stream).await;
    assert_eq!(node.mesh.counters().count(Event::BadHello), 1);
}

#[tokio::test]
async fn connection_over_limit_is_closed() {
    let mut node = Node::with("node", |settings| settings.inbound_connections_max = 1).await;
    let mut first = raw_connection("first", &node.peer).await;
    first.write_all(&valid_frame()).await.unwrap();
    node.next_frame().await;
    let mut second = TcpStream::connect(node.peer.address).await.unwrap();
    wait_for_close(&mut second).await;
    assert_eq!(node.mesh.counters().count(Event::TooManyConnections), 1);
    drop(first);
    assert!(matches!(node.next().await, Notification::Down(_)));
}

#[test]
fn arbitrary_bytes_decode_without_panic() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let seed = TestRng::from_seed(RngAlgorithm::ChaCha, &[16; 32]);
    let mut runner = TestRunner::new_with_rng(config, seed);
    let bytes = proptest::collection::vec(proptest::num::u8::ANY, 0..200);
    runner
        .run(&bytes, |bytes| {
            // Decodes the bytes as they are and as the content of a frame.
            for text in [bytes.clone(), raw_frame(VERSION, &bytes)] {
                let mut source = BytesMut::from(text.as_slice());
                let mut codec = Codec::default();
                while let Ok(Some(frame)) = codec.decode(&mut source) {
                    assert!(frame.body.len() <= text.len());
                }
            }
            Ok(())
        })
        .unwrap();
}
