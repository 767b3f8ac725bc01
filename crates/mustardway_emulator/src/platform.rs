//! Model of the platform's store: what is published, and when it does not answer.

use std::collections::{BTreeMap, BTreeSet};

use mustardway_mirror::node::{Answer, Failure, Query};
use mustardway_mirror::publication::{Change, Item, Key, Update};
use mustardway_types::revision::Number;
use mustardway_types::time::{Instant, Span};

/// The platform's store, which numbers all changes in one sequence.
#[derive(Debug, Default)]
pub(crate) struct Platform {
    /// Number of the latest change.
    number: u64,
    /// All changes, in order.
    log: Vec<Update>,
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
            let update = self.log(Change::Put(item));
            self.items.insert(key, update);
        }
    }

    /// Removes an item, if it is published.
    pub(crate) fn remove(&mut self, key: &Key) {
        if self.items.remove(key).is_some() {
            self.log(Change::Removed(key.clone()));
        }
    }

    /// Removes the registrations of targets that were last renewed before `since`.
    pub(crate) fn expire(&mut self, since: Instant) {
        let is_expired =
            |key: &Key| self.heartbeats.get(key).is_some_and(|heartbeat| *heartbeat < since);
        let targets = self.items.keys().filter(|key| matches!(key, Key::Target(_)));
        let expired: Vec<Key> = targets.filter(|key| is_expired(key)).cloned().collect();
        for key in expired {
            self.remove(&key);
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
        let number = Number(self.number);
        match query {
            Query::Full => Ok(Answer::Full(number, self.items.values().cloned().collect())),
            Query::Since { after, .. } if after.0 < self.forgotten_up_to => Err(Failure::Forgotten),
            Query::Since { after, .. } => {
                let first = self.log.partition_point(|update| update.number <= after);
                Ok(Answer::Since(number, self.log[first..].to_vec()))
            }
        }
    }

    /// Appends a change to the log under the next number.
    fn log(&mut self, change: Change) -> Update {
        self.number += 1;
        let update = Update { number: Number(self.number), change };
        self.log.push(update.clone());
        update
    }
}
