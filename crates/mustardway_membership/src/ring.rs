//! Choice of neighbours on two hashed rings: one inside the failure domain, one
//! across failure domains. The second ring only considers instances of other
//! domains, so that each side of a cut between domains is watched by the other.

use mustardway_types::hash;
use mustardway_types::instance;

use crate::member::Record;
use crate::table::Table;

/// Mixed into the positions on the ring across failure domains, so that the two
/// rings have different orders.
const CROSS_RING_SALT: u64 = 0x6372_6f73_7300_0001;

/// Number of neighbours on each side of either ring.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Links {
    /// Neighbours on each side of the ring inside the failure domain.
    pub(crate) domain: usize,
    /// Neighbours on each side of the ring across failure domains.
    pub(crate) cross: usize,
}

/// The nearest records found so far on one side of one ring.
#[derive(Debug)]
struct Nearest<'a> {
    limit: usize,
    found: Vec<(u64, &'a Record)>,
}

impl<'a> Nearest<'a> {
    fn new(limit: usize) -> Self {
        Nearest { limit, found: Vec::with_capacity(limit + 1) }
    }

    fn offer(&mut self, distance: u64, record: &'a Record) {
        let full = self.found.len() == self.limit;
        if full && self.found.last().is_none_or(|(farthest, _)| *farthest <= distance) {
            return;
        }
        let index = self.found.partition_point(|(nearer, _)| *nearer <= distance);
        self.found.insert(index, (distance, record));
        self.found.truncate(self.limit);
    }
}

/// Returns the live neighbours of `of`, sorted by name.
pub(crate) fn neighbours(table: &Table, of: &Record, links: Links) -> Vec<instance::Id> {
    let mut sides = [
        Nearest::new(links.domain),
        Nearest::new(links.domain),
        Nearest::new(links.cross),
        Nearest::new(links.cross),
    ];
    let cross = hash::mix(of.position, CROSS_RING_SALT);
    for record in table.iter() {
        if !record.state.is_live() || record.member.id == of.member.id {
            continue;
        }
        if record.member.domain == of.member.domain {
            sides[0].offer(record.position.wrapping_sub(of.position), record);
            sides[1].offer(of.position.wrapping_sub(record.position), record);
            continue;
        }
        let position = hash::mix(record.position, CROSS_RING_SALT);
        sides[2].offer(position.wrapping_sub(cross), record);
        sides[3].offer(cross.wrapping_sub(position), record);
    }
    let mut ids = Vec::new();
    for side in sides {
        for (_, record) in side.found {
            ids.push(record.member.id.clone());
        }
    }
    ids.sort();
    ids.dedup();
    ids
}
