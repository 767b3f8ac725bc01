//! Who is pushed to, and how patient an instance is before it reads for itself.
//!
//! Inside a failure domain changes go down a tree over the live instances, so
//! that no instance sends more than a few copies of a large change: on a narrow
//! link more would hold up callers' packets.

use std::collections::BTreeMap;

use mustardway_types::time::Span;
use mustardway_types::{domain, hash, instance};

/// Seed of the rank; all instances share it.
const SEED: u64 = 0x6d69_7272_6f72_0001;
/// Time between two reads of the fleet's reader: a third of the shortest bound
/// in which a change has to be in force (3 s).
pub const INTERVAL: Span = Span::millis(1_000);
/// Step of patience from one rank to the next.
pub const STEP: Span = Span::millis(450);
/// Copies of a change that one instance sends inside its failure domain, at most.
const FANOUT: usize = 2;
/// Ranks beyond this have the same patience, so that it stays under the bound.
const STEPS_MAX: u64 = 3;

/// The place of one instance among the live ones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// Rank in the whole fleet; 0 is the reader.
    pub fleet_rank: usize,
    /// Rank in its own failure domain.
    pub domain_rank: usize,
    /// This instance.
    pub me: Option<instance::Id>,
    /// Live instances in its own failure domain, this one among them, best rank
    /// first.
    pub neighbours: Vec<instance::Id>,
    /// One live instance in each other failure domain.
    pub relays: Vec<instance::Id>,
    /// Live instances in other failure domains.
    pub abroad: Vec<instance::Id>,
}

impl Topology {
    /// The place of `me`, which lives in `home`, among `live`.
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
            let ahead = ranked.0 > own;
            topology.fleet_rank += usize::from(ahead);
            if domain == home {
                topology.domain_rank += usize::from(ahead);
                neighbours.push(ranked);
                continue;
            }
            topology.abroad.push(id.clone());
            let relay = relays.entry(domain).or_insert(ranked);
            *relay = (*relay).max(ranked);
        }
        neighbours.sort_unstable_by(|first, second| second.cmp(first));
        topology.neighbours = neighbours.into_iter().map(|(_, id)| id.clone()).collect();
        topology.relays = relays.into_values().map(|(_, id)| id.clone()).collect();
        topology
    }

    /// Instances that this one passes a change on to, which `root` brought into
    /// the failure domain.
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

    /// Every other live instance.
    pub fn others(&self) -> Vec<&instance::Id> {
        let others = self.neighbours.iter().filter(|id| Some(*id) != self.me.as_ref());
        others.chain(&self.abroad).collect()
    }

    /// Every other live instance in its failure domain, and a relay in each other.
    pub fn peers(&self) -> Vec<&instance::Id> {
        let others = self.neighbours.iter().filter(|id| Some(*id) != self.me.as_ref());
        others.chain(&self.relays).collect()
    }

    /// Age of the copy at which this instance reads for itself.
    pub fn patience(&self) -> Span {
        if self.fleet_rank == 0 {
            return INTERVAL;
        }
        let steps = 1 + (self.domain_rank as u64).min(STEPS_MAX - 1);
        INTERVAL + Span(STEP.0 * steps)
    }
}

fn rank(id: &instance::Id) -> u64 {
    hash::seeded(SEED, id.as_str().as_bytes())
}
