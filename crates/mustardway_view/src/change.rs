//! The differences between two views, for the audit trail and for operators.
//!
//! Changes are listed in the order failure domains, services, addresses,
//! targets, and by name within each kind. The same two views always give the
//! same list.

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
        /// Name of the failure domain.
        domain: domain::Name,
    },
    /// failure domain {domain} removed
    DomainRemoved {
        /// Name of the failure domain.
        domain: domain::Name,
    },
    /// failure domain {domain} taken out
    DomainOut {
        /// Name of the failure domain.
        domain: domain::Name,
    },
    /// failure domain {domain} taken in
    DomainIn {
        /// Name of the failure domain.
        domain: domain::Name,
    },
    /// failure domain {domain} moved from region {from} to {to}
    RegionMoved {
        /// Name of the failure domain.
        domain: domain::Name,
        /// Region in the old view.
        from: CompactString,
        /// Region in the new view.
        to: CompactString,
    },
    /// service {service} added
    ServiceAdded {
        /// Name of the service.
        service: service::Name,
    },
    /// service {service} removed
    ServiceRemoved {
        /// Name of the service.
        service: service::Name,
    },
    /// address {address} added to service {service}
    AddressAdded {
        /// The address.
        address: address::Address,
        /// Service of the address in the new view.
        service: service::Name,
    },
    /// address {address} removed from service {service}
    AddressRemoved {
        /// The address.
        address: address::Address,
        /// Service of the address in the old view.
        service: service::Name,
    },
    /// address {address} moved from service {from} to {to}
    AddressMoved {
        /// The address.
        address: address::Address,
        /// Service of the address in the old view.
        from: service::Name,
        /// Service of the address in the new view.
        to: service::Name,
    },
    /// target {target} added to service {service} in {domain}
    TargetAdded {
        /// Id of the target.
        target: target::Id,
        /// Service of the target.
        service: service::Name,
        /// Failure domain of the target.
        domain: domain::Name,
    },
    /// target {target} removed from service {service} in {domain}
    TargetRemoved {
        /// Id of the target.
        target: target::Id,
        /// Service of the target in the old view.
        service: service::Name,
        /// Failure domain of the target in the old view.
        domain: domain::Name,
    },
    /// target {target} takes no new work
    TargetLeaving {
        /// Id of the target.
        target: target::Id,
    },
    /// target {target} takes new work
    TargetServing {
        /// Id of the target.
        target: target::Id,
    },
    /// target {target} moved from service {from} to {to}
    ServiceMoved {
        /// Id of the target.
        target: target::Id,
        /// Service of the target in the old view.
        from: service::Name,
        /// Service of the target in the new view.
        to: service::Name,
    },
    /// target {target} moved from failure domain {from} to {to}
    DomainMoved {
        /// Id of the target.
        target: target::Id,
        /// Failure domain of the target in the old view.
        from: domain::Name,
        /// Failure domain of the target in the new view.
        to: domain::Name,
    },
    /// target {target} moved from endpoint {from} to {to}
    EndpointMoved {
        /// Id of the target.
        target: target::Id,
        /// Address on which the target listened in the old view.
        from: SocketAddr,
        /// Address on which the target listens in the new view.
        to: SocketAddr,
    },
    /// target {target} changed {limit} from {from} to {to}
    LimitChanged {
        /// Id of the target.
        target: target::Id,
        /// The limit that changed.
        limit: Limit,
        /// Value in the old view.
        from: CompactString,
        /// Value in the new view.
        to: CompactString,
    },
}

/// A key of a target that limits the work it gets, or its weight.
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

/// Returns every difference between `old` and `new`.
pub fn between(old: &View, new: &View) -> Vec<Change> {
    let mut changes = Vec::new();
    diff_domains(old, new, &mut changes);
    diff_services(old, new, &mut changes);
    diff_addresses(old, new, &mut changes);
    diff_targets(old, new, &mut changes);
    changes
}

