//! Model of the platform's store: what is published, and when it does not answer.

use std::collections::{BTreeMap, BTreeSet};

use mustardway_mirror::message::Push;
use mustardway_mirror::node::{Answer, Failure, Query};
use mustardway_mirror::publication::{Change, Item, Key, Update};
use mustardway_types::revision::{Era, Number, Version};
use mustardway_types::time::{Instant, Span};

/// Size of the headers of an answer.
const HEADER_BYTES: usize = 200;
/// Factor on the encoded size of an update for its text form, JSON with values in base64.
const TEXT_FACTOR: usize = 6;

/// Returns the size of an answer on the wire.
pub(crate) fn answer_bytes(answer: &Result<Answer, Failure>) -> usize {
    let updates = match answer {
        Ok(Answer::Full(_, updates) | Answer::Since(_, updates)) => updates.as_slice(),
        Err(_) => &[],
    };
    let (first, last) = (Version::default(), Version::default());
    HEADER_BYTES + Push::new(first, last, 0, updates).size() * TEXT_FACTOR
}

/// The platform's store, which numbers all changes in one sequence.
#[derive(Debug, Default)]
pub(crate) struct Platform {
    /// Number of times that the store was restored from a copy.
    era: u64,
    /// Number of the latest change.
    number: u64,
    /// All changes of the store's history, in order.
    log: Vec<Update>,
    /// Time of each change in `log`.
    log_times: Vec<Instant>,
    /// Everything that is published.
    items: BTreeMap<Key, Update>,
    /// Number up to which the change history is discarded.
    forgotten_up_to: u64,
    /// Whether the platform does not answer any instance.
    pub(crate) is_down: bool,
    /// Additional response time.
    pub(crate) delay: Span,
    /// Share of the answers that are lost.
    pub(crate) loss: f64,
    /// Indexes of the instances that the platform does not answer.
    pub(crate) refused_hosts: BTreeSet<usize>,
    /// Time of the latest `put` of each item, including the heartbeats of targets.
    heartbeats: BTreeMap<Key, Instant>,
}

impl Platform {
    /// Publishes an item. If an equal item is published already, this only renews it.
    pub(crate) fn put(&mut self, item: Item, now: Instant) {
        let key = item.key();
        self.heartbeats.insert(key.clone(), now);
        let is_unchanged =
            self.items.get(&key).is_some_and(|update| update.change == Change::Put(item.clone()));
        if !is_unchanged {
            let update = self.log(Change::Put(item), now);
            self.items.insert(key, update);
        }
    }

    /// Removes an item, if it is published.
    pub(crate) fn remove(&mut self, key: &Key, now: Instant) {
        if self.items.remove(key).is_some() {
            self.log(Change::Removed(key.clone()), now);
        }
    }

    /// Restores the copy that was taken at `at`, which begins a new era. Later changes
    /// are lost and their numbers are given out again. Registrations expire as if
    /// they had been renewed `now`.
    pub(crate) fn restore(&mut self, at: Instant, now: Instant) {
        let kept = self.log_times.partition_point(|time| *time <= at);
        self.log.truncate(kept);
        self.log_times.truncate(kept);
        self.items.clear();
        for update in &self.log {
            match &update.change {
                Change::Put(item) => self.items.insert(item.key(), update.clone()),
                Change::Removed(key) => self.items.remove(key),
            };
        }
        self.number = self.log.last().map_or(0, |update| update.number.0);
        self.forgotten_up_to = self.forgotten_up_to.min(self.number);
        self.era += 1;
        self.heartbeats = self.items.keys().map(|key| (key.clone(), now)).collect();
    }

    /// Returns the failure domains that are published as evacuated.
    pub(crate) fn evacuated(&self) -> Vec<Key> {
        let keys = self.items.keys().filter(|key| matches!(key, Key::Evacuated(_)));
        keys.cloned().collect()
    }

    /// Removes the registrations of targets that were last renewed before `since`.
    pub(crate) fn expire(&mut self, since: Instant, now: Instant) {
        let is_expired =
            |key: &Key| self.heartbeats.get(key).is_some_and(|heartbeat| *heartbeat < since);
        let targets = self.items.keys().filter(|key| matches!(key, Key::Target(_)));
        let expired: Vec<Key> = targets.filter(|key| is_expired(key)).cloned().collect();
        for key in expired {
            self.remove(&key, now);
        }
    }

    /// Discards the change history so far.
    pub(crate) fn forget(&mut self) {
        self.forgotten_up_to = self.number;
    }

    /// Answers a query of an instance.
    pub(crate) fn answer(&self, instance: usize, query: Query) -> Result<Answer, Failure> {
        if self.is_down || self.refused_hosts.contains(&instance) {
            return Err(Failure::Timeout);
        }
        let version = Version { era: Era(self.era), number: Number(self.number) };
        match query {
            Query::Full => Ok(Answer::Full(version, self.items.values().cloned().collect())),
            Query::Since { after, .. }
                if after.0 < self.forgotten_up_to || after > version.number =>
            {
                Err(Failure::Forgotten)
            }
            Query::Since { after, .. } => {
                let first = self.log.partition_point(|update| update.number <= after);
                Ok(Answer::Since(version, self.log[first..].to_vec()))
            }
        }
    }

    /// Appends a change to the log under the next number.
    fn log(&mut self, change: Change, now: Instant) -> Update {
        self.number += 1;
        self.log_times.push(now);
        let update = Update { number: Number(self.number), change };
        self.log.push(update.clone());
        update
    }
}
