//! The published state of the control loop.

use std::net::SocketAddr;

use mustardway_membership::member;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, instance, revision};

use super::Control;
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

impl Control {
    /// Publishes the report, and logs what keeps this instance from being ready.
    pub(super) fn write_report(&mut self, now: Instant) {
        let obstacle = self.obstacle(now);
        self.log_obstacle(obstacle, now);
        let counts = self.spread.counts();
        let peer = |record: &member::Record| PeerReport {
            id: record.member.id.clone(),
            domain: record.member.domain.clone(),
            address: record.member.address,
            state: record.state,
            revision: self.peer_revisions.get(&record.member.id).copied().unwrap_or_default(),
        };
        *self.report.write() = Report {
            obstacle,
            handed_over: self.handovers.is_complete(&self.node),
            is_reader: self.spread.is_reader(),
            confirmed_ago: self.spread.age(now),
            reads: counts.reads,
            failures: counts.failures,
            peers: self.membership.members().map(peer).collect(),
        };
    }
}