/// The values of one key that is in one or both of two maps.
enum Pair<'a, Value> {
    Old(&'a Value),
    New(&'a Value),
    Both(&'a Value, &'a Value),
}

/// Returns the keys of both maps in order, each with its values.
fn pairs<'a, Key: Ord, Value>(
    old: &'a BTreeMap<Key, Value>,
    new: &'a BTreeMap<Key, Value>,
) -> BTreeMap<&'a Key, Pair<'a, Value>> {
    let mut pairs = BTreeMap::new();
    for (key, value) in old {
        let pair = match new.get(key) {
            Some(after) => Pair::Both(value, after),
            None => Pair::Old(value),
        };
        pairs.insert(key, pair);
    }
    for (key, value) in new {
        pairs.entry(key).or_insert(Pair::New(value));
    }
    pairs
}

fn diff_domains(old: &View, new: &View, changes: &mut Vec<Change>) {
    for (name, pair) in pairs(&old.domains, &new.domains) {
        match pair {
            Pair::Old(_) => changes.push(Change::DomainRemoved { domain: name.clone() }),
            Pair::New(after) => add_domain(name, after, changes),
            Pair::Both(before, after) => diff_domain(name, before, after, changes),
        }
    }
}

fn add_domain(name: &domain::Name, after: &Domain, changes: &mut Vec<Change>) {
    changes.push(Change::DomainAdded { domain: name.clone() });
    if after.state == DomainState::Out {
        changes.push(Change::DomainOut { domain: name.clone() });
    }
}

fn diff_domain(name: &domain::Name, before: &Domain, after: &Domain, changes: &mut Vec<Change>) {
    if before.state != after.state {
        changes.push(match after.state {
            DomainState::In => Change::DomainIn { domain: name.clone() },
            DomainState::Out => Change::DomainOut { domain: name.clone() },
        });
    }
    if before.region != after.region {
        let (from, to) = (before.region.clone(), after.region.clone());
        changes.push(Change::RegionMoved { domain: name.clone(), from, to });
    }
}

fn diff_services(old: &View, new: &View, changes: &mut Vec<Change>) {
    for (name, pair) in pairs(&old.services, &new.services) {
        let service = name.clone();
        match pair {
            Pair::Old(_) => changes.push(Change::ServiceRemoved { service }),
            Pair::New(_) => changes.push(Change::ServiceAdded { service }),
            Pair::Both(..) => {}
        }
    }
}

fn diff_addresses(old: &View, new: &View, changes: &mut Vec<Change>) {
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

fn diff_targets(old: &View, new: &View, changes: &mut Vec<Change>) {
    for (id, pair) in pairs(&old.targets, &new.targets) {
        match pair {
            Pair::Old(before) => changes.push(Change::TargetRemoved {
                target: id.clone(),
                service: before.service.clone(),
                domain: before.domain.clone(),
            }),
            Pair::New(after) => add_target(id, after, changes),
            Pair::Both(before, after) if before != after => diff_target(id, before, after, changes),
            Pair::Both(..) => {}
        }
    }
}

fn add_target(id: &target::Id, after: &Target, changes: &mut Vec<Change>) {
    changes.push(Change::TargetAdded {
        target: id.clone(),
        service: after.service.clone(),
        domain: after.domain.clone(),
    });
    if after.state == TargetState::Leaving {
        changes.push(Change::TargetLeaving { target: id.clone() });
    }
}

fn diff_target(id: &target::Id, before: &Target, after: &Target, changes: &mut Vec<Change>) {
    if before.state != after.state {
        changes.push(match after.state {
            TargetState::Serving => Change::TargetServing { target: id.clone() },
            TargetState::Leaving => Change::TargetLeaving { target: id.clone() },
        });
    }
    if before.service != after.service {
        let (from, to) = (before.service.clone(), after.service.clone());
        changes.push(Change::ServiceMoved { target: id.clone(), from, to });
    }
    if before.domain != after.domain {
        let (from, to) = (before.domain.clone(), after.domain.clone());
        changes.push(Change::DomainMoved { target: id.clone(), from, to });
    }
    if before.endpoint != after.endpoint {
        let (from, to) = (before.endpoint, after.endpoint);
        changes.push(Change::EndpointMoved { target: id.clone(), from, to });
    }
    for ((limit, from), (_, to)) in limits(before).into_iter().zip(limits(after)) {
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
