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
pub const KEPT: time::Span = time::Span::seconds(60);

/// Time between two looks at one marker.
const REVIEW: time::Span = time::Span::seconds(2);

/// Greatest number of markers.
pub const CAPACITY: usize = 8_192;

/// Where a flow without a record here stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Marker {
    /// Its opening packet was refused here; its ingress may be placing it.
    Refused {
        /// The refusal.
        refusal: Refusal,
        /// Refused only for the sake of balance.
        soft: bool,
        /// Ingresses that were told so and have not reported.
        open: u32,
    },
    /// It was placed on another target.
    Placed(target::Id),
}

#[derive(Debug)]
struct Held {
    marker: Marker,
    until: time::Instant,
    due: time::Instant,
}

/// Markers by flow.
#[derive(Debug)]
pub struct Table {
    held: HashMap<flow::Id, Held, seeded::Builder>,
    order: VecDeque<(time::Instant, flow::Id)>,
}

impl Table {
    /// An empty table.
    pub fn new(seed: u64) -> Self {
        Table { held: HashMap::with_hasher(seeded::Builder(seed)), order: VecDeque::new() }
    }

    /// Sets the marker of a flow.
    pub fn set(&mut self, now: time::Instant, id: flow::Id, marker: Marker) {
        let due = now + REVIEW;
        self.held.insert(id, Held { marker, until: now + KEPT, due });
        self.order.push_back((due, id));
    }

    /// Adds what another owner knows of a flow: a placement wins over a refusal.
    pub fn merge(&mut self, now: time::Instant, id: flow::Id, marker: Marker) {
        let merged = match (self.get(now, id), marker) {
            (Some(Marker::Placed(target)), _) => Marker::Placed(target.clone()),
            (Some(Marker::Refused { open: mine, .. }), Marker::Refused { refusal, soft, open }) => {
                Marker::Refused { refusal, soft, open: mine.saturating_add(open) }
            }
            (_, marker) => marker,
        };
        self.set(now, id, merged);
    }

    /// Notes that one more ingress was told of a refusal.
    pub fn tell(&mut self, now: time::Instant, id: flow::Id) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.until = now + KEPT;
        if let Marker::Refused { open, .. } = &mut held.marker {
            *open += 1;
        }
    }

    /// Notes that one ingress that was told of a refusal placed the flow nowhere; the
    /// marker is removed with the last.
    pub fn settle(&mut self, id: flow::Id) -> bool {
        let Some(held) = self.held.get_mut(&id) else { return false };
        let Marker::Refused { open, .. } = &mut held.marker else { return false };
        *open = open.saturating_sub(1);
        if *open == 0 {
            self.held.remove(&id);
        }
        true
    }

    /// Removes the marker of a flow.
    pub fn clear(&mut self, id: flow::Id) {
        self.held.remove(&id);
    }

    /// Removes all markers.
    pub fn clear_all(&mut self) {
        self.held.clear();
        self.order.clear();
    }

    /// Removes one marker that is over or does not fit; returns its flow.
    pub fn expire(&mut self, now: time::Instant) -> Option<flow::Id> {
        while let Some((due, id)) = self.order.front().copied() {
            let crowded = self.held.len() > CAPACITY;
            if due > now && !crowded {
                return None;
            }
            self.order.pop_front();
            let Some(held) = self.held.get_mut(&id) else { continue };
            if held.due != due {
                continue;
            }
            if held.until > now && !crowded {
                held.due = now + REVIEW;
                self.order.push_back((held.due, id));
                continue;
            }
            self.held.remove(&id);
            return Some(id);
        }
        None
    }

    /// The marker of a flow.
    pub fn get(&self, now: time::Instant, id: flow::Id) -> Option<&Marker> {
        let held = self.held.get(&id)?;
        (held.until > now).then_some(&held.marker)
    }

    /// Number of markers.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether there is no marker.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Every marker, in the order of flows.
    pub fn sorted(&self, now: time::Instant) -> Vec<(flow::Id, &Marker)> {
        let mut all = Vec::with_capacity(self.held.len());
        for (id, held) in &self.held {
            if held.until > now {
                all.push((*id, &held.marker));
            }
        }
        all.sort_unstable_by_key(|(id, _)| *id);
        all
    }
}
