//! Ranks of the instances, and the peers that an instance pushes changes to.
//!
//! Inside a failure domain, changes are forwarded down a tree over the live
//! instances. No instance sends more than a few copies of a large change,
//! because more would delay callers' packets on a narrow link.

use std::collections::BTreeMap;

use mustardway_types::time::Span;
use mustardway_types::{domain, hash, instance};

/// Seed of the rank hash. All instances must use the same value.
const RANK_SEED: u64 = 0x6d69_7272_6f72_0001;
/// Time between two reads by the instance with rank 0: a third of the shortest
/// bound in which a change has to be in force (3 s).
pub const READ_INTERVAL: Span = Span::millis(1_000);
/// Difference between the staleness limits of one rank and the next.
pub const STALENESS_STEP: Span = Span::millis(450);
/// Maximum number of copies of a change that one instance sends inside its
/// failure domain.
const FANOUT: usize = 2;
/// Maximum number of steps in a staleness limit, so that the limit stays below
/// the bound in which a change has to be in force (3 s).
const STALENESS_STEPS_MAX: u64 = 3;
/// The longest staleness limit of any instance.
pub const STALENESS_LIMIT_MAX: Span =
    Span(READ_INTERVAL.0 + STALENESS_STEP.0 * STALENESS_STEPS_MAX);

/// The ranks and peers of one instance among the live instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// Rank in the whole fleet. The instance with rank 0 is the reader.
    pub fleet_rank: usize,
    /// Rank in the instance's own failure domain.
    pub domain_rank: usize,
    /// Id of this instance.
    pub me: Option<instance::Id>,
    /// Live instances in this instance's failure domain, including itself, in
    /// rank order.
    pub neighbours: Vec<instance::Id>,
    /// One live instance in each other failure domain.
    pub relays: Vec<instance::Id>,
    /// Live instances in other failure domains.
    pub remote: Vec<instance::Id>,
}

impl Topology {
    /// Creates the topology of `me`, which runs in failure domain `home`, from
    /// the `live` instances.
    pub fn new<'a>(
        me: &instance::Id,
        home: &domain::Name,
        live: impl IntoIterator<Item = (&'a instance::Id, &'a domain::Name)>,
    ) -> Self {
        let mut topology = Topology { me: Some(me.clone()), ..Topology::default() };
        let mut neighbours = vec![(rank(me), me)];
        let mut relays: BTreeMap<&domain::Name, (u64, &instance::Id)> = BTreeMap::new();
        let own = rank(me);
        for (id, domain) in live {
            if id == me {
                continue;
            }
            let ranked = (rank(id), id);
            let is_ahead = ranked.0 > own;
            topology.fleet_rank += usize::from(is_ahead);
            if domain == home {
                topology.domain_rank += usize::from(is_ahead);
                neighbours.push(ranked);
                continue;
            }
            topology.remote.push(id.clone());
            let relay = relays.entry(domain).or_insert(ranked);
            *relay = (*relay).max(ranked);
        }
        neighbours.sort_unstable_by(|first, second| second.cmp(first));
        topology.neighbours = neighbours.into_iter().map(|(_, id)| id.clone()).collect();
        topology.relays = relays.into_values().map(|(_, id)| id.clone()).collect();
        topology
    }

    /// Returns the instances that this one forwards a change to, if `root` was
    /// the first in the failure domain to have the change.
    pub fn children(&self, root: &instance::Id) -> Vec<&instance::Id> {
        let mut others = self.neighbours.iter().filter(|id| *id != root);
        let first = match &self.me {
            Some(me) if me == root => 0,
            Some(me) => match others.clone().position(|id| id == me) {
                Some(position) => (position + 1) * FANOUT,
                None => return Vec::new(),
            },
            None => return Vec::new(),
        };
        others.by_ref().skip(first).take(FANOUT).collect()
    }

    /// Returns every other live instance.
    pub fn others(&self) -> Vec<&instance::Id> {
        let others = self.neighbours.iter().filter(|id| Some(*id) != self.me.as_ref());
        others.chain(&self.remote).collect()
    }

    /// Returns every other live instance in this failure domain and the relay of
    /// each other failure domain.
    pub fn peers(&self) -> Vec<&instance::Id> {
        let others = self.neighbours.iter().filter(|id| Some(*id) != self.me.as_ref());
        others.chain(&self.relays).collect()
    }

    /// Returns the age of the replica at which this instance reads the platform
    /// itself.
    pub fn staleness_limit(&self) -> Span {
        if self.fleet_rank == 0 {
            return READ_INTERVAL;
        }
        let steps = 1 + (self.domain_rank as u64).min(STALENESS_STEPS_MAX - 1);
        READ_INTERVAL + Span(STALENESS_STEP.0 * steps)
    }
}

fn rank(id: &instance::Id) -> u64 {
    hash::seeded(RANK_SEED, id.as_str().as_bytes())
}
