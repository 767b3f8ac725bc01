//! The latest published state that is known here, and the changes that led to it.

use std::collections::{BTreeMap, VecDeque};

use mustardway_types::revision::Number;

use crate::publication::{Change, Item, Key, Registration, Update};

/// Changes that are kept for peers that are behind; those further behind get
/// the whole state.
const HISTORY_MAX: usize = 512;

/// The latest published state and the changes that led to it.
#[derive(Debug, Default)]
pub struct Replica {
    number: Number,
    items: BTreeMap<Key, (Number, Item)>,
    history: VecDeque<Update>,
    /// The history has every change after this number.
    since: Number,
    /// Registrations that were removed and not yet asked for.
    removed: Vec<Registration>,
}

impl Replica {
    /// The platform's count of changes that this state includes; 0 before any.
    pub fn number(&self) -> Number {
        self.number
    }

    /// All items.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values().map(|(_, item)| item)
    }

    /// Whether a configuration is known.
    pub fn is_configured(&self) -> bool {
        self.items.contains_key(&Key::Configuration)
    }

    /// Registrations that were removed since the last call.
    pub fn take_removed(&mut self) -> Vec<Registration> {
        std::mem::take(&mut self.removed)
    }

    /// All items as changes, for a peer that knows nothing.
    pub fn whole(&self) -> Vec<Update> {
        let put = |(number, item): &(Number, Item)| Update {
            number: *number,
            change: Change::Put(item.clone()),
        };
        self.items.values().map(put).collect()
    }

    /// The changes after `number`, where all of them are still known.
    pub fn after(&self, number: Number) -> Option<Vec<Update>> {
        if number < self.since || number.0 == 0 {
            return None;
        }
        let changes = self.history.iter().filter(|update| update.number > number);
        Some(latest(changes.cloned().collect()))
    }

    /// Takes changes up to `number` and returns those that were news.
    pub fn advance(&mut self, number: Number, mut changes: Vec<Update>) -> Vec<Change> {
        // Older ones are in this copy, or were undone since.
        changes.retain(|update| update.number > self.number);
        self.merge(number, changes)
    }

    fn merge(&mut self, number: Number, changes: Vec<Update>) -> Vec<Change> {
        let mut news = Vec::new();
        for update in latest(changes) {
            if self.take(&update) {
                news.push(update.change);
            }
        }
        self.number = self.number.max(number);
        news
    }

    /// Takes the whole state as of `number`: what it lacks is gone.
    pub fn replace(&mut self, number: Number, items: Vec<Update>) -> Vec<Change> {
        let mut absent: Vec<Key> = self.items.keys().cloned().collect();
        for update in &items {
            let key = update.change.key();
            absent.retain(|other| *other != key);
        }
        let mut news = self.merge(number, items);
        for key in absent {
            // An item that is newer than the answer was published after it.
            if self.items.get(&key).is_some_and(|(at, _)| *at > number) {
                continue;
            }
            let change = Change::Removed(key);
            if self.take(&Update { number, change: change.clone() }) {
                news.push(change);
            }
        }
        // What came and went before is not known, so peers that are further behind
        // get the whole state.
        self.history.retain(|update| update.number > number);
        self.since = self.since.max(number);
        news
    }

    /// Takes one change; whether it was news.
    fn take(&mut self, update: &Update) -> bool {
        let key = update.change.key();
        let known = self.items.get(&key);
        if known.is_some_and(|(number, _)| *number >= update.number) {
            return false;
        }
        match &update.change {
            Change::Put(item) => {
                let same = known.is_some_and(|(_, old)| is_expected(old, item));
                self.items.insert(key, (update.number, item.clone()));
                if same {
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
        self.remember(update.clone());
        true
    }

    fn remember(&mut self, update: Update) {
        if self.history.len() == HISTORY_MAX
            && let Some(oldest) = self.history.pop_front()
        {
            self.since = self.since.max(oldest.number);
        }
        self.history.push_back(update);
    }
}

/// `changes` without configurations that a later one among them replaces. A burst
/// of these would otherwise be sent whole to every peer. All other changes stay:
/// an item that went and came back has to reach those who saw it go.
fn latest(mut changes: Vec<Update>) -> Vec<Update> {
    let is_configuration = |update: &Update| update.change.key() == Key::Configuration;
    let last = changes.iter().rev().find(|update| is_configuration(update));
    if let Some(last) = last.map(|update| update.number) {
        changes.retain(|update| !is_configuration(update) || update.number == last);
    }
    changes
}

/// Whether `new` tells nothing that `old` did not: it is the same, but for a time
/// that passes by itself. A target that warms up registers anew with every
/// heartbeat, and passing that on would cost as much as all else together.
fn is_expected(old: &Item, new: &Item) -> bool {
    match (old, new) {
        (Item::Target(old), Item::Target(new)) => {
            new.cold <= old.cold && Registration { cold: old.cold, ..new.clone() } == *old
        }
        _ => old == new,
    }
}
