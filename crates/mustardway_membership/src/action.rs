//! Output of the state machine.

use std::net::SocketAddr;

use mustardway_types::instance;
use mustardway_types::revision;
use mustardway_types::time::Span;

use crate::message;

/// Output of the state machine.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a message. The transport may lose it.
    Send {
        /// The receiver.
        to: instance::Id,
        /// Address on which the receiver listens.
        address: SocketAddr,
        /// The message.
        message: message::Message,
    },
    /// The live list or the state of an instance has changed.
    Changed,
    /// A heartbeat announced which configuration a peer has in force.
    PeerRevision {
        /// The peer.
        from: instance::Id,
        /// Number of the peer's configuration.
        number: revision::Number,
        /// Digest of the peer's configuration.
        digest: revision::Digest,
        /// Time since the platform last confirmed the configuration to any
        /// instance.
        age: Span,
    },
}
