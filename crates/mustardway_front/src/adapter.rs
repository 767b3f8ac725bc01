//! Traits that a platform adapter implements: the packet formats, and the calls to
//! the platform's store and to targets.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use futures::future::BoxFuture;
use mustardway_flow::front::Probe;
use mustardway_flow::health::Outcome;
use mustardway_flow::packet::{Packet, Reset};
use mustardway_flow::token::Token;
use mustardway_mirror::node::{Answer, Failure, Query};
use tokio::net::TcpListener;

/// Encodes and decodes packets.
pub trait Codec: Send + Sync {
    /// Returns the number of bytes before the packet in a datagram to a target.
    fn envelope_len(&self) -> usize;

    /// Decodes the header of a caller's packet. Returns `None` for a malformed packet.
    fn decode(&self, packet: &[u8]) -> Option<Packet>;

    /// Writes `key`, the wire key of the target, into the envelope of `datagram`
    /// and `token` into the packet behind it. The datagram starts with
    /// [`Codec::envelope_len`] bytes of room for the envelope.
    fn address_to_target(&self, datagram: &mut [u8], key: u64, token: Token);

    /// Encodes the packet that resets a flow, and returns it with its destination.
    fn encode_reset(&self, reset: &Reset) -> (Vec<u8>, SocketAddrV4);
}

/// Reads the published state from the platform.
pub trait Store: Send + Sync {
    /// Reads the whole published state or its changes. The implementation sets
    /// its own timeout.
    fn fetch(&self, ask: Query) -> BoxFuture<'_, Result<Answer, Failure>>;
}

/// Is called once the connection of a health check is established.
pub type Connected = Box<dyn FnOnce() + Send>;

/// Runs active health checks of targets.
pub trait Prober: Send + Sync {
    /// Probes a target once, and calls `connected` once the connection is established.
    /// The implementation sets its own timeout.
    fn probe(&self, probe: Probe, connected: Connected) -> BoxFuture<'static, Outcome>;
}

/// Serves the readiness check by which the routers decide whether to send new
/// flows to this instance.
pub trait Readiness: Send + Sync {
    /// Serves the check on `listener` for as long as the process runs.
    fn serve(&self, listener: TcpListener, is_ready: Arc<AtomicBool>) -> BoxFuture<'static, ()>;
}

/// The implementations that connect an instance to one platform.
#[derive(Clone)]
pub struct Adapter {
    /// Encodes and decodes packets.
    pub codec: Arc<dyn Codec>,
    /// Reads the published state from the platform.
    pub store: Arc<dyn Store>,
    /// Runs active health checks of targets.
    pub prober: Arc<dyn Prober>,
    /// Serves the readiness check of this instance.
    pub readiness: Arc<dyn Readiness>,
}
