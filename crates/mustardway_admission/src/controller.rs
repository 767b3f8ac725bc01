//! The decision on each new flow.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use displaydoc::Display;
use mustardway_load::key;
use mustardway_types::time::Instant;
use mustardway_types::{hash, service};

use crate::allocation::allocate;
use crate::callers::{Callers, Verdict};
use crate::contention::{Contention, State};
use crate::service::Load;

/// Ratio of the reserved share of the targets to the share that urgent requests have of the
/// load.
const RESERVE_FACTOR: f64 = 1.4;
/// Greatest share of the targets that is reserved.
const RESERVED_MAX: f64 = 0.5;
/// Seed of the hash that selects reserved targets. It must be the same at all instances.
const RESERVE_SEED: u64 = 0x6164_6d69_7400_0002;

/// A new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opening {
    /// Route of the flow.
    pub route: key::Route,
    /// IP address of the caller.
    pub caller: Ipv4Addr,
    /// Number of the period in which a caller's flows get the same verdict.
    pub epoch: u64,
}

/// The reason for which a flow is refused.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// the service is full
    Overloaded,
    /// the service is full, and the caller has used up its share
    CallerShare,
}

/// How a new flow uses targets that are reserved for urgent ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reserved {
    /// The reservation is ignored.
    Ignore,
    /// Only if no other target is available.
    Avoid,
    /// Reserved targets are preferred.
    Prefer,
}

/// The decision on a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The flow is admitted.
    Admit(Reserved),
    /// The flow is refused.
    Refuse(Reason),
}

/// The load of a service and what it does with new flows.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// What the service does with new flows.
    pub state: State,
    /// Usable slots.
    pub slots: f64,
    /// Load that callers offer, in slots.
    pub offered: f64,
    /// Share of the targets that is reserved for the most urgent routes.
    pub reserved: f64,
    /// Urgency, and offered and admitted load in slots, by route.
    pub routes: BTreeMap<key::Route, RouteStatus>,
}

/// The load of one route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteStatus {
    /// Priority under overload. 0 is the most urgent.
    pub urgency: u32,
    /// Load that callers offer, in slots.
    pub offered: f64,
    /// Load that is admitted, in slots.
    pub admitted: f64,
}

/// A change of the state of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// The new state.
    pub state: State,
    /// Load that callers offer, in slots.
    pub offered: f64,
    /// Usable slots.
    pub slots: f64,
}

#[derive(Debug, Default)]
struct Service {
    contention: Contention,
    status: Option<Status>,
    /// Urgency of the most urgent route, if routes differ in urgency.
    most_urgent: Option<u32>,
    callers: BTreeMap<key::Route, Callers>,
}

/// Decides on the new flows of all services.
#[derive(Debug, Default)]
pub struct Controller {
    services: BTreeMap<service::Name, Service>,
}

impl Controller {
    /// Updates the load of a service, and returns the change of its state, if any.
    pub fn update(&mut self, name: &service::Name, load: &Load, now: Instant) -> Option<Change> {
        let service = self.services.entry(name.clone()).or_default();
        let before = service.contention.state();
        let offered = load.offered();
        let state = service.contention.update(load, now);
        service.most_urgent = load.most_urgent();
        let admitted = match state {
            State::Refusing => allocate(service.contention.budget(), &load.routes),
            _ => load.routes.iter().map(|route| route.offered).collect(),
        };
        let mut routes = BTreeMap::new();
        service.callers.retain(|key, _| load.routes.iter().any(|route| route.route == *key));
        for (route, admitted) in load.routes.iter().zip(admitted) {
            // Only new flows can be refused, so these make up for all of the excess.
            let excess = (route.offered - admitted).max(0.0);
            let share = if route.opening > 0.0 { 1.0 - excess / route.opening } else { 1.0 };
            let share = share.clamp(0.0, 1.0);
            let callers = service.callers.entry(route.route).or_default();
            callers.set_share(if state == State::Refusing { share } else { 1.0 });
            let (urgency, offered) = (route.urgency, route.offered);
            routes.insert(route.route, RouteStatus { urgency, offered, admitted });
        }
        let reserved = reserved_share(load, state);
        let status = Status { state, slots: load.slots, offered, reserved, routes };
        service.status = Some(status);
        (state != before).then_some(Change { state, offered, slots: load.slots })
    }

    /// Forgets the services for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&service::Name) -> bool) {
        self.services.retain(|name, _| is_known(name));
    }

    /// Forgets the load of all services, since it is no longer known.
    pub fn reset(&mut self) {
        self.services.clear();
    }

    /// Decides on a new flow to a service.
    pub fn decide(&mut self, name: &service::Name, opening: &Opening) -> Decision {
        let Some(service) = self.services.get_mut(name) else {
            return Decision::Admit(Reserved::Ignore);
        };
        let state = service.contention.state();
        if state == State::Open {
            return Decision::Admit(Reserved::Ignore);
        }
        let status = service.status.as_ref();
        let urgency = status.and_then(|status| status.routes.get(&opening.route));
        let reserved = match (urgency, service.most_urgent) {
            (Some(route), Some(most_urgent)) if route.urgency > most_urgent => Reserved::Avoid,
            (Some(_), Some(_)) => Reserved::Prefer,
            _ => Reserved::Ignore,
        };
        if state == State::Refusing
            && let Some(callers) = service.callers.get_mut(&opening.route)
        {
            match callers.decide(opening.route, opening.caller, opening.epoch) {
                Verdict::Admit => {}
                Verdict::Refuse => return Decision::Refuse(Reason::Overloaded),
                Verdict::ExceedsShare => return Decision::Refuse(Reason::CallerShare),
            }
        }
        Decision::Admit(reserved)
    }

    /// Returns the status of a service, if its load is known.
    pub fn status(&self, name: &service::Name) -> Option<&Status> {
        self.services.get(name)?.status.as_ref()
    }

    /// Returns the status of all services.
    pub fn statuses(&self) -> impl Iterator<Item = (&service::Name, &Status)> {
        self.services.iter().filter_map(|(name, service)| Some((name, service.status.as_ref()?)))
    }
}

/// Returns the share of the targets that is reserved for the most urgent routes.
fn reserved_share(load: &Load, state: State) -> f64 {
    let Some(most_urgent) = load.most_urgent().filter(|_| state != State::Open) else {
        return 0.0;
    };
    let urgent = load.routes.iter().filter(|route| route.urgency == most_urgent);
    let urgent: f64 = urgent.map(|route| route.offered).sum();
    (urgent / load.offered().max(f64::MIN_POSITIVE) * RESERVE_FACTOR).min(RESERVED_MAX)
}

/// Returns whether a target is among the share `reserved` of the targets that are
/// reserved. All instances choose alike, and a larger share contains a smaller one.
pub fn is_reserved(target: key::Target, reserved: f64) -> bool {
    reserved > 0.0 && hash::unit(hash::mix(RESERVE_SEED, target.0)) < reserved
}
