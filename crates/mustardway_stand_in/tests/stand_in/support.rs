//! Helpers shared by the tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mustardway_stand_in::caller::load::Generator;
use mustardway_stand_in::caller::workload::{Kind, RetryPolicy};
use mustardway_stand_in::fabric::{self, Fabric};
use mustardway_stand_in::payload::Demand;
use mustardway_stand_in::target::{Server, Settings};
use mustardway_types::request::{Repeat, Urgency};
use mustardway_types::{flow, packet::Header, request};
use mustardway_wire::convert;
use mustardway_wire::packet::{FrontClient, Packet, Reply};
use volo_grpc::Status;

/// Service address of the packets.
pub const ADDRESS: &str = "127.0.0.9:80";

/// Returns the loopback address with port 0, which selects a free port.
pub fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Creates the header of the opening packet of a flow.
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

/// Creates a packet that demands an answer of 100 bytes after `work`.
pub fn packet(header: &Header, work: Duration) -> Packet {
    let demand = Demand { answer_bytes: 100, work_micros: work.as_micros() as u32 };
    Packet { header: Some(convert::encode_header(header)), payload: demand.encode(0) }
}

/// Creates a kind of request that uses one flow.
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
        resend_timeout: Duration::from_secs(20),
        request_bytes: 64,
        demand: Demand { answer_bytes: 1_000, work_micros: 1_000 },
    }
}

/// Starts a target on a free port, without warm-up unless `change` sets one.
pub async fn target(change: impl FnOnce(&mut Settings)) -> Server {
    let mut settings = Settings {
        warm_up: Duration::ZERO,
        addresses: vec![ADDRESS.parse().expect("an address")],
        ..Settings::default()
    };
    change(&mut settings);
    Server::start(settings).await.expect("a free port")
}

/// Creates a generator that sends its requests directly to `fronts`.
pub fn generator(kind: Kind, fronts: &[SocketAddr]) -> Arc<Generator> {
    let fabric = Arc::new(Fabric::new(7, fronts));
    Generator::new(kind, RetryPolicy::default(), fabric, 7)
}

/// Creates a client for `target`.
pub fn client(target: &Server) -> FrontClient {
    fabric::client(target.address())
}

/// Sends one packet and returns the reply.
pub async fn send(client: &FrontClient, packet: Packet) -> Result<Reply, Status> {
    client.send(packet).await.map(volo_grpc::Response::into_inner)
}

/// Waits until `condition` holds; panics after 3,000 checks 10 ms apart.
pub async fn until(condition: impl Fn() -> bool) {
    for _ in 0..3_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the awaited condition did not hold within 30 s");
}
