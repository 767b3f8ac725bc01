//! Placement of flows that were refused here or opened on another target.
//!
//! The owner of a flow's first candidate keeps these records, so that a
//! duplicate of an opening packet that comes through another ingress reaches
//! the same target.

use std::collections::{HashMap, VecDeque};

use mustardway_types::{flow, target, time};

use crate::admit::Refusal;
use crate::seeded;

/// Time for which a refusal is kept if no ingress reports what became of the flow, and for which
/// a placement on another target is kept after its last use.
pub const RETENTION: time::Span = time::Span::seconds(60);

/// Time between two expiry checks of one record.
const REVIEW_INTERVAL: time::Span = time::Span::seconds(2);

/// Maximum number of records.
pub const MAX_ENTRIES: usize = 8_192;

/// Placement of a flow that is not open here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// The opening packet was refused here, and an ingress may be placing the flow on another
    /// target.
    Refused {
        /// Refusal that the ingresses were told.
        refusal: Refusal,
        /// Whether the flow was refused only for balance.
        for_balance: bool,
        /// Number of ingresses that were told of the refusal and have not reported a placement.
        unreported: u32,
    },
    /// The flow was placed on another target.
    Placed(target::Id),
}

#[derive(Debug)]
struct Stored {
    placement: Placement,
    /// Time at which the record expires.
    until: time::Instant,
    /// Time of the next expiry check; the entry of the order with this time is the valid one.
    due: time::Instant,
}

/// Placements by flow.
#[derive(Debug)]
pub struct Table {
    entries: HashMap<flow::Id, Stored, seeded::Builder>,
    order: VecDeque<(time::Instant, flow::Id)>,
}

impl Table {
    /// Creates an empty table that hashes under `seed`.
    pub fn new(seed: u64) -> Self {
        Table { entries: HashMap::with_hasher(seeded::Builder(seed)), order: VecDeque::new() }
    }

    /// Sets the placement of a flow.
    pub fn set(&mut self, now: time::Instant, id: flow::Id, placement: Placement) {
        let due = now + REVIEW_INTERVAL;
        self.entries.insert(id, Stored { placement, until: now + RETENTION, due });
        self.order.push_back((due, id));
    }

    /// Adds what another owner knows of a flow. A placement takes precedence over a refusal.
    pub fn merge(&mut self, now: time::Instant, id: flow::Id, placement: Placement) {
        let merged = match (self.get(now, id), placement) {
            (Some(Placement::Placed(target)), _) => Placement::Placed(target.clone()),
            (
                Some(Placement::Refused { unreported: mine, .. }),
                Placement::Refused { refusal, for_balance, unreported },
            ) => Placement::Refused {
                refusal,
                for_balance,
                unreported: mine.saturating_add(unreported),
            },
            (_, placement) => placement,
        };
        self.set(now, id, merged);
    }

    /// Records that one more ingress was told of a refusal.
    pub fn add_unreported(&mut self, now: time::Instant, id: flow::Id) {
        let Some(stored) = self.entries.get_mut(&id) else { return };
        stored.until = now + RETENTION;
        if let Placement::Refused { unreported, .. } = &mut stored.placement {
            *unreported += 1;
        }
    }

    /// Records that one ingress that was told of a refusal placed the flow on no target. The
    /// record is removed with the last such report. Returns whether a refusal was recorded.
    pub fn settle_report(&mut self, id: flow::Id) -> bool {
        let Some(stored) = self.entries.get_mut(&id) else { return false };
        let Placement::Refused { unreported, .. } = &mut stored.placement else { return false };
        *unreported = unreported.saturating_sub(1);
        if *unreported == 0 {
            self.entries.remove(&id);
        }
        true
    }

    /// Removes the record of a flow.
    pub fn clear(&mut self, id: flow::Id) {
        self.entries.remove(&id);
    }

    /// Removes all records.
    pub fn clear_all(&mut self) {
        self.entries.clear();
        self.order.clear();
    }

    /// Removes one record that has expired or exceeds the limit, and returns its flow.
    pub fn expire(&mut self, now: time::Instant) -> Option<flow::Id> {
        while let Some((due, id)) = self.order.front().copied() {
            let over_capacity = self.entries.len() > MAX_ENTRIES;
            if due > now && !over_capacity {
                return None;
            }
            self.order.pop_front();
            let Some(stored) = self.entries.get_mut(&id) else { continue };
            if stored.due != due {
                continue;
            }
            if stored.until > now && !over_capacity {
                stored.due = now + REVIEW_INTERVAL;
                self.order.push_back((stored.due, id));
                continue;
            }
            self.entries.remove(&id);
            return Some(id);
        }
        None
    }

    /// Returns the placement of a flow, if it is recorded and has not expired.
    pub fn get(&self, now: time::Instant, id: flow::Id) -> Option<&Placement> {
        let stored = self.entries.get(&id)?;
        (stored.until > now).then_some(&stored.placement)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns all records that have not expired, in the order of flow ids.
    pub fn sorted(&self, now: time::Instant) -> Vec<(flow::Id, &Placement)> {
        let mut all = Vec::with_capacity(self.entries.len());
        for (id, stored) in &self.entries {
            if stored.until > now {
                all.push((*id, &stored.placement));
            }
        }
        all.sort_unstable_by_key(|(id, _)| *id);
        all
    }
}
