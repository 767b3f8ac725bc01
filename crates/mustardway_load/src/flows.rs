//! The open flows of an instance and of its peers.

use std::collections::BTreeMap;

use mustardway_types::instance;
use mustardway_types::time::{Instant, Span};

use crate::key;
use crate::topology::Topology;

/// Time for which the number of open flows that a peer has reported counts.
const RETENTION: Span = Span::millis(1_500);

/// Numbers of open flows by route.
pub type Flows = BTreeMap<key::Route, u32>;

/// Open flows that a peer has reported.
#[derive(Debug)]
struct Reported {
    at: Instant,
    /// Whether they are those of another failure domain.
    is_domain: bool,
    flows: Flows,
}

/// The open flows that an instance knows of.
#[derive(Debug, Default)]
pub struct Table {
    own: Flows,
    peers: BTreeMap<instance::Id, Reported>,
}

impl Table {
    /// Sets the open flows of this instance.
    pub fn set_own(&mut self, flows: Flows) {
        self.own = flows;
    }

    /// Sets the open flows that `peer` reports, those of another failure domain or those of
    /// its part of the tree.
    pub fn set_peer(&mut self, peer: instance::Id, flows: Flows, is_domain: bool, now: Instant) {
        self.peers.insert(peer, Reported { at: now, is_domain, flows });
    }

    /// Removes the flows of peers that have not reported for a while.
    pub fn expire(&mut self, now: Instant) {
        self.peers.retain(|_, reported| now.since(reported.at) < RETENTION);
    }

    /// Removes the flows of peers that report to another instance now, where they count too.
    pub fn retain_peers(&mut self, topology: &Topology) {
        let Topology { children, roots, .. } = topology;
        self.peers.retain(|peer, _| children.contains(peer) || roots.contains(peer));
    }

    /// Removes the flows of all peers.
    pub fn clear_peers(&mut self) {
        self.peers.clear();
    }

    /// Returns the open flows of this instance.
    pub fn own(&self) -> &Flows {
        &self.own
    }

    /// Returns the open flows of this instance and those below it in the tree.
    pub fn of_subtree(&self) -> Flows {
        self.sum(|reported| !reported.is_domain)
    }

    /// Returns the open flows of this instance and all peers.
    pub fn of_all(&self) -> Flows {
        self.sum(|_| true)
    }

    fn sum(&self, is_counted: impl Fn(&Reported) -> bool) -> Flows {
        let mut sum = self.own.clone();
        for reported in self.peers.values().filter(|reported| is_counted(reported)) {
            for (route, count) in &reported.flows {
                let sum = sum.entry(*route).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
        sum
    }
}
