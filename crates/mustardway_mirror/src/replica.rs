//! The local replica of the published state, with a bounded history of changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use mustardway_types::revision::{Era, Number, Version};
use mustardway_types::target;
use mustardway_types::time::{Instant, Span};

use crate::publication::{Change, Item, Key, Registration, Update};
use crate::restoration::{self, Ended, KEPT};

/// Number of changes kept for peers that are behind. Peers that are further
/// behind get the full state.
const HISTORY_MAX: usize = 512;
/// Maximum time from a registration until the platform is read. The end of a cold time
/// seems later by as much.
const READ_DELAY_MAX: Span = Span::millis(1_500);

/// The latest published state known to this instance and the changes that led
/// to it.
#[derive(Debug, Default)]
pub struct Replica {
    era: Era,
    number: Number,
    /// Items with the numbers under which they were published in this era, or
    /// [`KEPT`].
    items: BTreeMap<Key, (Number, Item)>,
    /// Items of the copy that the platform was restored from that are not used yet.
    set_aside: BTreeMap<Key, (Number, Item)>,
    ended: Ended,
    /// Version of a published configuration that is older than the one in force.
    older_configuration: Option<u64>,
    history: VecDeque<Update>,
    /// The history holds every change after this number.
    history_start: Number,
    /// Removed registrations that [`Replica::take_removed`] has not returned yet.
    removed: Vec<Registration>,
    /// Times until which targets are cold, as told by changes that had an effect.
    cold_until: BTreeMap<target::Id, Instant>,
}

/// Where changes come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// A read of the platform or a full state, which repeat registrations without news.
    Read,
    /// Changes from a peer, each of which had an effect there.
    Forwarded,
}

/// The effect of entering an era.
#[derive(Debug)]
pub struct Restored {
    /// Changes that had an effect on this replica.
    pub effective: Vec<Change>,
    /// Updates for replicas that had the same version before: the changes and the items
    /// that are kept, under the number [`KEPT`].
    pub updates: Vec<Update>,
}

impl Replica {
    /// Returns the platform's change count that this state includes, or 0 before
    /// the first state arrives.
    pub fn number(&self) -> Number {
        self.number
    }

    /// Returns the era and the number of this state.
    pub fn version(&self) -> Version {
        Version { era: self.era, number: self.number }
    }

