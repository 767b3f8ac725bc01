//! What is different between two views, for the audit trail and for operators.
//!
//! Changes are listed by failure domain, service, address and target, each in
//! the order of names. The same two views always give the same list.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::{CompactString, ToCompactString};
use displaydoc::Display;
use mustardway_types::{address, domain, service, target};
use serde::{Deserialize, Serialize};

use crate::model::{Domain, DomainState, Limits, Target, TargetState, View};

/// One difference between two views.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case", tag = "change")]
pub enum Change {
    /// failure domain {domain} added
    DomainAdded {
        /// Failure domain.
        domain: domain::Name,
    },
    /// failure domain {domain} removed
    DomainRemoved {
        /// Failure domain.
        domain: domain::Name,
    },
    /// failure domain {domain} taken out
    DomainOut {
        /// Failure domain.
        domain: domain::Name,
    },
    /// failure domain {domain} taken in
    DomainIn {
        /// Failure domain.
        domain: domain::Name,
    },
    /// failure domain {domain} moved from region {from} to {to}
    RegionMoved {
        /// Failure domain.
        domain: domain::Name,
        /// Earlier region.
        from: CompactString,
        /// Region now.
        to: CompactString,
    },
    /// service {service} added
    ServiceAdded {
        /// Service.
        service: service::Name,
    },
    /// service {service} removed
    ServiceRemoved {
        /// Service.
        service: service::Name,
    },
    /// address {address} added to service {service}
    AddressAdded {
        /// Address.
        address: address::Address,
        /// Service that it has now.
        service: service::Name,
    },
    /// address {address} removed from service {service}
    AddressRemoved {
        /// Address.
        address: address::Address,
        /// Service that it had.
        service: service::Name,
    },
    /// address {address} moved from service {from} to {to}
    AddressMoved {
        /// Address.
        address: address::Address,
        /// Service that it had.
        from: service::Name,
        /// Service that it has now.
        to: service::Name,
    },
    /// target {target} added to service {service} in {domain}
    TargetAdded {
        /// Target.
        target: target::Id,
        /// Service that it serves.
        service: service::Name,
        /// Failure domain that it lives in.
        domain: domain::Name,
    },
    /// target {target} removed from service {service} in {domain}
    TargetRemoved {
        /// Target.
        target: target::Id,
        /// Service that it served.
        service: service::Name,
        /// Failure domain that it lived in.
        domain: domain::Name,
    },
    /// target {target} takes no new work
    TargetLeaving {
        /// Target.
        target: target::Id,
    },
    /// target {target} takes new work
    TargetServing {
        /// Target.
        target: target::Id,
    },
    /// target {target} moved from service {from} to {to}
    ServiceMoved {
        /// Target.
        target: target::Id,
        /// Service that it served.
        from: service::Name,
        /// Service that it serves now.
        to: service::Name,
    },
    /// target {target} moved from failure domain {from} to {to}
    DomainMoved {
        /// Target.
        target: target::Id,
        /// Failure domain that it lived in.
        from: domain::Name,
        /// Failure domain that it lives in now.
        to: domain::Name,
    },
    /// target {target} moved from endpoint {from} to {to}
    EndpointMoved {
        /// Target.
        target: target::Id,
        /// Where it listened.
        from: SocketAddr,
        /// Where it listens now.
        to: SocketAddr,
    },
    /// target {target} changed {limit} from {from} to {to}
    LimitChanged {
        /// Target.
        target: target::Id,
        /// Which limit.
        limit: Limit,
        /// Earlier value.
        from: CompactString,
        /// Value now.
        to: CompactString,
    },
}

/// A key of a target that bounds or weighs its work.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Limit {
    /// weight
    Weight,
    /// slots
    Slots,
    /// cold-slots
    ColdSlots,
    /// connections
    Connections,
    /// warm-up
    WarmUp,
    /// queue
    Queue,
}

/// Every difference between `old` and `new`.
pub fn between(old: &View, new: &View) -> Vec<Change> {
    let mut changes = Vec::new();
    domains(old, new, &mut changes);
    services(old, new, &mut changes);
    addresses(old, new, &mut changes);
    targets(old, new, &mut changes);
    changes
}

/// One name in two maps.
enum Pair<'a, Value> {
    Old(&'a Value),
    New(&'a Value),
    Both(&'a Value, &'a Value),
}

/// Every key of both maps in order, with its values.
fn pairs<'a, Key: Ord, Value>(
    old: &'a BTreeMap<Key, Value>,
    new: &'a BTreeMap<Key, Value>,
) -> BTreeMap<&'a Key, Pair<'a, Value>> {
    let mut pairs = BTreeMap::new();
    for (key, value) in old {
        let pair = match new.get(key) {
            Some(now) => Pair::Both(value, now),
            None => Pair::Old(value),
        };
        pairs.insert(key, pair);
    }
    for (key, value) in new {
        pairs.entry(key).or_insert(Pair::New(value));
    }
    pairs
}

