//! Requests that wait for a slot.
//!
//! Urgent ones come before ordinary ones, and among equals the one whose latest
//! useful start is earliest comes first. A request leaves the queue at its latest
//! useful start: later than that it would hold a slot and be answered too late.

use std::collections::BTreeSet;

use mustardway_types::{request, time};

use crate::ticket;

/// Size from which a share of the queue is kept for urgent requests.
const MIN_SHARED_PLACES: u32 = 2;

/// The share kept for urgent requests is one part in this.
const URGENT_PLACE_DIVISOR: u32 = 4;

/// One waiting request, in the order of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiter {
    /// Urgent ones come first.
    pub ordinary: bool,
    /// Latest useful start.
    pub latest_start: time::Instant,
    /// The waiting request.
    pub ticket: ticket::Id,
}

impl Waiter {
    /// The place of a request.
    pub fn new(urgency: request::Urgency, latest_start: time::Instant, ticket: ticket::Id) -> Self {
        Waiter { ordinary: urgency == request::Urgency::Ordinary, latest_start, ticket }
    }
}

/// Waiting requests in order.
#[derive(Debug, Default)]
pub struct Queue {
    urgent: BTreeSet<Waiter>,
    ordinary: BTreeSet<Waiter>,
}

/// Places of a queue of `limit` that ordinary requests may take.
pub fn ordinary_limit(limit: u32) -> u32 {
    if limit < MIN_SHARED_PLACES {
        return limit;
    }
    limit - (limit / URGENT_PLACE_DIVISOR).max(1)
}

impl Queue {
    /// An empty queue.
    pub fn new() -> Self {
        Queue::default()
    }

    /// Adds a request.
    pub fn insert(&mut self, waiter: Waiter) {
        self.class_mut(waiter.ordinary).insert(waiter);
    }

    /// Removes a request.
    pub fn remove(&mut self, waiter: Waiter) -> bool {
        self.class_mut(waiter.ordinary).remove(&waiter)
    }

    /// Removes one request whose latest useful start is over.
    pub fn pop_expired(&mut self, now: time::Instant) -> Option<Waiter> {
        for class in [&mut self.urgent, &mut self.ordinary] {
            if class.first().is_some_and(|waiter| waiter.latest_start < now) {
                return class.pop_first();
            }
        }
        None
    }

    /// Removes the first urgent request.
    pub fn pop_urgent(&mut self) -> Option<Waiter> {
        self.urgent.pop_first()
    }

    /// Removes the first ordinary request.
    pub fn pop_ordinary(&mut self) -> Option<Waiter> {
        self.ordinary.pop_first()
    }

    /// Removes the ordinary request with the least chance: the last in order.
    pub fn evict(&mut self) -> Option<Waiter> {
        self.ordinary.pop_last()
    }

    /// Removes the urgent request with the least chance.
    pub fn evict_urgent(&mut self) -> Option<Waiter> {
        self.urgent.pop_last()
    }

    /// Removes all requests, in order.
    pub fn clear(&mut self) -> Vec<Waiter> {
        let mut all = Vec::with_capacity(self.len());
        all.extend(std::mem::take(&mut self.urgent));
        all.extend(std::mem::take(&mut self.ordinary));
        all
    }

    fn class_mut(&mut self, ordinary: bool) -> &mut BTreeSet<Waiter> {
        if ordinary { &mut self.ordinary } else { &mut self.urgent }
    }

    /// Number of requests that would start before `place`.
    pub fn ahead(&self, waiter: &Waiter) -> usize {
        if !waiter.ordinary {
            return self.urgent.range(..waiter).count();
        }
        self.urgent.len() + self.ordinary.range(..waiter).count()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.urgent.len() + self.ordinary.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of waiting urgent requests.
    pub fn urgent(&self) -> usize {
        self.urgent.len()
    }

    /// Number of waiting ordinary requests.
    pub fn ordinary(&self) -> usize {
        self.ordinary.len()
    }

    /// When the first request leaves unserved.
    pub fn next_expiry(&self) -> Option<time::Instant> {
        let urgent = self.urgent.first().map(|waiter| waiter.latest_start);
        let ordinary = self.ordinary.first().map(|waiter| waiter.latest_start);
        match (urgent, ordinary) {
            (Some(urgent), Some(ordinary)) => Some(urgent.min(ordinary)),
            (urgent, ordinary) => urgent.or(ordinary),
        }
    }
}
