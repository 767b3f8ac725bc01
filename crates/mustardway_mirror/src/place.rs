//! Who is pushed to, and how patient an instance is before it reads for itself.

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
/// Ranks beyond this have the same patience, so that it stays under the bound.
const STEPS_MAX: u64 = 3;

/// The place of one instance among the live ones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Place {
    /// Rank in the whole fleet; 0 is the reader.
    pub fleet: usize,
    /// Rank in its own failure domain.
    pub domain: usize,
    /// Live peers in its own failure domain.
    pub neighbours: Vec<instance::Id>,
    /// One live instance in each other failure domain.
    pub relays: Vec<instance::Id>,
}

impl Place {
    /// The place of `me`, which lives in `home`, among `live`.
    pub fn new<'a>(
        me: &instance::Id,
        home: &domain::Name,
        live: impl IntoIterator<Item = (&'a instance::Id, &'a domain::Name)>,
    ) -> Self {
        let mut place = Place::default();
        let mut relays: BTreeMap<&domain::Name, (u64, &instance::Id)> = BTreeMap::new();
        let own = rank(me);
        for (id, domain) in live {
            if id == me {
                continue;
            }
            let ranked = (rank(id), id);
            let ahead = ranked.0 > own;
            place.fleet += usize::from(ahead);
            if domain == home {
                place.domain += usize::from(ahead);
                place.neighbours.push(id.clone());
                continue;
            }
            let relay = relays.entry(domain).or_insert(ranked);
            *relay = (*relay).max(ranked);
        }
        place.relays = relays.into_values().map(|(_, id)| id.clone()).collect();
        place
    }

    /// Age of the copy at which this instance reads for itself.
    pub fn patience(&self) -> Span {
        if self.fleet == 0 {
            return INTERVAL;
        }
        let steps = 1 + (self.domain as u64).min(STEPS_MAX - 1);
        INTERVAL + Span(STEP.0 * steps)
    }
}

fn rank(id: &instance::Id) -> u64 {
    hash::seeded(SEED, id.as_str().as_bytes())
}
