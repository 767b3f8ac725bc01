//! The decision on each new flow.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use displaydoc::Display;
use mustardway_load::key;
use mustardway_types::service;
use mustardway_types::time::{Instant, Span};

use crate::allocation::allocate;
use crate::callers::{Callers, Verdict};
use crate::congestion::Congestion;
use crate::service::Load;

/// Offered load per slot below which nothing is refused. Requests that take long then wait
/// elsewhere, as on a full link of this instance.
const BUSY_ABOVE: f64 = 0.7;
/// Time without any excess after which a service no longer counts as full.
const OPEN_AFTER: Span = Span::seconds(1);

/// What a service does with new flows.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// open
    #[default]
    Open,
    /// refusing
    Refusing,
}

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

/// The decision on a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The flow is admitted.
    Admit,
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
    /// Share of the offered load that is refused.
    pub excess: f64,
    /// Mean time that a request spends at a target, as this instance sees it.
    pub time: Option<Span>,
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
    congestion: Congestion,
    state: State,
    /// Time at which the service last had an excess.
    last_excess: Instant,
    status: Option<Status>,
    callers: BTreeMap<key::Route, Callers>,
}

/// Decides on the new flows of all services.
#[derive(Debug, Default)]
pub struct Controller {
    services: BTreeMap<service::Name, Service>,
}

impl Controller {
    /// Records that a request was sent to a target of a service.
    pub fn record_request(&mut self, name: &service::Name) {
        if let Some(service) = self.services.get_mut(name) {
            service.congestion.record_request();
        }
    }

    /// Records an answer from a target of a service, which is a reference target or not.
    pub fn record_answer(&mut self, name: &service::Name, is_reference: bool) {
        if let Some(service) = self.services.get_mut(name) {
            service.congestion.record_answer(is_reference);
        }
    }

    /// Records that an answer of a reference target was a rejection since it is full.
    pub fn record_rejection(&mut self, name: &service::Name) {
        if let Some(service) = self.services.get_mut(name) {
            service.congestion.record_rejection();
        }
    }

    /// Updates a service with `in_progress` requests of this instance in progress at reference
    /// targets, and returns the change of its state, if any.
    pub fn update(
        &mut self,
        name: &service::Name,
        load: &Load,
        in_progress: u32,
        now: Instant,
    ) -> Option<Change> {
        let service = self.services.entry(name.clone()).or_default();
        let times = load.times();
        service.congestion.update(in_progress, &times, now);
        let offered = load.offered();
        // The load of the fleet shows a step later than the own requests do.
        let latest = offered * service.congestion.growth();
        let excess = match latest >= load.slots * BUSY_ABOVE {
            true => service.congestion.excess(&times, load.served_share()),
            false => 0.0,
        };
        let before = service.state;
        if excess > 0.0 {
            service.state = State::Refusing;
            service.last_excess = now;
        } else if now.since(service.last_excess) >= OPEN_AFTER {
            service.state = State::Open;
        }
        let admitted = allocate(offered * (1.0 - excess), &load.routes);
        let mut routes = BTreeMap::new();
        service.callers.retain(|key, _| load.routes.iter().any(|route| route.route == *key));
        for (route, admitted) in load.routes.iter().zip(admitted) {
            // Only new flows can be refused, so these make up for all of the excess.
            let missing = (route.offered - admitted).max(0.0);
            let share = if route.opening > 0.0 { 1.0 - missing / route.opening } else { 1.0 };
            let share = if excess > 0.0 { share.clamp(0.0, 1.0) } else { 1.0 };
            service.callers.entry(route.route).or_default().set_share(share);
            let (urgency, offered) = (route.urgency, route.offered);
            routes.insert(route.route, RouteStatus { urgency, offered, admitted });
        }
        let (state, time) = (service.state, service.congestion.time());
        service.status = Some(Status { state, slots: load.slots, offered, excess, time, routes });
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
            return Decision::Admit;
        };
        let callers = match service.state {
            State::Open => None,
            State::Refusing => service.callers.get_mut(&opening.route),
        };
        let Some(callers) = callers else { return Decision::Admit };
        let reason = match callers.decide(opening.route, opening.caller, opening.epoch) {
            Verdict::Admit => return Decision::Admit,
            Verdict::Refuse => Reason::Overloaded,
            Verdict::ExceedsShare => Reason::CallerShare,
        };
        service.congestion.record_refusal();
        Decision::Refuse(reason)
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
