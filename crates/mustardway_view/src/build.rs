//! Builds the typed view from the text values of merged items.
//!
//! A key that a target does not set is taken from `[defaults target]`. If that
//! does not set it either, the default constant of this module applies.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::str::FromStr;

use mustardway_types::{address, domain, parse, revision, service, target, time};

use crate::merge::{Item, Merged, Value};
use crate::model::{Domain, DomainState, Limits, Service, Target, TargetState, View};
use crate::problem::{Kind, List, Location, Problem};
use crate::section::{Subject, key};
use crate::value;

/// Default weight of a target.
pub const WEIGHT_DEFAULT: u32 = 100;
/// Greatest weight of a target.
pub const WEIGHT_MAX: u32 = 1_000;
/// Default number of requests that a warm target runs at one time.
pub const SLOTS_DEFAULT: u32 = 2;
/// Greatest number of requests that a target may run at one time.
pub const SLOTS_MAX: u32 = 10_000;
/// Default number of requests that a cold target runs at one time.
pub const COLD_SLOTS_DEFAULT: u32 = 1;
/// Default number of open flows of a target.
pub const CONNECTIONS_DEFAULT: u32 = 2_000;
/// Greatest number of open flows of a target.
pub const CONNECTIONS_MAX: u32 = 1_000_000;
/// Default of the shortest time from cold to warm.
pub const WARM_UP_DEFAULT: time::Span = time::Span::seconds(30);
/// Greatest value of the shortest time from cold to warm.
pub const WARM_UP_MAX: time::Span = time::Span::seconds(3_600);
/// Default number of requests that may wait for a slot.
pub const QUEUE_DEFAULT: u32 = 4;
/// Greatest number of requests that may wait for a slot.
pub const QUEUE_MAX: u32 = 10_000;

/// Words for the state of a failure domain.
const DOMAIN_STATES: [(&str, DomainState); 2] =
    [("in", DomainState::In), ("out", DomainState::Out)];
/// Words for the state of a target.
const TARGET_STATES: [(&str, TargetState); 2] =
    [("serving", TargetState::Serving), ("leaving", TargetState::Leaving)];

/// Builds the view. Problems are added to `problems`, and items with problems are left out.
pub(crate) fn view(
    merged: &Merged,
    revision: revision::Number,
    digest: revision::Digest,
    problems: &mut List,
) -> View {
    let mut view = View { revision, digest, ..View::default() };
    view.domains = domains(merged, problems);
    services(merged, &mut view, problems);
    check_defaults(merged, problems);
    view.targets = targets(merged, problems);
    view
}

fn domains(merged: &Merged, problems: &mut List) -> BTreeMap<domain::Name, Domain> {
    let mut domains = BTreeMap::new();
    for (name, item) in merged.items(Subject::Domain) {
        let mut fields = Fields { item, defaults: None, problems: &mut *problems };
        let name = fields.name(name);
        let region: Option<domain::Name> = fields.required(key::REGION, value::parsed);
        let state = fields.with_default(key::STATE, DomainState::In, |text| {
            value::choice(text, &DOMAIN_STATES, &["in", "out"])
        });
        let (Some(name), Some(region), Some(state)) = (name, region, state) else {
            continue;
        };
        domains.insert(name, Domain { region: region.into(), state });
    }
    domains
}

fn services(merged: &Merged, view: &mut View, problems: &mut List) {
    let mut first_locations: BTreeMap<address::Address, Location> = BTreeMap::new();
    for (name, item) in merged.items(Subject::Service) {
        let mut fields = Fields { item, defaults: None, problems: &mut *problems };
        let name: Option<service::Name> = fields.name(name);
        let addresses = fields.required(key::ADDRESSES, value::unicast_address_list);
        let (Some(name), Some(addresses)) = (name, addresses) else {
            continue;
        };
        let location = item.value(key::ADDRESSES).map_or(&item.location, |value| &value.location);
        let addresses: Vec<_> = addresses.into_iter().map(address::Address).collect();
        for address in &addresses {
            match first_locations.entry(*address) {
                Entry::Vacant(vacant) => {
                    vacant.insert(location.clone());
                    view.addresses.insert(*address, name.clone());
                }
                Entry::Occupied(first) => {
                    let first = first.get().clone();
                    fields.report(key::ADDRESSES, Kind::AddressTwice { address: *address, first });
                }
            }
        }
        view.services.insert(name, Service { addresses });
    }
}

fn targets(merged: &Merged, problems: &mut List) -> BTreeMap<target::Id, Target> {
    let defaults = merged.defaults();
    let mut targets = BTreeMap::new();
    for (name, item) in merged.items(Subject::Target) {
        let mut fields = Fields { item, defaults, problems: &mut *problems };
        let name = fields.name(name);
        let target = target(&mut fields);
        let (Some(name), Some(target)) = (name, target) else {
            continue;
        };
        targets.insert(name, target);
    }
    targets
}

fn target(fields: &mut Fields<'_>) -> Option<Target> {
    let service = fields.required(key::SERVICE, value::parsed);
    let domain = fields.required(key::DOMAIN, value::parsed);
    let endpoint = fields.required(key::ENDPOINT, value::unicast_address);
    let state = target_state(fields);
    let weight = weight(fields);
    let limits = limits(fields);
    Some(Target {
        service: service?,
        domain: domain?,
        endpoint: endpoint?,
        state: state?,
        weight: weight?,
        limits: limits?,
    })
}

