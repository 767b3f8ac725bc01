//! Test helpers: a mesh on loopback with a recording handler, and raw connections.
#![allow(dead_code, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use mustardway_peer::frame::{Codec, Frame, Hello, Kind, VERSION};
use mustardway_peer::handler::Handler;
use mustardway_peer::link::{Down, Peer};
use mustardway_peer::mesh::Mesh;
use mustardway_peer::settings::Settings;
use mustardway_types::{instance, time};
use prost::Message;
use slog::{Discard, Logger, o};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::Encoder;

pub const KIND: Kind = Kind(16);
pub const OTHER_KIND: Kind = Kind(17);

#[derive(Debug, PartialEq)]
pub enum Notification {
    Frame(instance::Id, Kind, Bytes),
    Down(Down),
}

struct Recorder(mpsc::UnboundedSender<Notification>);

impl Handler for Recorder {
    fn frame(&self, from: &instance::Id, frame: Frame) {
        let _ = self.0.send(Notification::Frame(from.clone(), frame.kind(), frame.body));
    }

    fn link_down(&self, down: &Down) {
        let _ = self.0.send(Notification::Down(down.clone()));
    }
}

/// One instance with its mesh and the notifications of its handler.
pub struct Node {
    pub mesh: Mesh,
    pub notifications: mpsc::UnboundedReceiver<Notification>,
    pub peer: Peer,
}

impl Node {
    pub async fn start(name: &str) -> Node {
        Node::with(name, |_| ()).await
    }

    pub async fn with(name: &str, change: impl FnOnce(&mut Settings)) -> Node {
        let id: instance::Id = name.parse().unwrap();
        let listen = "127.0.0.1:0".parse().unwrap();
        let mut settings = Settings::new(id.clone(), listen, Logger::root(Discard, o!()));
        settings.kinds = vec![KIND, OTHER_KIND];
        change(&mut settings);
        let (sender, notifications) = mpsc::unbounded_channel();
        let mesh = Mesh::start(settings, Arc::new(Recorder(sender))).await.unwrap();
        let peer = Peer { id, address: mesh.address() };
        Node { mesh, notifications, peer }
    }

    /// Waits for the next notification.
    pub async fn next(&mut self) -> Notification {
        let next = tokio::time::timeout(Duration::from_secs(20), self.notifications.recv());
        next.await.expect("no notification within 20 s").expect("the mesh was dropped")
    }

    pub async fn next_frame(&mut self) -> (instance::Id, Kind, Bytes) {
        match self.next().await {
            Notification::Frame(from, kind, body) => (from, kind, body),
            Notification::Down(down) => panic!("expected a frame, but a link broke: {down:?}"),
        }
    }

    pub async fn next_down(&mut self) -> Down {
        match self.next().await {
            Notification::Down(down) => down,
            Notification::Frame(..) => panic!("expected a broken link, but received a frame"),
        }
    }
}

/// Polls until `done` returns true; panics after 20 s.
pub async fn wait_until(done: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition not met within 20 s");
}

/// Sets timeouts short enough to expire within a test.
pub fn short_timeouts(settings: &mut Settings) {
    settings.keepalive_interval = time::Span::millis(50);
    settings.silence_timeout = time::Span::millis(400);
    settings.idle_timeout = time::Span::millis(1_500);
    settings.backoff_min = time::Span::millis(10);
    settings.backoff_max = time::Span::millis(50);
}

/// Encodes a valid hello from `from` at `address` to `to`.
pub fn hello(from: &str, address: SocketAddr, to: &Peer) -> Vec<u8> {
    let hello = Hello { address: address.to_string(), to: to.id.to_string() };
    let frame =
        Frame { from: from.to_owned(), kind: Kind::HELLO.0, body: hello.encode_to_vec().into() };
    encode(&frame)
}

/// Encodes one frame with length prefix and version.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut bytes = bytes::BytesMut::new();
    Codec::default().encode(frame, &mut bytes).unwrap();
    bytes.to_vec()
}

/// Encodes a frame with the given version and content, valid or not.
pub fn raw_frame(version: u8, content: &[u8]) -> Vec<u8> {
    let length = u32::try_from(content.len() + 1).unwrap();
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.push(version);
    bytes.extend_from_slice(content);
    bytes
}

/// Opens a TCP connection to `to` without a mesh and sends a hello as `from`.
pub async fn raw_connection(from: &str, to: &Peer) -> TcpStream {
    let mut stream = TcpStream::connect(to.address).await.unwrap();
    let address = stream.local_addr().unwrap();
    stream.write_all(&hello(from, address, to)).await.unwrap();
    stream
}

/// Encodes a valid frame of [`KIND`].
pub fn valid_frame() -> Vec<u8> {
    raw_frame(VERSION, &Frame::new(KIND, Bytes::from_static(b"good")).encode_to_vec())
}
