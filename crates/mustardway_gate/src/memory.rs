//! Requests that may not be repeated.
//!
//! A request that has left a gate is remembered with how it ended for a while,
//! with its reply where that is small. Then only its hash stays, in the
//! [`Filter`]. What even the filter has dropped moves up the moment from which
//! everything is known, so that forgetting is never taken for "not run".

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use mustardway_types::{flow, instance, time};

use crate::filter::Filter;
use crate::key::Key;
use crate::seeded;

/// How long the end of a request is remembered with its reply.
pub const WINDOW: time::Span = time::Span::seconds(60);

/// Greatest number of remembered requests.
pub const CAPACITY: usize = 8_192;

/// Greatest reply that is remembered, in bytes.
pub const REPLY: usize = 16 * 1_024;

/// Greatest sum of remembered replies, in bytes.
pub const REPLIES: usize = 1_024 * 1_024;

/// Longest time from the first to the last attempt of the requests that open a flow.
pub const REPEAT: time::Span = time::Span::seconds(60);

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Memo {
    /// It has not run, and callers were told so up to this attempt.
    NotRun {
        /// That attempt.
        attempt: u32,
    },
    /// It may have run; its reply is not known.
    Unknown,
    /// It runs through another instance, at the latest until then.
    Elsewhere {
        /// Instance that runs it.
        at: instance::Id,
        /// When its outcome is given up.
        until: time::Instant,
    },
    /// It ran, with this reply.
    Done(Bytes),
}

impl Memo {
    /// Strictness: of two memories of one request the greater is kept.
    fn rank(&self) -> u8 {
        match self {
            Memo::NotRun { .. } => 0,
            Memo::Elsewhere { .. } => 1,
            Memo::Unknown => 2,
            Memo::Done(_) => 3,
        }
    }

    /// Bytes of the reply.
    fn bytes(&self) -> usize {
        match self {
            Memo::Done(reply) => reply.len(),
            _ => 0,
        }
    }
}

#[derive(Debug)]
struct Held {
    memo: Memo,
    since: time::Instant,
}

/// How requests ended.
#[derive(Debug)]
pub struct Memory {
    seed: u64,
    held: HashMap<Key, Held, seeded::Builder>,
    order: VecDeque<(time::Instant, Key)>,
    bytes: usize,
    filter: Filter,
    complete_since: time::Instant,
    contested: bool,
}

impl Memory {
    /// An empty memory, complete since `since`. Hashes in the filter use `filter_seed`, the
    /// same at every instance.
    pub fn new(seed: u64, filter_seed: u64, since: time::Instant) -> Self {
        Memory {
            seed: filter_seed,
            held: HashMap::with_hasher(seeded::Builder(seed)),
            order: VecDeque::new(),
            bytes: 0,
            filter: Filter::new(),
            complete_since: since,
            contested: false,
        }
    }

    /// Keeps how a request ended, unless something stricter is known.
    pub fn keep(&mut self, now: time::Instant, key: Key, memo: Memo) {
        let before = self.held.get(&key).map(|held| &held.memo);
        let memo = match (memo, before) {
            (memo, Some(before)) if before.rank() > memo.rank() => return,
            (Memo::Done(reply), _) if reply.len() > REPLY => Memo::Unknown,
            (Memo::NotRun { attempt }, Some(Memo::NotRun { attempt: before })) => {
                Memo::NotRun { attempt: attempt.max(*before) }
            }
            (memo, _) => memo,
        };
        self.bytes += memo.bytes();
        if let Some(before) = self.held.insert(key, Held { memo, since: now }) {
            self.bytes -= before.memo.bytes();
        }
        self.order.push_back((now, key));
        self.expire(now);
    }

    /// Takes a request that will run now, or wait, out of the memory.
    pub fn take(&mut self, key: Key) {
        if let Some(held) = self.held.remove(&key) {
            self.bytes -= held.memo.bytes();
        }
    }

    /// Notes that a flow was placed elsewhere and its marker is gone.
    pub fn note_flow(&mut self, now: time::Instant, id: flow::Id) {
        self.forget(now, flow_hash(self.seed, id));
    }

