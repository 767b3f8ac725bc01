//! Reconciliation of a replica with a platform that was restored from a copy.
//!
//! The copy is some seconds old. What was published since is missing until the
//! operator and the targets publish it again, and what was removed since is listed.
//! Until then the replica keeps what it knows for certain:
//!
//! - A configuration is never replaced by an older one.
//! - An evacuation that the copy lacks stays in force for [`REWRITE_TIME`]: traffic to
//!   an evacuated failure domain violates a guarantee, while a late return only costs
//!   capacity.
//! - A target that announced that it leaves stays leaving, and one that has left, or
//!   whose address another target has taken, does not come back. Its process is told
//!   from a later one by its start time.
//! - An evacuation that was ended does not come back.
//!
//! An item of the copy that is set aside is used once it is published again, or if it
//! is still listed after [`REWRITE_TIME`], since registrations of processes that have
//! ended expire sooner.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use mustardway_types::revision::Number;
use mustardway_types::time::Span;
use mustardway_types::{domain, target};

use crate::publication::{Change, Item, Key, Registration, Update};

/// Time within which the operator and the targets publish again what the copy lacks.
/// Targets need two seconds.
pub const REWRITE_TIME: Span = Span::seconds(5);
/// Number of an item that is kept from an earlier era, although the platform's copy
/// lacks or contradicts it.
pub(crate) const KEPT: Number = Number(0);
/// Maximum number of targets that left that are remembered.
const LEFT_MAX: usize = 512;

/// What was removed in the current era, to recognise it in a copy.
#[derive(Debug, Default)]
pub(crate) struct Ended {
    /// Targets that left after they had announced it.
    left: BTreeMap<target::Id, Registration>,
    /// Number under which each evacuation was published that has ended since.
    evacuations: BTreeMap<domain::Name, Number>,
}

impl Ended {
    /// Records that the item published under `number` was removed.
    pub(crate) fn record(&mut self, number: Number, item: &Item) {
        match item {
            Item::Target(registration) if registration.leaving => {
                if self.left.len() >= LEFT_MAX {
                    self.left.pop_first();
                }
                self.left.insert(registration.id.clone(), registration.clone());
            }
            Item::Evacuated(domain) => {
                self.evacuations.insert(domain.clone(), number);
            }
            Item::Target(_) | Item::Configuration(_) => {}
        }
    }

    fn has_left(&self, registration: &Registration) -> bool {
        let known = self.left.get(&registration.id);
        known.is_some_and(|known| known.is_same_process(registration))
    }

    fn has_ended(&self, domain: &domain::Name, number: Number) -> bool {
        self.evacuations.get(domain) == Some(&number)
    }
}

/// The items of a copy, sorted by what to do with them.
#[derive(Debug, Default)]
pub(crate) struct Reconciled {
    /// Items to use, some of them under the number [`KEPT`].
    pub(crate) used: Vec<Update>,
    /// Items of the copy to set aside.
    pub(crate) set_aside: BTreeMap<Key, (Number, Item)>,
    /// Version of the copy's configuration if it is older than the known one.
    pub(crate) older_configuration: Option<u64>,
}

/// Compares the `items` of a copy with the `known` items.
pub(crate) fn reconcile(
    known: &BTreeMap<Key, (Number, Item)>,
    ended: &Ended,
    items: Vec<Update>,
) -> Reconciled {
    let owners = owners_of_addresses(known);
    let mut result = Reconciled::default();
    let mut listed = BTreeMap::new();
    for update in items {
        if let Change::Put(item) = update.change {
            listed.insert(item.key(), (update.number, item));
        }
    }
    for (key, (_, item)) in known {
        if !listed.contains_key(key) && !matches!(item, Item::Target(_)) {
            result.used.push(Update { number: KEPT, change: Change::Put(item.clone()) });
        }
    }
    for (key, (number, item)) in listed {
        let known = known.get(&key).map(|(_, item)| item);
        if let (Item::Configuration(listed), Some(Item::Configuration(latest))) = (&item, known)
            && listed.version < latest.version
        {
            result.older_configuration = Some(listed.version);
            let change = Change::Put(Item::Configuration(Arc::clone(latest)));
            result.used.push(Update { number: KEPT, change });
            continue;
        }
        let is_outdated = match (&item, known) {
            (Item::Target(listed), Some(Item::Target(known))) => {
                let left_since = known.leaving && !listed.leaving;
                started_before(listed, known) || known.is_same_process(listed) && left_since
            }
            (Item::Target(listed), _) => {
                let owner = owners.get(&listed.address);
                let has_left = ended.has_left(listed) && !listed.leaving;
                has_left || owner.is_some_and(|owner| started_before(listed, owner))
            }
            (Item::Evacuated(domain), None) => ended.has_ended(domain, number),
            (Item::Evacuated(_) | Item::Configuration(_), _) => false,
        };
        if !is_outdated {
            result.used.push(Update { number, change: Change::Put(item) });
            continue;
        }
        if let Some(known) = known {
            result.used.push(Update { number: KEPT, change: Change::Put(known.clone()) });
        }
        result.set_aside.insert(key, (number, item));
    }
    result
}

/// Returns the latest target at each address.
fn owners_of_addresses(
    known: &BTreeMap<Key, (Number, Item)>,
) -> BTreeMap<SocketAddrV4, &Registration> {
    let mut owners: BTreeMap<SocketAddrV4, &Registration> = BTreeMap::new();
    for (_, item) in known.values() {
        let Item::Target(registration) = item else { continue };
        let owner = owners.entry(registration.address).or_insert(registration);
        if started_before(owner, registration) {
            *owner = registration;
        }
    }
    owners
}

/// Returns whether `first` is known to have started before `second`.
fn started_before(first: &Registration, second: &Registration) -> bool {
    first.born.zip(second.born).is_some_and(|(first, second)| first < second)
}