    /// Returns the version of the published configuration if it is older than the one
    /// in force.
    pub fn older_configuration(&self) -> Option<u64> {
        self.older_configuration
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
    pub fn full_state(&self, now: Instant) -> Vec<Update> {
        let put = |(number, item): &(Number, Item)| Update {
            number: *number,
            change: Change::Put(item.clone()),
        };
        let updates = self.items.values().map(put);
        updates.map(|update| self.with_remaining_cold_time(update, now)).collect()
    }

    /// Returns whether the history holds all changes after `version`.
    pub fn has_changes_after(&self, version: Version) -> bool {
        version.era == self.era && version.number >= self.history_start && !version.is_empty()
    }

    /// Returns the changes after `version`, or `None` if the history no longer
    /// holds all of them.
    pub fn changes_after(&self, version: Version, now: Instant) -> Option<Vec<Update>> {
        if !self.has_changes_after(version) {
            return None;
        }
        let changes = self.history.iter().filter(|update| update.number > version.number);
        let changes = changes.map(|update| self.with_remaining_cold_time(update.clone(), now));
        Some(drop_superseded_configurations(changes.collect()))
    }

    /// Reduces the cold time of a registration, which is as of its publication, to what is
    /// left of it.
    fn with_remaining_cold_time(&self, mut update: Update, now: Instant) -> Update {
        if let Change::Put(Item::Target(registration)) = &mut update.change {
            let until = self.cold_until.get(&registration.id).copied().unwrap_or_default();
            registration.cold = registration.cold.min(until.since(now));
        }
        update
    }

    /// Shortens the remaining cold times by a pause that the clock has missed.
    pub fn skip_pause(&mut self, missed: Span) {
        for until in self.cold_until.values_mut() {
            *until = *until - missed;
        }
    }

    /// Applies changes up to `number` that the platform answered with, and returns those
    /// that had an effect.
    pub fn apply_changes(
        &mut self,
        number: Number,
        changes: Vec<Update>,
        now: Instant,
    ) -> Vec<Change> {
        self.merge_later(number, changes, Source::Read, now)
    }

    /// Applies changes up to `number` that a peer sent, and returns those that had an
    /// effect.
    pub fn follow_changes(
        &mut self,
        number: Number,
        changes: Vec<Update>,
        now: Instant,
    ) -> Vec<Change> {
        self.merge_later(number, changes, Source::Forwarded, now)
    }

    fn merge_later(
        &mut self,
        number: Number,
        mut changes: Vec<Update>,
        source: Source,
        now: Instant,
    ) -> Vec<Change> {
        // Older changes are already applied, or were reverted by a later one.
        changes.retain(|update| update.number > self.number);
        self.merge(number, changes, source, now)
    }

    fn merge(
        &mut self,
        number: Number,
        changes: Vec<Update>,
        source: Source,
        now: Instant,
    ) -> Vec<Change> {
        let mut effective = Vec::new();
        for update in drop_superseded_configurations(changes) {
            if self.apply(&update, source, now) {
                effective.push(update.change);
            }
        }
        self.number = self.number.max(number);
        effective
    }

    /// Applies the full state as of `number`, which removes every item that it
    /// lacks, and returns the changes that had an effect.
    pub fn apply_full_state(
        &mut self,
        number: Number,
        items: Vec<Update>,
        now: Instant,
    ) -> Vec<Change> {
        let effective = self.replace_items(number, items, &[], now);
        // A full state does not show items that were published and removed in
        // between, so peers that are behind `number` get the full state.
        self.history.retain(|update| update.number > number);
        self.history_start = self.history_start.max(number);
        effective
    }

    /// Enters the era of `version` with the full state that the platform was restored
    /// to.
    pub fn restore(&mut self, version: Version, items: Vec<Update>, now: Instant) -> Restored {
        let kept_before = self.kept_keys();
        let reconciled = restoration::reconcile(&self.items, &self.ended, items);
        self.enter_era(version);
        self.set_aside = reconciled.set_aside;
        self.older_configuration = reconciled.older_configuration;
        for update in &reconciled.used {
            self.number_unchanged(update, now);
        }
        let (kept, listed): (Vec<_>, Vec<_>) =
            reconciled.used.into_iter().partition(|update| update.number == KEPT);
        let keys: Vec<Key> = kept.iter().map(|update| update.change.key()).collect();
        let mut effective = self.replace_items(version.number, listed, &keys, now);
        let mut updates = Vec::new();
        for change in &effective {
            let number = self.items.get(&change.key()).map_or(version.number, |(at, _)| *at);
            updates.push(Update { number, change: change.clone() });
        }
        for update in kept {
            if self.keep(&update, now) {
                effective.push(update.change.clone());
            }
            updates.push(update);
        }
        // Replicas of the same version may lack what only this one kept.
        for key in kept_before {
            if updates.iter().all(|update| update.change.key() != key)
                && let Some((number, item)) = self.items.get(&key)
            {
                updates.push(Update { number: *number, change: Change::Put(item.clone()) });
            }
        }
        self.history.clear();
        Restored { effective, updates }
    }

    /// Returns the keys of the items that are kept from an earlier era.
    fn kept_keys(&self) -> BTreeSet<Key> {
        let kept = self.items.iter().filter(|(_, (number, _))| *number == KEPT);
        kept.map(|(key, _)| key.clone()).collect()
    }

    /// Enters the era of `version` with the updates that [`Replica::restore`] returned
    /// to an instance that had the same state before, and returns the changes that had
    /// an effect.
    pub fn follow_restore(
        &mut self,
        version: Version,
        updates: Vec<Update>,
        now: Instant,
    ) -> Vec<Change> {
        let kept_before = self.kept_keys();
        self.enter_era(version);
        let (kept, changes): (Vec<_>, Vec<_>) =
            updates.into_iter().partition(|update| update.number == KEPT);
        let mut effective = self.merge(version.number, changes, Source::Forwarded, now);
        // The exact numbers of the other items are not known here. They are current as
        // of the version, unless only this instance kept them.
        for (key, (number, _)) in &mut self.items {
            if *number == KEPT && !kept_before.contains(key) {
                *number = version.number;
            }
        }
        for update in kept {
            if self.keep(&update, now) {
                effective.push(update.change);
            }
        }
        self.history.clear();
        effective
    }

    /// Sets the number of an item that the platform's copy lists unchanged.
    fn number_unchanged(&mut self, listed: &Update, now: Instant) {
        let Change::Put(item) = &listed.change else { return };
        let cold_until = self.cold_until(item);
        if let Some((number, known)) = self.items.get_mut(&item.key())
            && is_redundant(known, item, cold_until, now)
        {
            *number = listed.number;
        }
    }

    /// Keeps an item that is not published in this era. Returns whether that had an
    /// effect.
    fn keep(&mut self, update: &Update, now: Instant) -> bool {
        let Change::Put(item) = &update.change else { return false };
        let known = self.items.get(&item.key());
        if known.is_some_and(|(_, known)| older_configuration(known, item).is_some()) {
            return false;
        }
        let is_known =
            known.is_some_and(|(_, known)| is_redundant(known, item, self.cold_until(item), now));
        self.items.insert(item.key(), (KEPT, item.clone()));
        if !is_known {
            self.record_cold_time(item, now);
        }
        !is_known
    }

    /// Returns the time until which the target of a registration is known to be cold.
    fn cold_until(&self, item: &Item) -> Option<Instant> {
        let Item::Target(registration) = item else { return None };
        self.cold_until.get(&registration.id).copied()
    }

    /// Records until when the target of a registration is cold.
    fn record_cold_time(&mut self, item: &Item, now: Instant) {
        let Item::Target(registration) = item else { return };
        if registration.cold > Span::ZERO {
            self.cold_until.insert(registration.id.clone(), now + registration.cold);
        } else {
            self.cold_until.remove(&registration.id);
        }
    }

    fn enter_era(&mut self, version: Version) {
        self.era = version.era;
        self.number = Number(0);
        for (number, _) in self.items.values_mut() {
            *number = KEPT;
        }
        self.history.clear();
        self.history_start = version.number;
        self.set_aside.clear();
    }

    /// Ends the time in which a restored platform is published to again: evacuations
    /// that were not published again end, and items that were set aside are used.
    pub fn finish_restore(&mut self) -> Vec<Change> {
        let mut changes = Vec::new();
        for (key, (number, item)) in &self.items {
            if *number == KEPT && matches!(item, Item::Evacuated(_)) {
                changes.push(Change::Removed(key.clone()));
            }
        }
        for change in &changes {
            self.items.remove(&change.key());
        }
        for (key, (number, item)) in std::mem::take(&mut self.set_aside) {
            changes.push(Change::Put(item.clone()));
            self.items.insert(key, (number, item));
        }
        // These changes have no number of their own, so peers that are behind get the
        // full state.
        self.history.clear();
        self.history_start = self.number;
        changes
    }

    /// Replaces all items but those under `kept` keys by `items`, and returns the
    /// changes that had an effect.
    fn replace_items(
        &mut self,
        number: Number,
        items: Vec<Update>,
        kept: &[Key],
        now: Instant,
    ) -> Vec<Change> {
        let mut absent: BTreeSet<Key> = self.items.keys().cloned().collect();
        for key in kept {
            absent.remove(key);
        }
        for update in &items {
            absent.remove(&update.change.key());
        }
        let mut effective = self.merge(number, items, Source::Read, now);
        for key in absent {
            // An item with a later number was published after the full state was read.
            if self.items.get(&key).is_some_and(|(at, _)| *at > number) {
                continue;
            }
            let change = Change::Removed(key);
            if self.apply(&Update { number, change: change.clone() }, Source::Read, now) {
                effective.push(change);
            }
        }
        effective
    }

    /// Applies one change and returns whether it had an effect.
    fn apply(&mut self, update: &Update, source: Source, now: Instant) -> bool {
        let key = update.change.key();
        if self.set_aside.get(&key).is_some_and(|(number, _)| *number >= update.number) {
            return false;
        }
        self.set_aside.remove(&key);
        let known = self.items.get(&key);
        if update.number == KEPT && known.is_some_and(|(_, old)| is_newer(old, &update.change)) {
            return self.keep(update, now);
        }
        if known.is_some_and(|(number, _)| *number >= update.number) {
            return false;
        }
        match &update.change {
            Change::Put(item) => {
                let older = known.and_then(|(_, old)| older_configuration(old, item));
                if matches!(item, Item::Configuration(_)) {
                    self.older_configuration = older;
                }
                if older.is_some() {
                    return false;
                }
                // An item that was kept from an earlier era is news to instances that
                // have started since.
                let is_redundant = source == Source::Read
                    && known.is_some_and(|(number, old)| {
                        *number != KEPT && is_redundant(old, item, self.cold_until(item), now)
                    });
                self.items.insert(key, (update.number, item.clone()));
                if is_redundant {
                    return false;
                }
                self.record_cold_time(item, now);
            }
            Change::Removed(_) => {
                let Some((number, item)) = self.items.remove(&key) else { return false };
                self.ended.record(number, &item);
                if let Item::Target(registration) = item {
                    self.cold_until.remove(&registration.id);
                    self.removed.push(registration);
                }
            }
        }
        self.record(update.clone());
        true
    }

    /// Appends a change to the history and drops the oldest one if it is full. Of several
    /// configurations only the last one is ever sent, and a large one takes a megabyte.
    fn record(&mut self, update: Update) {
        if update.change.key() == Key::Configuration {
            self.history.retain(|known| known.change.key() != Key::Configuration);
        }
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

/// Returns the version of the configuration `new` if it is older than `old`.
fn older_configuration(old: &Item, new: &Item) -> Option<u64> {
    match (old, new) {
        (Item::Configuration(old), Item::Configuration(new)) => {
            (new.version < old.version).then_some(new.version)
        }
        _ => None,
    }
}

/// Returns whether `change` publishes a later configuration than `old`.
fn is_newer(old: &Item, change: &Change) -> bool {
    let Change::Put(item) = change else { return false };
    older_configuration(item, old).is_some()
}

/// Returns whether `new` equals `old` apart from a cold time that has run down, where the
/// target is known to be cold until `cold_until`.
///
/// A target that warms up registers again with every heartbeat, and forwarding
/// these registrations would cost as much as all other changes together. A target that
/// is cold once more has to become known to all instances: its cold time is longer than in
/// the last registration, or, if this instance has not read all of them, ends later than
/// the known one.
fn is_redundant(old: &Item, new: &Item, cold_until: Option<Instant>, now: Instant) -> bool {
    match (old, new) {
        (Item::Target(old), Item::Target(new)) => {
            let latest_end = cold_until.unwrap_or_default() + READ_DELAY_MAX;
            let is_cold_again =
                new.cold > old.cold || new.cold > Span::ZERO && now + new.cold > latest_end;
            !is_cold_again && Registration { cold: old.cold, ..new.clone() } == *old
        }
        _ => old == new,
    }
}
