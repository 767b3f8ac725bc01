//! Typed values from the text of merged items.
//!
//! A key that a target lacks is taken from `[defaults target]`, and one that
//! this lacks too from the constants here.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use mustardway_types::{address, domain, parse, revision, service, target, time};

use crate::merge::{Item, Merged, Value};
use crate::model::{Domain, DomainState, Limits, Service, Target, TargetState, View};
use crate::problem::{Choices, Kind, List, Problem, Site};
use crate::section::{Subject, key};

/// Weight of a target that states none.
pub const WEIGHT_DEFAULT: u32 = 100;
/// Greatest weight.
pub const WEIGHT_MAX: u32 = 1_000;
/// Requests that a warm target runs at one time, where none is stated.
pub const SLOTS_DEFAULT: u32 = 2;
/// Most requests that a target may run at one time.
pub const SLOTS_MAX: u32 = 10_000;
/// Requests that a cold target runs at one time, where none is stated.
pub const COLD_SLOTS_DEFAULT: u32 = 1;
/// Open flows of a target that states none.
pub const CONNECTIONS_DEFAULT: u32 = 2_000;
/// Most open flows of a target.
pub const CONNECTIONS_MAX: u32 = 1_000_000;
/// Shortest time from cold to warm, where none is stated.
pub const WARM_UP_DEFAULT: time::Span = time::Span::seconds(30);
/// Longest time from cold to warm that may be stated.
pub const WARM_UP_MAX: time::Span = time::Span::seconds(3_600);
/// Requests that wait for a slot, where none is stated.
pub const QUEUE_DEFAULT: u32 = 4;
/// Most requests that may wait for a slot.
pub const QUEUE_MAX: u32 = 10_000;

/// Words for the state of a failure domain.
const DOMAIN_STATES: [(&str, DomainState); 2] =
    [("in", DomainState::In), ("out", DomainState::Out)];
/// Words for the state of a target.
const TARGET_STATES: [(&str, TargetState); 2] =
    [("serving", TargetState::Serving), ("leaving", TargetState::Leaving)];

/// What an address or endpoint must be.
const REACHABLE: &str = "IP address of one host with a port, such as 10.0.0.7:443";
/// What a number must be.
const NUMBER: &str = "whole number";

/// Builds the typed items; problems go to `problems` and their items are left out.
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
        let region: Option<domain::Name> = fields.required(key::REGION, parse_text);
        let state = fields.choice(key::STATE, &DOMAIN_STATES, Choices(&["in", "out"]));
        let (Some(name), Some(region), Some(state)) = (name, region, state) else {
            continue;
        };
        domains.insert(name, Domain { region: region.into(), state });
    }
    domains
}

