//! Flows that were refused here or placed on another target.
//!
//! The owner of a flow's first candidate keeps these, so that a duplicate of an
//! opening packet which comes through another ingress ends at the same target.

use std::collections::{HashMap, VecDeque};

use mustardway_types::{flow, target, time};

use crate::admit::Refusal;
use crate::seeded;

/// How long a refusal without a report of what became of the flow is kept, and how long
/// a flow's placement on another target is kept after its last use.
pub const RETENTION: time::Span = time::Span::seconds(60);

/// Time between two looks at one marker.
const REVIEW_INTERVAL: time::Span = time::Span::seconds(2);

/// Greatest number of markers.
pub const MAX_ENTRIES: usize = 8_192;

/// Where a flow without a record here stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// Its opening packet was refused here; its ingress may be placing it.
    Refused {
        /// The refusal.
        refusal: Refusal,
        /// Refused only for the sake of balance.
        for_balance: bool,
        /// Ingresses that were told so and have not reported.
        unreported: u32,
    },
    /// It was placed on another target.
    Placed(target::Id),
}

#[derive(Debug)]
struct Stored {
    placement: Placement,
    until: time::Instant,
    due: time::Instant,
}

/// Markers by flow.
#[derive(Debug)]
pub struct Table {
    entries: HashMap<flow::Id, Stored, seeded::Builder>,
    order: VecDeque<(time::Instant, flow::Id)>,
}

impl Table {
    /// An empty table.
    pub fn new(seed: u64) -> Self {
        Table { entries: HashMap::with_hasher(seeded::Builder(seed)), order: VecDeque::new() }
    }

    /// Sets the marker of a flow.
    pub fn set(&mut self, now: time::Instant, id: flow::Id, placement: Placement) {
        let due = now + REVIEW_INTERVAL;
        self.entries.insert(id, Stored { placement, until: now + RETENTION, due });
        self.order.push_back((due, id));
    }

    /// Adds what another owner knows of a flow: a placement wins over a refusal.
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

    /// Notes that one more ingress was told of a refusal.
    pub fn add_unreported(&mut self, now: time::Instant, id: flow::Id) {
        let Some(stored) = self.entries.get_mut(&id) else { return };
        stored.until = now + RETENTION;
        if let Placement::Refused { unreported, .. } = &mut stored.placement {
            *unreported += 1;
        }
    }

    /// Notes that one ingress that was told of a refusal placed the flow nowhere; the
    /// marker is removed with the last.
    pub fn settle_report(&mut self, id: flow::Id) -> bool {
        let Some(stored) = self.entries.get_mut(&id) else { return false };
        let Placement::Refused { unreported, .. } = &mut stored.placement else { return false };
        *unreported = unreported.saturating_sub(1);
        if *unreported == 0 {
            self.entries.remove(&id);
        }
        true
    }

    /// Removes the marker of a flow.
    pub fn clear(&mut self, id: flow::Id) {
        self.entries.remove(&id);
    }

    /// Removes all markers.
    pub fn clear_all(&mut self) {
        self.entries.clear();
        self.order.clear();
    }

    /// Removes one marker that is over or does not fit; returns its flow.
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

    /// The marker of a flow.
    pub fn get(&self, now: time::Instant, id: flow::Id) -> Option<&Placement> {
        let stored = self.entries.get(&id)?;
        (stored.until > now).then_some(&stored.placement)
    }

    /// Number of markers.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no marker.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Every marker, in the order of flows.
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
