//! Deduplication of requests that must run at most once.
//!
//! The outcome of a request that has left the gate is cached for a while, with
//! the reply if it is small. After that only its hash stays, in the Bloom
//! [`Filter`]. When the filter drops hashes as well, the time since which the
//! history is complete moves forward, so a dropped request is never taken for
//! one that did not run.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use mustardway_types::{flow, instance, time};

use crate::bloom::Filter;
use crate::key::Key;
use crate::seeded;

/// Time for which the outcome of a request is cached with its reply.
pub const RETENTION: time::Span = time::Span::seconds(60);

/// Maximum number of cached requests.
pub const MAX_ENTRIES: usize = 8_192;

/// Maximum size of a cached reply, in bytes.
pub const MAX_REPLY_BYTES: usize = 16 * 1_024;

/// Maximum total size of the cached replies, in bytes.
pub const MAX_TOTAL_REPLY_BYTES: usize = 1_024 * 1_024;

/// Longest time from the first to the last attempt of a request that opens a flow.
pub const MAX_RETRY_SPAN: time::Span = time::Span::seconds(60);

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// The request has not run, and callers were told so for all attempts up to this one.
    NotRun {
        /// Latest attempt that was told "not run".
        attempt: u32,
    },
    /// The request may have run, and its reply is not known.
    Unknown,
    /// The request runs at another instance.
    RunsElsewhere {
        /// Instance that runs the request.
        at: instance::Id,
        /// Time after which the outcome counts as unknown.
        until: time::Instant,
    },
    /// The request ran, with this reply.
    Done(Bytes),
}

impl Entry {
    /// Returns the precedence of an outcome. Of two outcomes of one request, the one with the
    /// higher precedence is kept.
    fn precedence(&self) -> u8 {
        match self {
            Entry::NotRun { .. } => 0,
            Entry::RunsElsewhere { .. } => 1,
            Entry::Unknown => 2,
            Entry::Done(_) => 3,
        }
    }

    /// Returns the size of the reply, in bytes.
    fn bytes(&self) -> usize {
        match self {
            Entry::Done(reply) => reply.len(),
            _ => 0,
        }
    }
}

#[derive(Debug)]
struct Stored {
    entry: Entry,
    since: time::Instant,
}

/// Cache of request outcomes.
#[derive(Debug)]
pub struct Cache {
    seed: u64,
    entries: HashMap<Key, Stored, seeded::Builder>,
    order: VecDeque<(time::Instant, Key)>,
    bytes: usize,
    filter: Filter,
    complete_since: time::Instant,
    contested: bool,
}

impl Cache {
    /// Creates an empty cache with a complete history since `since`. Hashes in the filter use
    /// `filter_seed`, which is the same at every instance.
    pub fn new(seed: u64, filter_seed: u64, since: time::Instant) -> Self {
        Cache {
            seed: filter_seed,
            entries: HashMap::with_hasher(seeded::Builder(seed)),
            order: VecDeque::new(),
            bytes: 0,
            filter: Filter::new(),
            complete_since: since,
            contested: false,
        }
    }

    /// Caches the outcome of a request unless an outcome with higher precedence is cached.
    pub fn record(&mut self, now: time::Instant, key: Key, entry: Entry) {
        let before = self.entries.get(&key).map(|stored| &stored.entry);
        let entry = match (entry, before) {
            (entry, Some(before)) if before.precedence() > entry.precedence() => return,
            (Entry::Done(reply), _) if reply.len() > MAX_REPLY_BYTES => Entry::Unknown,
            (Entry::NotRun { attempt }, Some(Entry::NotRun { attempt: before })) => {
                Entry::NotRun { attempt: attempt.max(*before) }
            }
            (entry, _) => entry,
        };
        self.bytes += entry.bytes();
        if let Some(before) = self.entries.insert(key, Stored { entry, since: now }) {
            self.bytes -= before.entry.bytes();
        }
        self.order.push_back((now, key));
        self.expire(now);
    }

    /// Removes a request that is about to run or to wait.
    pub fn remove(&mut self, key: Key) {
        if let Some(stored) = self.entries.remove(&key) {
            self.bytes -= stored.entry.bytes();
        }
    }

    /// Adds a flow to the filter after its placement on another target has been dropped.
    pub fn forget_flow(&mut self, now: time::Instant, id: flow::Id) {
        self.forget(now, flow_hash(self.seed, id));
    }

    /// Moves entries that are too old or exceed the limits to the filter.
    pub fn expire(&mut self, now: time::Instant) {
        while let Some((since, key)) = self.order.front().copied() {
            let over_capacity =
                self.entries.len() > MAX_ENTRIES || self.order.len() > 2 * MAX_ENTRIES;
            if now.since(since) < RETENTION && !over_capacity && self.bytes <= MAX_TOTAL_REPLY_BYTES
            {
                return;
            }
            self.order.pop_front();
            let Some(stored) = self.entries.get(&key) else { continue };
            if stored.since != since {
                continue;
            }
            let ran = !matches!(stored.entry, Entry::NotRun { .. });
            self.remove(key);
            if ran {
                self.forget(now, key.hash(self.seed));
            }
        }
    }