fn services(merged: &Merged, view: &mut View, problems: &mut List) {
    let mut first_sites: BTreeMap<address::Address, Site> = BTreeMap::new();
    for (name, item) in merged.items(Subject::Service) {
        let mut fields = Fields { item, defaults: None, problems: &mut *problems };
        let name: Option<service::Name> = fields.name(name);
        let addresses = fields.required(key::ADDRESSES, parse_addresses);
        let (Some(name), Some(addresses)) = (name, addresses) else {
            continue;
        };
        let site = item.value(key::ADDRESSES).map_or(&item.site, |value| &value.site);
        for address in &addresses {
            match first_sites.entry(*address) {
                Entry::Vacant(vacant) => {
                    vacant.insert(site.clone());
                    view.addresses.insert(*address, name.clone());
                }
                Entry::Occupied(first) => {
                    let first = first.get().clone();
                    fields.fail(key::ADDRESSES, Kind::AddressTwice { address: *address, first });
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
    let service = fields.required(key::SERVICE, parse_text);
    let domain = fields.required(key::DOMAIN, parse_text);
    let endpoint = fields.required(key::ENDPOINT, parse_reachable);
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

/// Checks the defaults also where no target takes them.
fn check_defaults(merged: &Merged, problems: &mut List) {
    let Some(item) = merged.defaults() else {
        return;
    };
    let mut fields = Fields { item, defaults: None, problems };
    fields.optional(key::SERVICE, parse_text::<service::Name>);
    fields.optional(key::DOMAIN, parse_text::<domain::Name>);
    target_state(&mut fields);
    weight(&mut fields);
    limits(&mut fields);
}

fn target_state(fields: &mut Fields<'_>) -> Option<TargetState> {
    fields.choice(key::STATE, &TARGET_STATES, Choices(&["serving", "leaving"]))
}

fn weight(fields: &mut Fields<'_>) -> Option<u32> {
    fields.number(key::WEIGHT, 1, WEIGHT_MAX, WEIGHT_DEFAULT)
}

fn limits(fields: &mut Fields<'_>) -> Option<Limits> {
    let slots = fields.number(key::SLOTS, 1, SLOTS_MAX, SLOTS_DEFAULT);
    let cold_slots = fields.number(key::COLD_SLOTS, 1, SLOTS_MAX, COLD_SLOTS_DEFAULT);
    let connections = fields.number(key::CONNECTIONS, 1, CONNECTIONS_MAX, CONNECTIONS_DEFAULT);
    let warm_up = fields.optional(key::WARM_UP, parse_warm_up);
    let queue = fields.number(key::QUEUE, 0, QUEUE_MAX, QUEUE_DEFAULT);
    let limits = Limits {
        slots: slots?,
        cold_slots: cold_slots?,
        connections: connections?,
        warm_up: warm_up?.unwrap_or(WARM_UP_DEFAULT),
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
    let set_here = [key::COLD_SLOTS, key::SLOTS].into_iter().find_map(|key| fields.item.value(key));
    let Some(value) = set_here else {
        // The defaults alone are wrong, which is reported with them.
        return None;
    };
    let problem = Problem::new(kind).at(&value.site).in_section(&fields.item.section);
    fields.problems.push(problem.with_key(key::COLD_SLOTS));
    None
}

/// Reads the keys of one item.
struct Fields<'a> {
    item: &'a Item,
    defaults: Option<&'a Item>,
    problems: &'a mut List,
}

impl<'a> Fields<'a> {
    /// The name of the item as its type.
    fn name<T: FromStr<Err = parse::Error>>(&mut self, name: &str) -> Option<T> {
        match name.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                let problem = Problem::new(Kind::Value(error)).at(&self.item.site);
                self.problems.push(problem.in_section(&self.item.section));
                None
            }
        }
    }

    /// A key that must be set.
    fn required<T>(&mut self, key: &str, parse: fn(&str) -> Result<T, Kind>) -> Option<T> {
        if let Some(value) = self.optional(key, parse)? {
            return Some(value);
        }
        let defaults = self.defaults.and_then(|defaults| defaults.taken_back(key));
        let kind = match self.item.taken_back(key).or(defaults) {
            Some(by) => Kind::KeyTakenBack { by: by.clone() },
            None => Kind::MissingKey,
        };
        let problem = Problem::new(kind).at(&self.item.site).in_section(&self.item.section);
        self.problems.push(problem.with_key(key));
        None
    }

    /// A key that may be set: nothing where it is wrong.
    fn optional<T>(&mut self, key: &str, parse: fn(&str) -> Result<T, Kind>) -> Option<Option<T>> {
        let Some((_, value)) = find(self.item, self.defaults, key) else {
            return Some(None);
        };
        match parse(&value.text) {
            Ok(value) => Some(Some(value)),
            Err(kind) => {
                self.fail(key, kind);
                None
            }
        }
    }

    fn number(&mut self, key: &str, least: u32, greatest: u32, default: u32) -> Option<u32> {
        let Some((_, value)) = find(self.item, self.defaults, key) else {
            return Some(default);
        };
        match parse_number(&value.text, least, greatest) {
            Ok(number) => Some(number),
            Err(kind) => {
                self.fail(key, kind);
                None
            }
        }
    }

    /// One of `words`; the first is the default.
    fn choice<T: Copy>(&mut self, key: &str, words: &[(&str, T)], allowed: Choices) -> Option<T> {
        let Some((_, value)) = find(self.item, self.defaults, key) else {
            return words.first().map(|(_, choice)| *choice);
        };
        for (word, choice) in words {
            if value.text == *word {
                return Some(*choice);
            }
        }
        let found = value.text.clone();
        self.fail(key, Kind::Choice { found, allowed });
        None
    }

    /// Reports a problem at the place that set `key`.
    fn fail(&mut self, key: &str, kind: Kind) {
        let problem = match find(self.item, self.defaults, key) {
            Some((item, value)) => Problem::new(kind).at(&value.site).in_section(&item.section),
            None => Problem::new(kind).at(&self.item.site).in_section(&self.item.section),
        };
        self.problems.push(problem.with_key(key));
    }
}

/// The value of `key` with the item that sets it: `item` itself or its defaults.
pub(crate) fn find<'a>(
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

fn parse_text<T: FromStr<Err = parse::Error>>(text: &str) -> Result<T, Kind> {
    text.parse().map_err(Kind::Value)
}

fn parse_number(text: &str, least: u32, greatest: u32) -> Result<u32, Kind> {
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Kind::Value(parse::Error::value(text, NUMBER)));
    }
    let number = text.parse().ok().filter(|number| (least..=greatest).contains(number));
    number.ok_or_else(|| range(text, least, greatest))
}

fn parse_warm_up(text: &str) -> Result<time::Span, Kind> {
    let span: time::Span = parse_text(text)?;
    if span > WARM_UP_MAX {
        return Err(range(text, time::Span::ZERO, WARM_UP_MAX));
    }
    Ok(span)
}

fn parse_addresses(text: &str) -> Result<Vec<address::Address>, Kind> {
    let mut addresses = Vec::new();
    for part in text.split(',') {
        addresses.push(address::Address(parse_reachable(part.trim())?));
    }
    Ok(addresses)
}

/// An address that packets can be sent to, IPv4 in its own form.
fn parse_reachable(text: &str) -> Result<SocketAddr, Kind> {
    let error = || Kind::Value(parse::Error::value(text, REACHABLE));
    let address: SocketAddr = text.parse().map_err(|_| error())?;
    let ip = address.ip().to_canonical();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
        return Err(error());
    }
    Ok(SocketAddr::new(ip, address.port()))
}

fn range(found: &str, least: impl fmt::Display, greatest: impl fmt::Display) -> Kind {
    Kind::Range {
        found: found.into(),
        least: compact_str::format_compact!("{least}"),
        greatest: compact_str::format_compact!("{greatest}"),
    }
}
