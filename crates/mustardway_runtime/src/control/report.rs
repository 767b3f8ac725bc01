//! What others may see of the control loop.

use std::net::SocketAddr;

use mustardway_membership::member;
use mustardway_types::time::Span;
use mustardway_types::{domain, instance, revision};

/// What others may see of the control loop.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Whether this instance may take packets.
    pub is_ready: bool,
    /// Every gate has been taken by its next owner.
    pub handed_over: bool,
    /// Whether this instance reads the platform.
    pub is_reader: bool,
    /// Time since the platform confirmed the revision in force to anybody.
    pub confirmed_ago: Span,
    /// Reads of the platform, and how many failed.
    pub reads: u64,
    /// Reads that failed.
    pub failures: u64,
    /// Instances with their states.
    pub peers: Vec<PeerReport>,
}

/// What is believed of one instance.
#[derive(Debug, Clone)]
pub struct PeerReport {
    /// Its name.
    pub id: instance::Id,
    /// Its failure domain.
    pub domain: domain::Name,
    /// Where it listens for its peers.
    pub address: SocketAddr,
    /// Its state.
    pub state: member::State,
    /// The revision it told last.
    pub revision: revision::Number,
}