/// Checks the defaults, also if no target uses them.
fn check_defaults(merged: &Merged, problems: &mut List) {
    let Some(item) = merged.defaults() else {
        return;
    };
    let mut fields = Fields { item, defaults: None, problems };
    fields.optional(key::SERVICE, value::parsed::<service::Name>);
    fields.optional(key::DOMAIN, value::parsed::<domain::Name>);
    target_state(&mut fields);
    weight(&mut fields);
    limits(&mut fields);
}

fn target_state(fields: &mut Fields<'_>) -> Option<TargetState> {
    fields.with_default(key::STATE, TargetState::Serving, |text| {
        value::choice(text, &TARGET_STATES, &["serving", "leaving"])
    })
}

fn weight(fields: &mut Fields<'_>) -> Option<u32> {
    fields.with_default(key::WEIGHT, WEIGHT_DEFAULT, |text| value::number(text, 1, WEIGHT_MAX))
}

fn limits(fields: &mut Fields<'_>) -> Option<Limits> {
    let slots = |text: &str| value::number(text, 1, SLOTS_MAX);
    let connections = |text: &str| value::number(text, 1, CONNECTIONS_MAX);
    let warm_up = |text: &str| value::in_range(text, time::Span::ZERO, WARM_UP_MAX);
    let queue = |text: &str| value::number(text, 0, QUEUE_MAX);
    let slots_warm = fields.with_default(key::SLOTS, SLOTS_DEFAULT, slots);
    let slots_cold = fields.with_default(key::COLD_SLOTS, COLD_SLOTS_DEFAULT, slots);
    let connections = fields.with_default(key::CONNECTIONS, CONNECTIONS_DEFAULT, connections);
    let warm_up = fields.with_default(key::WARM_UP, WARM_UP_DEFAULT, warm_up);
    let queue = fields.with_default(key::QUEUE, QUEUE_DEFAULT, queue);
    let limits = Limits {
        slots: slots_warm?,
        cold_slots: slots_cold?,
        connections: connections?,
        warm_up: warm_up?,
        queue: queue?,
    };
    check_cold_slots(fields, &limits)?;
    Some(limits)
}

fn check_cold_slots(fields: &mut Fields<'_>, limits: &Limits) -> Option<()> {
    if limits.cold_slots <= limits.slots {
        return Some(());
    }
    let kind = Kind::ColdSlots { cold: limits.cold_slots, slots: limits.slots };
    let own_value =
        [key::COLD_SLOTS, key::SLOTS].into_iter().find_map(|key| fields.item.value(key));
    let Some(value) = own_value else {
        // Both values come from the defaults, and `check_defaults` reports the problem there.
        return None;
    };
    let problem = Problem::new(kind).at(&value.location).in_section(&fields.item.section);
    fields.problems.push(problem.with_key(key::COLD_SLOTS));
    None
}

/// Parses the keys of one item.
struct Fields<'a> {
    item: &'a Item,
    defaults: Option<&'a Item>,
    problems: &'a mut List,
}

impl<'a> Fields<'a> {
    /// Returns the name of the item as its type, or reports why it is invalid.
    fn name<T: FromStr<Err = parse::Error>>(&mut self, name: &str) -> Option<T> {
        match name.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                let problem = Problem::new(Kind::Value(error)).at(&self.item.location);
                self.problems.push(problem.in_section(&self.item.section));
                None
            }
        }
    }

    /// Returns the value of a key that must be set. If it is missing or invalid, a problem is
    /// reported.
    fn required<T>(&mut self, key: &str, parse: fn(&str) -> Result<T, Kind>) -> Option<T> {
        if let Some(value) = self.optional(key, parse)? {
            return Some(value);
        }
        let defaults = self.defaults.and_then(|defaults| defaults.taken_back(key));
        let kind = match self.item.taken_back(key).or(defaults) {
            Some(by) => Kind::KeyTakenBack { by: by.clone() },
            None => Kind::MissingKey,
        };
        let problem = Problem::new(kind).at(&self.item.location).in_section(&self.item.section);
        self.problems.push(problem.with_key(key));
        None
    }

    /// Returns the value of a key that may be set, `Some(None)` if it is not set. If it is invalid,
    /// a problem is reported and `None` is returned.
    fn optional<T>(&mut self, key: &str, parse: fn(&str) -> Result<T, Kind>) -> Option<Option<T>> {
        let Some((_, value)) = find_value(self.item, self.defaults, key) else {
            return Some(None);
        };
        match parse(&value.text) {
            Ok(value) => Some(Some(value)),
            Err(kind) => {
                self.report(key, kind);
                None
            }
        }
    }

    /// Returns the value of a key that may be set, or `default` if it is not set. If it is
    /// invalid, a problem is reported.
    fn with_default<T>(
        &mut self,
        key: &str,
        default: T,
        parse: fn(&str) -> Result<T, Kind>,
    ) -> Option<T> {
        Some(self.optional(key, parse)?.unwrap_or(default))
    }

    /// Reports a problem on the line that set `key`.
    fn report(&mut self, key: &str, kind: Kind) {
        let problem = match find_value(self.item, self.defaults, key) {
            Some((item, value)) => Problem::new(kind).at(&value.location).in_section(&item.section),
            None => Problem::new(kind).at(&self.item.location).in_section(&self.item.section),
        };
        self.problems.push(problem.with_key(key));
    }
}

/// Returns the value of `key` and the item that sets it: `item` itself or its defaults.
pub(crate) fn find_value<'a>(
    item: &'a Item,
    defaults: Option<&'a Item>,
    key: &str,
) -> Option<(&'a Item, &'a Value)> {
    if let Some(value) = item.value(key) {
        return Some((item, value));
    }
    let defaults = defaults?;
    Some((defaults, defaults.value(key)?))
}
