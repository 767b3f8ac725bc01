//! Queue of requests that wait for a slot.
//!
//! Urgent requests come before ordinary ones; within a class, the request with
//! the earliest latest useful start comes first. A request leaves the queue at
//! its latest useful start: later than that it would take a slot and still be
//! answered too late.

use std::collections::BTreeSet;

use mustardway_types::{request, time};

use crate::ticket;

/// Minimum queue limit at which a share is reserved for urgent requests.
const MIN_SHARED_PLACES: u32 = 2;

/// The queue limit divided by this is reserved for urgent requests.
const URGENT_PLACE_DIVISOR: u32 = 4;

/// One waiting request, ordered as in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiter {
    /// Whether the request is ordinary; urgent requests come first.
    pub ordinary: bool,
    /// Latest start at which the request can still be answered in time.
    pub latest_start: time::Instant,
    /// Ticket of the waiting request.
    pub ticket: ticket::Id,
}

impl Waiter {
    /// Creates the waiter for a request.
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

/// Returns the number of places that ordinary requests may take in a queue of `limit` places.
pub fn ordinary_limit(limit: u32) -> u32 {
    if limit < MIN_SHARED_PLACES {
        return limit;
    }
    limit - (limit / URGENT_PLACE_DIVISOR).max(1)
}

impl Queue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Queue::default()
    }

    /// Adds a request.
    pub fn insert(&mut self, waiter: Waiter) {
        self.class_mut(waiter.ordinary).insert(waiter);
    }

    /// Removes a request and returns whether it was in the queue.
    pub fn remove(&mut self, waiter: Waiter) -> bool {
        self.class_mut(waiter.ordinary).remove(&waiter)
    }

    /// Removes one request whose latest useful start has passed.
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

    /// Removes the last ordinary request, which is the least likely to be answered in time.
    pub fn evict(&mut self) -> Option<Waiter> {
        self.ordinary.pop_last()
    }

    /// Removes the last urgent request, which is the least likely to be answered in time.
    pub fn evict_urgent(&mut self) -> Option<Waiter> {
        self.urgent.pop_last()
    }

    /// Removes all requests and returns them in order.
    pub fn clear(&mut self) -> Vec<Waiter> {
        let mut all = Vec::with_capacity(self.len());
        all.extend(std::mem::take(&mut self.urgent));
        all.extend(std::mem::take(&mut self.ordinary));
        all
    }

    fn class_mut(&mut self, ordinary: bool) -> &mut BTreeSet<Waiter> {
        if ordinary { &mut self.ordinary } else { &mut self.urgent }
    }

    /// Returns the number of requests that would start before `waiter`.
    pub fn ahead(&self, waiter: &Waiter) -> usize {
        if !waiter.ordinary {
            return self.urgent.range(..waiter).count();
        }
        self.urgent.len() + self.ordinary.range(..waiter).count()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.urgent.len() + self.ordinary.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of waiting urgent requests.
    pub fn urgent(&self) -> usize {
        self.urgent.len()
    }

    /// Returns the number of waiting ordinary requests.
    pub fn ordinary(&self) -> usize {
        self.ordinary.len()
    }

    /// Returns the time at which the next request expires if it is not started.
    pub fn next_expiry(&self) -> Option<time::Instant> {
        let urgent = self.urgent.first().map(|waiter| waiter.latest_start);
        let ordinary = self.ordinary.first().map(|waiter| waiter.latest_start);
        match (urgent, ordinary) {
            (Some(urgent), Some(ordinary)) => Some(urgent.min(ordinary)),
            (urgent, ordinary) => urgent.or(ordinary),
        }
    }
}
