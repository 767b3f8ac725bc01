//! Once-only requests that this instance, as their ingress or their witness, knows to have been
//! sent to an owner.
//!
//! When an owner is lost, the next owner learns from these tables which requests may have run.

use std::collections::{HashMap, VecDeque};

use mustardway_gate::Key;
use mustardway_types::target;
use mustardway_types::time::{Instant, Span};

/// Time for which a request is remembered. It exceeds the longest deadline of a request.
const RETENTION: Span = Span::seconds(60);
/// Most requests that are remembered; the oldest are dropped first.
const REQUESTS_MAX: usize = 100_000;

/// A request sent to the owner of `target`.
#[derive(Debug, Clone)]
struct Entry {
    target: target::Id,
    key: Key,
    at: Instant,
}

/// The forwarded requests in the order in which they were sent.
#[derive(Debug, Default)]
pub struct Table {
    entries: VecDeque<Entry>,
}

impl Table {
    /// Adds a request that is sent to the owner of `target`. Drops the oldest if the table is full.
    pub fn insert(&mut self, target: target::Id, key: Key, now: Instant) {
        self.expire(now);
        if self.entries.len() == REQUESTS_MAX {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry { target, key, at: now });
    }

    /// Removes the requests that are older than the retention time.
    pub fn expire(&mut self, now: Instant) {
        while self.entries.front().is_some_and(|entry| now.since(entry.at) > RETENTION) {
            self.entries.pop_front();
        }
    }

    /// Returns the requests for the targets that `wanted` selects, grouped by target.
    pub fn by_target(&self, wanted: impl Fn(&target::Id) -> bool) -> HashMap<target::Id, Vec<Key>> {
        let mut found: HashMap<target::Id, Vec<Key>> = HashMap::new();
        for entry in &self.entries {
            if !wanted(&entry.target) {
                continue;
            }
            found.entry(entry.target.clone()).or_default().push(entry.key);
        }
        found
    }

    /// Returns the number of remembered requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
