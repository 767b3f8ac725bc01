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

/// The instance of another failure domain that changes are pushed to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// Id of the instance, which ranks first in its failure domain.
    pub id: instance::Id,
    /// Its children in the tree of its failure domain.
    pub deputies: Vec<instance::Id>,
}

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
    pub relays: Vec<Relay>,
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
        let mut remote: BTreeMap<&domain::Name, Vec<(u64, &instance::Id)>> = BTreeMap::new();
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
            remote.entry(domain).or_default().push(ranked);
        }
        neighbours.sort_unstable_by(|first, second| second.cmp(first));
        topology.neighbours = neighbours.into_iter().map(|(_, id)| id.clone()).collect();
        for mut ranked in remote.into_values() {
            ranked.sort_unstable_by(|first, second| second.cmp(first));
            let mut ids = ranked.into_iter().map(|(_, id)| id.clone());
            let Some(id) = ids.next() else { continue };
            topology.relays.push(Relay { id, deputies: ids.take(FANOUT).collect() });
        }
        topology
    }

    /// Returns the instances that this one forwards a change to, if `root` was
    /// the first in the failure domain to have the change.
    pub fn children(&self, root: &instance::Id) -> Vec<instance::Id> {
        let Some(first) = self.first_child(root) else { return Vec::new() };
        let others = self.neighbours.iter().filter(|id| *id != root);
        others.skip(first).take(FANOUT).cloned().collect()
    }

    /// Returns the children of the children of this instance, if `root` was the first in
    /// the failure domain to have a change.
    pub fn grandchildren(&self, root: &instance::Id) -> Vec<instance::Id> {
        let Some(first) = self.first_child(root) else { return Vec::new() };
        let others = self.neighbours.iter().filter(|id| *id != root);
        others.skip((first + 1) * FANOUT).take(FANOUT * FANOUT).cloned().collect()
    }

    /// Returns the number of copies of a change that are sent one after the other until the
    /// last instance of this failure domain has it: to the relays and then down the tree.
    pub fn copies_in_turn(&self) -> u64 {
        let (mut depth, mut reached) = (0, 1);
        while reached < self.neighbours.len() {
            depth += 1;
            reached += FANOUT.pow(depth);
        }
        (self.relays.len() + FANOUT * (depth as usize + 1)) as u64
    }

    /// Returns the position of the first child of this instance among the neighbours
    /// other than `root`, in rank order.
    fn first_child(&self, root: &instance::Id) -> Option<usize> {
        let me = self.me.as_ref()?;
        if me == root {
            return Some(0);
        }
        let mut others = self.neighbours.iter().filter(|id| *id != root);
        Some((others.position(|id| id == me)? + 1) * FANOUT)
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
        others.chain(self.relays.iter().map(|relay| &relay.id)).collect()
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
