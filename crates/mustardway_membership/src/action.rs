//! What one instance wants done.

use std::net::SocketAddr;

use mustardway_types::instance;
use mustardway_types::revision;
use mustardway_types::time::Span;

use crate::message;

/// What one instance wants done.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// Receiver.
        to: instance::Id,
        /// Where it listens.
        address: SocketAddr,
        /// What to say.
        message: message::Message,
    },
    /// The live list or a state has changed.
    Changed,
    /// A peer has told which configuration it has in force.
    PeerRevision {
        /// The peer.
        from: instance::Id,
        /// Number of its configuration.
        number: revision::Number,
        /// Digest of its configuration.
        digest: revision::Digest,
        /// Time since the platform confirmed it to some instance.
        age: Span,
    },
}