fn domains(old: &View, new: &View, changes: &mut Vec<Change>) {
    for (name, pair) in pairs(&old.domains, &new.domains) {
        match pair {
            Pair::Old(_) => changes.push(Change::DomainRemoved { domain: name.clone() }),
            Pair::New(now) => added_domain(name, now, changes),
            Pair::Both(was, now) => domain(name, was, now, changes),
        }
    }
}

fn added_domain(name: &domain::Name, now: &Domain, changes: &mut Vec<Change>) {
    changes.push(Change::DomainAdded { domain: name.clone() });
    if now.state == DomainState::Out {
        changes.push(Change::DomainOut { domain: name.clone() });
    }
}

fn domain(name: &domain::Name, was: &Domain, now: &Domain, changes: &mut Vec<Change>) {
    if was.state != now.state {
        changes.push(match now.state {
            DomainState::In => Change::DomainIn { domain: name.clone() },
            DomainState::Out => Change::DomainOut { domain: name.clone() },
        });
    }
    if was.region != now.region {
        let (from, to) = (was.region.clone(), now.region.clone());
        changes.push(Change::RegionMoved { domain: name.clone(), from, to });
    }
}

fn services(old: &View, new: &View, changes: &mut Vec<Change>) {
    for (name, pair) in pairs(&old.services, &new.services) {
        let service = name.clone();
        match pair {
            Pair::Old(_) => changes.push(Change::ServiceRemoved { service }),
            Pair::New(_) => changes.push(Change::ServiceAdded { service }),
            Pair::Both(..) => {}
        }
    }
}

fn addresses(old: &View, new: &View, changes: &mut Vec<Change>) {
    for (address, pair) in pairs(&old.addresses, &new.addresses) {
        let address = *address;
        match pair {
            Pair::Old(service) => {
                changes.push(Change::AddressRemoved { address, service: service.clone() });
            }
            Pair::New(service) => {
                changes.push(Change::AddressAdded { address, service: service.clone() });
            }
            Pair::Both(from, to) if from != to => {
                changes.push(Change::AddressMoved { address, from: from.clone(), to: to.clone() });
            }
            Pair::Both(..) => {}
        }
    }
}

fn targets(old: &View, new: &View, changes: &mut Vec<Change>) {
    for (id, pair) in pairs(&old.targets, &new.targets) {
        match pair {
            Pair::Old(was) => changes.push(Change::TargetRemoved {
                target: id.clone(),
                service: was.service.clone(),
                domain: was.domain.clone(),
            }),
            Pair::New(now) => added_target(id, now, changes),
            Pair::Both(was, now) if was != now => target(id, was, now, changes),
            Pair::Both(..) => {}
        }
    }
}

fn added_target(id: &target::Id, now: &Target, changes: &mut Vec<Change>) {
    changes.push(Change::TargetAdded {
        target: id.clone(),
        service: now.service.clone(),
        domain: now.domain.clone(),
    });
    if now.state == TargetState::Leaving {
        changes.push(Change::TargetLeaving { target: id.clone() });
    }
}

fn target(id: &target::Id, was: &Target, now: &Target, changes: &mut Vec<Change>) {
    if was.state != now.state {
        changes.push(match now.state {
            TargetState::Serving => Change::TargetServing { target: id.clone() },
            TargetState::Leaving => Change::TargetLeaving { target: id.clone() },
        });
    }
    if was.service != now.service {
        let (from, to) = (was.service.clone(), now.service.clone());
        changes.push(Change::ServiceMoved { target: id.clone(), from, to });
    }
    if was.domain != now.domain {
        let (from, to) = (was.domain.clone(), now.domain.clone());
        changes.push(Change::DomainMoved { target: id.clone(), from, to });
    }
    if was.endpoint != now.endpoint {
        let (from, to) = (was.endpoint, now.endpoint);
        changes.push(Change::EndpointMoved { target: id.clone(), from, to });
    }
    for ((limit, from), (_, to)) in limits(was).into_iter().zip(limits(now)) {
        if from != to {
            changes.push(Change::LimitChanged { target: id.clone(), limit, from, to });
        }
    }
}

fn limits(target: &Target) -> [(Limit, CompactString); 6] {
    let Limits { slots, cold_slots, connections, warm_up, queue } = &target.limits;
    [
        (Limit::Weight, target.weight.to_compact_string()),
        (Limit::Slots, slots.to_compact_string()),
        (Limit::ColdSlots, cold_slots.to_compact_string()),
        (Limit::Connections, connections.to_compact_string()),
        (Limit::WarmUp, warm_up.to_compact_string()),
        (Limit::Queue, queue.to_compact_string()),
    ]
}