    /// Moves what is old, and what does not fit, to the filter.
    pub fn expire(&mut self, now: time::Instant) {
        while let Some((since, key)) = self.order.front().copied() {
            let crowded = self.held.len() > CAPACITY || self.order.len() > 2 * CAPACITY;
            if now.since(since) < WINDOW && !crowded && self.bytes <= REPLIES {
                return;
            }
            self.order.pop_front();
            let Some(held) = self.held.get(&key) else { continue };
            if held.since != since {
                continue;
            }
            let ran = !matches!(held.memo, Memo::NotRun { .. });
            self.take(key);
            if ran {
                self.forget(now, key.hash(self.seed));
            }
        }
    }

    /// Gives up the outcomes that an instance would have told.
    pub fn give_up(&mut self, lost: &instance::Id) {
        for held in self.held.values_mut() {
            if matches!(&held.memo, Memo::Elsewhere { at, .. } if at == lost) {
                held.memo = Memo::Unknown;
            }
        }
    }

    /// Notes that requests may have run elsewhere up to `now`.
    pub fn doubt(&mut self, now: time::Instant) {
        self.complete_since = self.complete_since.max(now);
    }

    /// Sets whether another instance may serve the target at the same time.
    pub fn set_contested(&mut self, now: time::Instant, contested: bool) {
        if self.contested {
            self.doubt(now);
        }
        self.contested = contested;
    }

    /// Replaces the moment of completeness by that of an earlier owner.
    pub fn inherit(&mut self, since: time::Instant) {
        self.complete_since = since;
    }

    /// Adds the filter of another owner.
    pub fn merge_filter(&mut self, now: time::Instant, words: &[u64]) {
        if !self.filter.merge(words) {
            self.doubt(now);
        }
    }

    fn forget(&mut self, now: time::Instant, hash: u64) {
        if let Some(dropped) = self.filter.insert(now, hash) {
            self.doubt(dropped);
        }
    }

    /// How a request ended.
    pub fn get(&self, now: time::Instant, key: Key) -> Option<Memo> {
        let held = self.held.get(&key)?;
        match &held.memo {
            Memo::Elsewhere { until, .. } if *until <= now => Some(Memo::Unknown),
            memo => Some(memo.clone()),
        }
    }

    /// Whether nothing says that a request may have run.
    pub fn is_unrun(&self, key: Key) -> bool {
        let memo = self.held.get(&key).map(|held| &held.memo);
        matches!(memo, None | Some(Memo::NotRun { .. }))
    }

    /// Whether a request is known not to have run.
    pub fn is_known_unrun(&self, key: Key) -> bool {
        let Some(held) = self.held.get(&key) else { return false };
        matches!(held.memo, Memo::NotRun { .. })
            && !self.contested
            && held.since >= self.complete_since
            && !self.is_forgotten(key)
    }

    /// Whether an unknown request on a flow opened then can not have run before.
    pub fn is_new(&self, key: Key, opened: time::Instant) -> bool {
        !self.contested && opened.since(self.complete_since) >= REPEAT && !self.is_forgotten(key)
    }

    /// Whether an unknown request on an unknown flow can not have run before.
    pub fn is_new_flow(&self, now: time::Instant, key: Key) -> bool {
        self.is_whole(now, key.flow) && !self.filter.contains(key.hash(self.seed))
    }

    /// Whether no request of a flow that is not known here can have run before.
    pub fn is_whole(&self, now: time::Instant, id: flow::Id) -> bool {
        !self.contested && now.since(self.complete_since) >= REPEAT && !self.is_forgotten_flow(id)
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
        self.held.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
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
    pub fn sorted(&self, now: time::Instant) -> Vec<(Key, Memo)> {
        let mut all = Vec::with_capacity(self.held.len());
        for key in self.held.keys() {
            let Some(memo) = self.get(now, *key) else { continue };
            if matches!(memo, Memo::NotRun { .. }) && !self.is_known_unrun(*key) {
                continue;
            }
            all.push((*key, memo));
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
