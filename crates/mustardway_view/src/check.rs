//! Checks the items of a view against each other.
//!
//! The service and the failure domain of a target must exist. Its endpoint must
//! be neither the address of a service nor the endpoint of another target.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use mustardway_types::{address, target};

use crate::build::find_value;
use crate::merge::{Item, Merged};
use crate::model::{Target, View};
use crate::problem::{Kind, List, Location, Problem};
use crate::section::{Subject, key};

/// Checks the references between the items of `view` and adds problems to `problems`.
pub(crate) fn references(view: &View, merged: &Merged, problems: &mut List) {
    let defaults = merged.defaults();
    let mut endpoints = BTreeMap::new();
    for (id, target) in &view.targets {
        let Some(item) = merged.item(Subject::Target, id.as_str()) else {
            continue;
        };
        let checker = Checker { id, target, item, defaults };
        checker.check_service(merged, problems);
        checker.check_domain(merged, problems);
        checker.check_endpoint_against_addresses(view, merged, problems);
        checker.check_endpoint_is_unique(&mut endpoints, problems);
    }
    check_services(merged, problems);
}

/// Checks that there is at least one service, and that each service has a target. A target with
/// problems of its own counts.
fn check_services(merged: &Merged, problems: &mut List) {
    if merged.items(Subject::Service).next().is_none() {
        problems.push(Problem::new(Kind::NoServices));
    }
    let mut served = BTreeSet::new();
    for (_, item) in merged.items(Subject::Target) {
        if let Some((_, value)) = find_value(item, merged.defaults(), key::SERVICE) {
            served.insert(value.text.as_str());
        }
    }
    for (name, item) in merged.items(Subject::Service) {
        if served.contains(name) {
            continue;
        }
        let problem = Problem::new(Kind::NoTargets).at(&item.location);
        problems.push(problem.in_section(&item.section));
    }
}

/// Endpoints, each with its target and the line that set it.
type Endpoints<'a> = BTreeMap<SocketAddr, (&'a target::Id, &'a Location)>;

/// Checks one target.
struct Checker<'a> {
    id: &'a target::Id,
    target: &'a Target,
    item: &'a Item,
    defaults: Option<&'a Item>,
}

impl<'a> Checker<'a> {
    fn check_service(&self, merged: &Merged, problems: &mut List) {
        let found = &self.target.service;
        if merged.item(Subject::Service, found.as_str()).is_some() {
            return;
        }
        let kind = match merged.removed(Subject::Service, found.as_str()) {
            Some(by) => Kind::RemovedService { found: found.clone(), by: by.clone() },
            None => Kind::UnknownService { found: found.clone() },
        };
        problems.push(self.problem(key::SERVICE, kind));
    }

    fn check_domain(&self, merged: &Merged, problems: &mut List) {
        let found = &self.target.domain;
        if merged.item(Subject::Domain, found.as_str()).is_some() {
            return;
        }
        let kind = match merged.removed(Subject::Domain, found.as_str()) {
            Some(by) => Kind::RemovedDomain { found: found.clone(), by: by.clone() },
            None => Kind::UnknownDomain { found: found.clone() },
        };
        problems.push(self.problem(key::DOMAIN, kind));
    }

    fn check_endpoint_against_addresses(&self, view: &View, merged: &Merged, problems: &mut List) {
        let endpoint = address::Address(self.target.endpoint);
        let Some(service) = view.addresses.get(&endpoint) else {
            return;
        };
        let service = merged.item(Subject::Service, service.as_str());
        let Some(value) = service.and_then(|item| item.value(key::ADDRESSES)) else {
            return;
        };
        let first = value.location.clone();
        problems.push(self.problem(key::ENDPOINT, Kind::EndpointIsAddress { endpoint, first }));
    }

    fn check_endpoint_is_unique(&self, endpoints: &mut Endpoints<'a>, problems: &mut List) {
        let location =
            self.item.value(key::ENDPOINT).map_or(&self.item.location, |value| &value.location);
        let Some((other, first)) = endpoints.get(&self.target.endpoint) else {
            endpoints.insert(self.target.endpoint, (self.id, location));
            return;
        };
        let kind = Kind::EndpointTwice {
            endpoint: address::Address(self.target.endpoint),
            other: (*other).clone(),
            first: (*first).clone(),
        };
        problems.push(self.problem(key::ENDPOINT, kind));
    }

    fn problem(&self, key: &str, kind: Kind) -> Problem {
        let problem = Problem::new(kind).with_key(key);
        match find_value(self.item, self.defaults, key) {
            Some((item, value)) => problem.at(&value.location).in_section(&item.section),
            None => problem.at(&self.item.location).in_section(&self.item.section),
        }
    }
}
