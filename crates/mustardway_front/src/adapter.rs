//! What an adapter brings: packet formats, and calls to the platform and targets.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use futures::future::BoxFuture;
use mustardway_flow::front::Probe;
use mustardway_flow::packet::{Packet, Reset};
use mustardway_flow::standing::Outcome;
use mustardway_flow::token::Token;
use mustardway_mirror::node::{Answer, Ask, Failure};
use tokio::net::TcpListener;

/// Formats of packets.
pub trait Codec: Send + Sync {
    /// Bytes that a datagram to a target has before the packet.
    fn envelope_len(&self) -> usize;

    /// The head of a caller's packet; none where it is malformed.
    fn decode(&self, packet: &[u8]) -> Option<Packet>;

    /// Addresses a datagram, with room for the envelope before the packet, to
    /// the target with `key`, and writes `token` into the packet.
    fn address_to_target(&self, datagram: &mut [u8], key: u64, token: Token);

    /// The packet that resets a flow, and where it goes.
    fn encode_reset(&self, reset: &Reset) -> (Vec<u8>, SocketAddrV4);
}

/// Reads what the platform publishes.
pub trait Store: Send + Sync {
    /// Asks for the published state or its changes, in a time of its own.
    fn fetch(&self, ask: Ask) -> BoxFuture<'_, Result<Answer, Failure>>;
}

/// Probes targets.
pub trait Prober: Send + Sync {
    /// Asks a target whether it lives, in a time of its own.
    fn probe(&self, probe: Probe) -> BoxFuture<'static, Outcome>;
}

/// Tells whoever sends packets whether this instance takes new ones.
pub trait Readiness: Send + Sync {
    /// Answers on `listener` for as long as the process runs.
    fn serve(&self, listener: TcpListener, is_ready: Arc<AtomicBool>) -> BoxFuture<'static, ()>;
}

/// Everything that an adapter brings.
#[derive(Clone)]
pub struct Adapter {
    /// Formats of packets.
    pub codec: Arc<dyn Codec>,
    /// Reads what the platform publishes.
    pub store: Arc<dyn Store>,
    /// Probes targets.
    pub prober: Arc<dyn Prober>,
    /// Tells whether this instance takes new packets.
    pub readiness: Arc<dyn Readiness>,
}
