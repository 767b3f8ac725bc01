//! Requests that may not be repeated.
//!
//! A request that has left a gate is remembered with how it ended for a while,
//! with its reply where that is small. Then only its hash stays, in the
//! [`Filter`]. What even the filter has dropped moves up the moment from which
//! everything is known, so that forgetting is never taken for "not run".

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use mustardway_types::{flow, instance, time};

use crate::bloom::Filter;
use crate::key::Key;
use crate::seeded;

/// How long the end of a request is remembered with its reply.
pub const RETENTION: time::Span = time::Span::seconds(60);

/// Greatest number of remembered requests.
pub const MAX_ENTRIES: usize = 8_192;

/// Greatest reply that is remembered, in bytes.
pub const MAX_REPLY_BYTES: usize = 16 * 1_024;

/// Greatest sum of remembered replies, in bytes.
pub const MAX_TOTAL_REPLY_BYTES: usize = 1_024 * 1_024;

/// Longest time from the first to the last attempt of the requests that open a flow.
pub const MAX_RETRY_SPAN: time::Span = time::Span::seconds(60);

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// It has not run, and callers were told so up to this attempt.
    NotRun {
        /// That attempt.
        attempt: u32,
    },
    /// It may have run; its reply is not known.
    Unknown,
    /// It runs through another instance, at the latest until then.
    RunsElsewhere {
        /// Instance that runs it.
        at: instance::Id,
        /// When its outcome is given up.
        until: time::Instant,
    },
    /// It ran, with this reply.
    Done(Bytes),
}

impl Entry {
    /// Strictness: of two memories of one request the greater is kept.
    fn precedence(&self) -> u8 {
        match self {
            Entry::NotRun { .. } => 0,
            Entry::RunsElsewhere { .. } => 1,
            Entry::Unknown => 2,
            Entry::Done(_) => 3,
        }
    }

    /// Bytes of the reply.
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

/// How requests ended.
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
    /// An empty memory, complete since `since`. Hashes in the filter use `filter_seed`, the
    /// same at every instance.
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

    /// Keeps how a request ended, unless something stricter is known.
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

    /// Takes a request that will run now, or wait, out of the memory.
    pub fn remove(&mut self, key: Key) {
        if let Some(stored) = self.entries.remove(&key) {
            self.bytes -= stored.entry.bytes();
        }
    }

    /// Notes that a flow was placed elsewhere and its marker is gone.
    pub fn forget_flow(&mut self, now: time::Instant, id: flow::Id) {
        self.forget(now, flow_hash(self.seed, id));
    }

    /// Moves what is old, and what does not fit, to the filter.
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

    /// Gives up the outcomes that an instance would have told.
    pub fn mark_instance_lost(&mut self, lost: &instance::Id) {
        for stored in self.entries.values_mut() {
            if matches!(&stored.entry, Entry::RunsElsewhere { at, .. } if at == lost) {
                stored.entry = Entry::Unknown;
            }
        }
    }

    /// Notes that requests may have run elsewhere up to `now`.
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

    /// Replaces the moment of completeness by that of an earlier owner.
    pub fn set_complete_since(&mut self, since: time::Instant) {
        self.complete_since = since;
    }

    /// Adds the filter of another owner.
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

    /// How a request ended.
    pub fn get(&self, now: time::Instant, key: Key) -> Option<Entry> {
        let stored = self.entries.get(&key)?;
        match &stored.entry {
            Entry::RunsElsewhere { until, .. } if *until <= now => Some(Entry::Unknown),
            entry => Some(entry.clone()),
        }
    }

    /// Whether nothing says that a request may have run.
    pub fn has_no_known_run(&self, key: Key) -> bool {
        let entry = self.entries.get(&key).map(|stored| &stored.entry);
        matches!(entry, None | Some(Entry::NotRun { .. }))
    }

    /// Whether a request is known not to have run.
    pub fn is_certainly_not_run(&self, key: Key) -> bool {
        let Some(stored) = self.entries.get(&key) else { return false };
        matches!(stored.entry, Entry::NotRun { .. })
            && !self.contested
            && stored.since >= self.complete_since
            && !self.is_forgotten(key)
    }

    /// Whether an unknown request on a flow opened then can not have run before.
    pub fn is_new_on_flow(&self, key: Key, opened: time::Instant) -> bool {
        !self.contested
            && opened.since(self.complete_since) >= MAX_RETRY_SPAN
            && !self.is_forgotten(key)
    }

    /// Whether an unknown request on an unknown flow can not have run before.
    pub fn is_new_on_unknown_flow(&self, now: time::Instant, key: Key) -> bool {
        self.is_fresh_flow(now, key.flow) && !self.filter.contains(key.hash(self.seed))
    }

    /// Whether no request of a flow that is not known here can have run before.
    pub fn is_fresh_flow(&self, now: time::Instant, id: flow::Id) -> bool {
        !self.contested
            && now.since(self.complete_since) >= MAX_RETRY_SPAN
            && !self.is_forgotten_flow(id)
    }

    /// Whether a flow may have been placed elsewhere and forgotten.
    pub fn is_forgotten_flow(&self, id: flow::Id) -> bool {
        self.filter.contains(flow_hash(self.seed, id))
    }

    /// Whether a request, or the placement of its flow, may have been forgotten.
    pub fn is_forgotten(&self, key: Key) -> bool {
        self.filter.contains(key.hash(self.seed)) || self.is_forgotten_flow(key.flow)
    }

    /// Since when everything is known.
    pub fn complete_since(&self) -> time::Instant {
        self.complete_since
    }

    /// Number of remembered requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of remembered replies.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The filter's words.
    pub fn filter_words(&self) -> Vec<u64> {
        self.filter.words()
    }

    /// Every remembered request, in the order of keys.
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

/// Hash that stands for a whole flow.
fn flow_hash(seed: u64, id: flow::Id) -> u64 {
    const SALT: u64 = 0x666c_6f77_2d69_6473;
    mustardway_types::hash::mix(seed ^ SALT, id.0)
}
