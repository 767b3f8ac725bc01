//! The published state of the control loop.

use std::net::SocketAddr;

use mustardway_membership::member;
use mustardway_types::time::Span;
use mustardway_types::{domain, instance, revision};

use super::readiness::Obstacle;

/// The state that the control loop publishes on every tick.
#[derive(Debug, Clone)]
pub struct Report {
    /// Condition that keeps this instance from taking packets; `None` when it is ready.
    pub obstacle: Option<Obstacle>,
    /// Whether every gate was handed over and acknowledged by its next owner.
    pub handed_over: bool,
    /// Whether this instance reads the platform.
    pub is_reader: bool,
    /// Time since the platform confirmed the revision in force to any instance.
    pub confirmed_ago: Span,
    /// Number of configuration reads from the platform, failed ones included.
    pub reads: u64,
    /// Number of configuration reads that failed.
    pub failures: u64,
    /// All known instances, this one included.
    pub peers: Vec<PeerReport>,
}

impl Default for Report {
    fn default() -> Self {
        Report {
            obstacle: Some(Obstacle::Configuration),
            handed_over: false,
            is_reader: false,
            confirmed_ago: Span::default(),
            reads: 0,
            failures: 0,
            peers: Vec::new(),
        }
    }
}

/// The membership state and revision of one instance, as known here.
#[derive(Debug, Clone)]
pub struct PeerReport {
    /// Name of the instance.
    pub id: instance::Id,
    /// Failure domain of the instance.
    pub domain: domain::Name,
    /// Address on which the instance listens for its peers.
    pub address: SocketAddr,
    /// Membership state of the instance.
    pub state: member::State,
    /// Last revision that the instance reported; 0 if it reported none.
    pub revision: revision::Number,
}
