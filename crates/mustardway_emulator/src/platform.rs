//! The platform's store: what is published, and when it does not answer.

use std::collections::{BTreeMap, BTreeSet};

use mustardway_mirror::node::{Answer, Failure, Query};
use mustardway_mirror::publication::{Change, Item, Key, Update};
use mustardway_types::revision::Number;
use mustardway_types::time::{Instant, Span};

/// The platform's store.
#[derive(Debug, Default)]
pub(crate) struct Platform {
    number: u64,
    log: Vec<Update>,
    items: BTreeMap<Key, Update>,
    /// Changes up to this number are no longer known.
    forgotten_up_to: u64,
    /// It answers nobody.
    pub(crate) is_down: bool,
    /// Time more that an answer takes.
    pub(crate) delay: Span,
    /// Share of the answers that are lost.
    pub(crate) loss: f64,
    /// Instances that it does not answer.
    pub(crate) refused_hosts: BTreeSet<usize>,
    /// When targets last registered.
    heartbeats: BTreeMap<Key, Instant>,
}

impl Platform {
    /// Publishes an item; an equal one only counts as a sign of life.
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

    /// Removes an item.
    pub(crate) fn remove(&mut self, key: &Key) {
        if self.items.remove(key).is_some() {
            self.log(Change::Removed(key.clone()));
        }
    }

    /// Removes registrations that were not renewed since `since`.
    pub(crate) fn expire(&mut self, since: Instant) {
        let is_expired =
            |key: &Key| self.heartbeats.get(key).is_some_and(|heartbeat| *heartbeat < since);
        let targets = self.items.keys().filter(|key| matches!(key, Key::Target(_)));
        let expired: Vec<Key> = targets.filter(|key| is_expired(key)).cloned().collect();
        for key in expired {
            self.remove(&key);
        }
    }

    /// Forgets every change so far.
    pub(crate) fn forget(&mut self) {
        self.forgotten_up_to = self.number;
    }

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

    fn log(&mut self, change: Change) -> Update {
        self.number += 1;
        let update = Update { number: Number(self.number), change };
        self.log.push(update.clone());
        update
    }
}
