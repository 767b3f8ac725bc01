//! The local replica of the published state, with a bounded history of changes.

use std::collections::{BTreeMap, VecDeque};

use mustardway_types::revision::Number;

use crate::publication::{Change, Item, Key, Registration, Update};

/// Number of changes kept for peers that are behind. Peers that are further
/// behind get the full state.
const HISTORY_MAX: usize = 512;

/// The latest published state known to this instance and the changes that led
/// to it.
#[derive(Debug, Default)]
pub struct Replica {
    number: Number,
    items: BTreeMap<Key, (Number, Item)>,
    history: VecDeque<Update>,
    /// The history holds every change after this number.
    history_start: Number,
    /// Removed registrations that [`Replica::take_removed`] has not returned yet.
    removed: Vec<Registration>,
}

impl Replica {
    /// Returns the platform's change count that this state includes, or 0 before
    /// the first state arrives.
    pub fn number(&self) -> Number {
        self.number
    }

    /// Returns all published items in key order.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values().map(|(_, item)| item)
    }

    /// Returns whether the replica holds a configuration.
    pub fn is_configured(&self) -> bool {
        self.items.contains_key(&Key::Configuration)
    }

    /// Returns the registrations that were removed since the last call.
    pub fn take_removed(&mut self) -> Vec<Registration> {
        std::mem::take(&mut self.removed)
    }

    /// Returns the full state as updates, for a peer with an empty replica.
    pub fn full_state(&self) -> Vec<Update> {
        let put = |(number, item): &(Number, Item)| Update {
            number: *number,
            change: Change::Put(item.clone()),
        };
        self.items.values().map(put).collect()
    }

    /// Returns the changes after `number`, or `None` if the history no longer
    /// holds all of them.
    pub fn changes_after(&self, number: Number) -> Option<Vec<Update>> {
        if number < self.history_start || number.0 == 0 {
            return None;
        }
        let changes = self.history.iter().filter(|update| update.number > number);
        Some(drop_superseded_configurations(changes.cloned().collect()))
    }

    /// Applies changes up to `number` and returns those that had an effect.
    pub fn apply_changes(&mut self, number: Number, mut changes: Vec<Update>) -> Vec<Change> {
        // Older changes are already applied, or were reverted by a later one.
        changes.retain(|update| update.number > self.number);
        self.merge(number, changes)
    }

    fn merge(&mut self, number: Number, changes: Vec<Update>) -> Vec<Change> {
        let mut effective = Vec::new();
        for update in drop_superseded_configurations(changes) {
            if self.apply(&update) {
                effective.push(update.change);
            }
        }
        self.number = self.number.max(number);
        effective
    }

    /// Applies the full state as of `number`, which removes every item that it
    /// lacks, and returns the changes that had an effect.
    pub fn apply_full_state(&mut self, number: Number, items: Vec<Update>) -> Vec<Change> {
        let mut absent: Vec<Key> = self.items.keys().cloned().collect();
        for update in &items {
            let key = update.change.key();
            absent.retain(|other| *other != key);
        }
        let mut effective = self.merge(number, items);
        for key in absent {
            // An item with a later number was published after the full state was read.
            if self.items.get(&key).is_some_and(|(at, _)| *at > number) {
                continue;
            }
            let change = Change::Removed(key);
            if self.apply(&Update { number, change: change.clone() }) {
                effective.push(change);
            }
        }
        // A full state does not show items that were published and removed in
        // between, so peers that are behind `number` get the full state.
        self.history.retain(|update| update.number > number);
        self.history_start = self.history_start.max(number);
        effective
    }

    /// Applies one change and returns whether it had an effect.
    fn apply(&mut self, update: &Update) -> bool {
        let key = update.change.key();
        let known = self.items.get(&key);
        if known.is_some_and(|(number, _)| *number >= update.number) {
            return false;
        }
        match &update.change {
            Change::Put(item) => {
                let is_redundant = known.is_some_and(|(_, old)| is_redundant(old, item));
                self.items.insert(key, (update.number, item.clone()));
                if is_redundant {
                    return false;
                }
            }
            Change::Removed(_) => {
                let Some((_, item)) = self.items.remove(&key) else { return false };
                if let Item::Target(registration) = item {
                    self.removed.push(registration);
                }
            }
        }
        self.record(update.clone());
        true
    }

    /// Appends a change to the history and drops the oldest one if it is full.
    fn record(&mut self, update: Update) {
        if self.history.len() == HISTORY_MAX
            && let Some(oldest) = self.history.pop_front()
        {
            self.history_start = self.history_start.max(oldest.number);
        }
        self.history.push_back(update);
    }
}

/// Drops every configuration but the last one, because a burst of configurations
/// would otherwise be sent in full to every peer.
///
/// All other changes stay: an item that was removed and published again must
/// reach the peers that have seen the removal.
fn drop_superseded_configurations(mut changes: Vec<Update>) -> Vec<Update> {
    let is_configuration = |update: &Update| update.change.key() == Key::Configuration;
    let last = changes.iter().rev().find(|update| is_configuration(update));
    if let Some(last) = last.map(|update| update.number) {
        changes.retain(|update| !is_configuration(update) || update.number == last);
    }
    changes
}

/// Returns whether `new` equals `old` apart from a cold time that has run down.
///
/// A target that warms up registers again with every heartbeat, and forwarding
/// these registrations would cost as much as all other changes together.
fn is_redundant(old: &Item, new: &Item) -> bool {
    match (old, new) {
        (Item::Target(old), Item::Target(new)) => {
            new.cold <= old.cold && Registration { cold: old.cold, ..new.clone() } == *old
        }
        _ => old == new,
    }
}
