//! Shared parts of the tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mustardway_stand_in::caller::load::Line;
use mustardway_stand_in::caller::workload::{Kind, Persistence};
use mustardway_stand_in::fabric::{self, Fabric};
use mustardway_stand_in::payload::Wish;
use mustardway_stand_in::target::{Server, Settings};
use mustardway_types::request::{Repeat, Urgency};
use mustardway_types::{flow, packet::Header, request};
use mustardway_wire::convert;
use mustardway_wire::packet::{FrontClient, Packet, Reply};
use volo_grpc::Status;

/// Address that packets are meant for.
pub const ADDRESS: &str = "127.0.0.9:80";

/// Any free port of loopback.
pub fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A header of the first packet of a flow.
pub fn header(flow: u64, request: u64) -> Header {
    Header {
        address: ADDRESS.parse().expect("an address"),
        flow: flow::Id(flow),
        request: request::Id(request),
        part: 0,
        parts: 1,
        opening: true,
        closing: false,
        repeat: Repeat::Once,
        attempt: 1,
        urgency: Urgency::Ordinary,
    }
}

/// A packet that asks for 100 bytes after `work`.
pub fn packet(header: &Header, work: Duration) -> Packet {
    let wish = Wish { answer_bytes: 100, work_micros: work.as_micros() as u32 };
    Packet { header: Some(convert::encode_header(header)), payload: wish.encode(0) }
}

/// A request kind over one flow.
pub fn kind(repeat: Repeat) -> Kind {
    Kind {
        name: "test".into(),
        address: ADDRESS.parse().expect("an address"),
        urgency: Urgency::Ordinary,
        repeat,
        rate: 0.0,
        flows: 1,
        requests_per_flow: None,
        parts: 1,
        deadline: Duration::from_secs(20),
        patience: Duration::from_secs(20),
        request_bytes: 64,
        wish: Wish { answer_bytes: 1_000, work_micros: 1_000 },
    }
}

/// A target on any port, warm at once unless said otherwise.
pub async fn target(change: impl FnOnce(&mut Settings)) -> Server {
    let mut settings = Settings {
        warm_up: Duration::ZERO,
        addresses: vec![ADDRESS.parse().expect("an address")],
        ..Settings::default()
    };
    change(&mut settings);
    Server::start(settings).await.expect("a free port")
}

/// A line of requests straight to `fronts`.
pub fn line(kind: Kind, fronts: &[SocketAddr]) -> Arc<Line> {
    let fabric = Arc::new(Fabric::new(7, fronts));
    Line::new(kind, Persistence::default(), fabric, 7)
}

/// A client for `target`.
pub fn client(target: &Server) -> FrontClient {
    fabric::client(target.address())
}

/// Sends one packet.
pub async fn send(client: &FrontClient, packet: Packet) -> Result<Reply, Status> {
    client.send(packet).await.map(volo_grpc::Response::into_inner)
}

/// Waits until `met`; fails the test after a long while.
pub async fn until(met: impl Fn() -> bool) {
    for _ in 0..3_000 {
        if met() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("what the test waits for never came");
}
