//! The choice of the targets in the next summary of a root.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use crate::key;
use crate::message::ENTRIES_MAX;
use crate::view::TargetLoad;

/// Relative change of an estimate that is sent at once.
const NOTABLE_CHANGE: f64 = 0.1;
/// Number of summaries that say that a target is usual again. An instance that gets none of
/// them has a summary that is too old, and forgets the estimates of all targets.
const RECOVERY_REPEATS: u32 = 6;

/// The targets that have been sent.
#[derive(Debug, Default)]
pub struct Schedule {
    /// Slowness and share of short answers as last sent.
    sent: BTreeMap<key::Target, (f64, f64)>,
    /// Targets that are usual again, with the number of summaries that are still to say so.
    recovered: BTreeMap<key::Target, u32>,
    /// Key from which on the next targets are sent in turn.
    next_in_turn: Option<key::Target>,
}

impl Schedule {
    /// Starts anew with the estimates that the other instances know.
    pub fn restart(&mut self, known: &FxHashMap<key::Target, TargetLoad>) {
        let sent = known.iter().map(|(key, load)| (*key, (load.slowness, load.short_share)));
        *self = Schedule { sent: sent.collect(), ..Schedule::default() };
    }

    /// Chooses the targets of the next summary: those whose estimates have changed, then those
    /// that have recovered lately, and then the others in turn. `notable` are all targets
    /// with notable estimates.
    pub fn choose(
        &mut self,
        notable: &FxHashMap<key::Target, TargetLoad>,
    ) -> Vec<(key::Target, TargetLoad)> {
        let notable: BTreeMap<key::Target, TargetLoad> =
            notable.iter().map(|(key, load)| (*key, *load)).collect();
        let mut chosen: BTreeMap<key::Target, TargetLoad> = BTreeMap::new();
        self.choose_changed(&notable, &mut chosen);
        self.choose_recovered(&notable, &mut chosen);
        let start = self.next_in_turn.unwrap_or(key::Target(0));
        for (key, load) in notable.range(start..).chain(notable.range(..start)) {
            if chosen.len() >= ENTRIES_MAX {
                self.next_in_turn = Some(*key);
                break;
            }
            chosen.entry(*key).or_insert_with(|| *load);
        }
        chosen.into_iter().collect()
    }

    fn choose_changed(
        &mut self,
        notable: &BTreeMap<key::Target, TargetLoad>,
        chosen: &mut BTreeMap<key::Target, TargetLoad>,
    ) {
        for (key, load) in notable {
            if chosen.len() >= ENTRIES_MAX {
                return;
            }
            let is_unchanged = self.sent.get(key).is_some_and(|(slowness, short)| {
                (load.slowness / slowness - 1.0).abs() <= NOTABLE_CHANGE
                    && (load.short_share - short).abs() <= NOTABLE_CHANGE
            });
            if is_unchanged {
                continue;
            }
            self.sent.insert(*key, (load.slowness, load.short_share));
            chosen.insert(*key, *load);
        }
    }

    fn choose_recovered(
        &mut self,
        notable: &BTreeMap<key::Target, TargetLoad>,
        chosen: &mut BTreeMap<key::Target, TargetLoad>,
    ) {
        let recovered = &mut self.recovered;
        self.sent.retain(|key, _| {
            let is_notable = notable.contains_key(key);
            if !is_notable {
                recovered.insert(*key, RECOVERY_REPEATS);
            }
            is_notable
        });
        recovered.retain(|key, repeats| {
            if notable.contains_key(key) {
                return false;
            }
            if chosen.len() < ENTRIES_MAX {
                chosen.insert(*key, TargetLoad::default());
                *repeats -= 1;
            }
            *repeats > 0
        });
    }
}