    /// Marks the outcomes of requests that run at a lost instance as unknown.
    pub fn mark_instance_lost(&mut self, lost: &instance::Id) {
        for stored in self.entries.values_mut() {
            if matches!(&stored.entry, Entry::RunsElsewhere { at, .. } if at == lost) {
                stored.entry = Entry::Unknown;
            }
        }
    }

    /// Records that requests may have run at other instances up to `now`.
    pub fn mark_incomplete(&mut self, now: time::Instant) {
        self.complete_since = self.complete_since.max(now);
    }

    /// Sets whether another instance may serve the target at the same time.
    pub fn set_contested(&mut self, now: time::Instant, contested: bool) {
        if self.contested {
            self.mark_incomplete(now);
        }
        self.contested = contested;
    }

    /// Sets the time since which the history is complete to that of an earlier owner.
    pub fn set_complete_since(&mut self, since: time::Instant) {
        self.complete_since = since;
    }

    /// Adds the filter of another owner. If its size is wrong, the history counts as incomplete
    /// up to `now`.
    pub fn merge_filter(&mut self, now: time::Instant, words: &[u64]) {
        if !self.filter.merge(words) {
            self.mark_incomplete(now);
        }
    }

    fn forget(&mut self, now: time::Instant, hash: u64) {
        if let Some(dropped) = self.filter.insert(now, hash) {
            self.mark_incomplete(dropped);
        }
    }

    /// Returns the outcome of a request, if it is cached.
    pub fn get(&self, now: time::Instant, key: Key) -> Option<Entry> {
        let stored = self.entries.get(&key)?;
        match &stored.entry {
            Entry::RunsElsewhere { until, .. } if *until <= now => Some(Entry::Unknown),
            entry => Some(entry.clone()),
        }
    }

    /// Returns whether no cached outcome says that a request may have run.
    pub fn has_no_known_run(&self, key: Key) -> bool {
        let entry = self.entries.get(&key).map(|stored| &stored.entry);
        matches!(entry, None | Some(Entry::NotRun { .. }))
    }

    /// Returns whether a request has certainly not run.
    pub fn is_certainly_not_run(&self, key: Key) -> bool {
        let Some(stored) = self.entries.get(&key) else { return false };
        matches!(stored.entry, Entry::NotRun { .. })
            && !self.contested
            && stored.since >= self.complete_since
            && !self.is_forgotten(key)
    }

    /// Returns whether a request without a cached outcome, on a flow opened at `opened`, cannot
    /// have run before.
    pub fn is_new_on_flow(&self, key: Key, opened: time::Instant) -> bool {
        !self.contested
            && opened.since(self.complete_since) >= MAX_RETRY_SPAN
            && !self.is_forgotten(key)
    }

    /// Returns whether a request without a cached outcome, on an unknown flow, cannot have run
    /// before.
    pub fn is_new_on_unknown_flow(&self, now: time::Instant, key: Key) -> bool {
        self.is_fresh_flow(now, key.flow) && !self.filter.contains(key.hash(self.seed))
    }

    /// Returns whether no request of a flow that is not known here can have run before.
    pub fn is_fresh_flow(&self, now: time::Instant, id: flow::Id) -> bool {
        !self.contested
            && now.since(self.complete_since) >= MAX_RETRY_SPAN
            && !self.is_forgotten_flow(id)
    }

    /// Returns whether the placement of a flow may have been recorded and dropped.
    pub fn is_forgotten_flow(&self, id: flow::Id) -> bool {
        self.filter.contains(flow_hash(self.seed, id))
    }

    /// Returns whether a request, or the placement of its flow, may have been recorded and
    /// dropped.
    pub fn is_forgotten(&self, key: Key) -> bool {
        self.filter.contains(key.hash(self.seed)) || self.is_forgotten_flow(key.flow)
    }

    /// Returns the time since which the history of requests is complete.
    pub fn complete_since(&self) -> time::Instant {
        self.complete_since
    }

    /// Returns the number of cached requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is cached.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the cached replies, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the words of the filter, for another owner.
    pub fn filter_words(&self) -> Vec<u64> {
        self.filter.words()
    }

    /// Returns the cached requests with their outcomes, in the order of keys.
    pub fn sorted(&self, now: time::Instant) -> Vec<(Key, Entry)> {
        let mut all = Vec::with_capacity(self.entries.len());
        for key in self.entries.keys() {
            let Some(entry) = self.get(now, *key) else { continue };
            if matches!(entry, Entry::NotRun { .. }) && !self.is_certainly_not_run(*key) {
                continue;
            }
            all.push((*key, entry));
        }
        all.sort_unstable_by_key(|(key, _)| *key);
        all
    }
}

/// Returns the filter hash of a flow, as opposed to that of one of its requests.
fn flow_hash(seed: u64, id: flow::Id) -> u64 {
    const SALT: u64 = 0x666c_6f77_2d69_6473;
    mustardway_types::hash::mix(seed ^ SALT, id.0)
}
