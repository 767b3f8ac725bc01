//! Requests that may not be repeated and that this instance knows to have been
//! sent to an owner, as their ingress or as their witness.
//!
//! When an owner is lost, what it may have run is told to the next one from here.

use std::collections::{HashMap, VecDeque};

use mustardway_gate::Key;
use mustardway_types::target;
use mustardway_types::time::{Instant, Span};

/// How long a request is remembered: longer than any request's deadline.
const RETENTION: Span = Span::seconds(60);
/// Most requests that are remembered.
const REQUESTS_MAX: usize = 100_000;

/// One request.
#[derive(Debug, Clone)]
struct Entry {
    target: target::Id,
    key: Key,
    at: Instant,
}

/// Requests in the order in which they were sent.
#[derive(Debug, Default)]
pub struct Table {
    entries: VecDeque<Entry>,
}

impl Table {
    /// Remembers a request.
    pub fn insert(&mut self, target: target::Id, key: Key, now: Instant) {
        self.expire(now);
        if self.entries.len() == REQUESTS_MAX {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry { target, key, at: now });
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Instant) {
        while self.entries.front().is_some_and(|entry| now.since(entry.at) > RETENTION) {
            self.entries.pop_front();
        }
    }

    /// Requests by target, of those targets that `wanted` names.
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

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
