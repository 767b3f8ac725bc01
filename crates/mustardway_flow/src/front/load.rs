//! The use of the shared load estimates: what packets show is recorded, and the estimates
//! update the targets and the admission of new flows.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use mustardway_admission::controller::{Change, Decision, Opening, Reason, State};
use mustardway_admission::service as admission_service;
use mustardway_load::sample::Sample;
use mustardway_load::{key, node};
use mustardway_types::service;
use mustardway_types::time::Instant;

use super::{Action, Front, Verdict};
use crate::directory::Target;
use crate::health::Status;
use crate::load::{self, Admission, Load, Placement};
use crate::measurement;
use crate::note::{Note, ResetReason};
use crate::packet::Packet;
use crate::table::Stage;

/// Greatest share of short answers that counts. A target that answers all requests with
/// errors still gets a flow now and then, to show that it has recovered.
const SHORT_SHARE_MAX: f64 = 0.95;
/// Attempts of a caller at a request that is refused: the first one and two retries.
const ATTEMPTS: f64 = 3.0;
/// Share of a cold target's slots that counts as capacity.
const COLD_CAPACITY: f64 = 0.5;

impl Front {
    /// Enables shared load estimates for what `settings` say.
    #[must_use]
    pub fn with_load(mut self, settings: load::Settings, now: Instant) -> Self {
        if settings.is_used() {
            self.load = Some(Box::new(Load::new(&self.me, settings, now)));
        }
        self
    }

    /// Returns the load, if its estimates are used.
    pub fn load(&self) -> Option<&Load> {
        self.load.as_deref()
    }

    /// Passes an event to the node of the load and carries out its actions.
    pub(super) fn handle_load(
        &mut self,
        event: node::Event,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(load) = &mut self.load else { return };
        let mut node_actions = Vec::new();
        load.node.handle(now, event, &mut node_actions);
        let mut is_updated = false;
        for action in node_actions {
            match action {
                node::Action::Send { to, message } => {
                    actions.push(Action::SendLoad { to, message });
                }
                node::Action::Updated => is_updated = true,
            }
        }
        if is_updated {
            self.apply_estimates(now, actions);
        }
    }

    /// Records an observation.
    pub(super) fn record_sample(&mut self, sample: &Sample) {
        if let Some(load) = &mut self.load {
            load.node.record(sample);
        }
    }

    /// Records an answer of the target at `index` whose size is known.
    pub(super) fn record_answer(
        &mut self,
        index: usize,
        route: SocketAddrV4,
        answer: &measurement::Answer,
    ) {
        let (Some(load), Some(target)) = (&mut self.load, self.directory.get(index)) else {
            return;
        };
        if answer.requested <= target.started {
            return;
        }
        let is_short = load.record_answer(target.key, key::Route::of(route), answer);
        // A target with a free slot that rejects a request is not full but fails.
        if is_short && !answer.is_unqueued && load.is_reference(target.key) {
            load.controller.record_rejection(&target.registration.service);
        }
    }

    /// Decides whether a new flow to a service is admitted. Copies of an opening packet always
    /// are: a target may have got the first one from another instance.
    pub(super) fn admit(&mut self, packet: &Packet, service: &service::Name) -> Decision {
        let Some(load) = &mut self.load else { return Decision::Admit };
        if load.settings.admission == Admission::Off || packet.acknowledgement > 0 {
            return Decision::Admit;
        }
        let route = key::Route::of(packet.destination);
        let caller = *packet.source.ip();
        let epoch = load.node.view().epoch();
        load.controller.decide(service, &Opening { route, caller, epoch })
    }

    /// Refuses a new flow. No target has seen its opening packet.
    pub(super) fn refuse(
        &mut self,
        packet: &Packet,
        service: &service::Name,
        reason: Reason,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        if let Some(load) = &mut self.load {
            load.count_refused(service, reason);
            load.node.record(&Sample::Refused(key::Route::of(packet.destination)));
        }
        let reason = match reason {
            Reason::Overloaded => ResetReason::Overloaded,
            Reason::CallerShare => ResetReason::CallerShare,
        };
        self.reset(packet, reason, now, actions)
    }

    /// Returns the mean number of requests in progress on an open flow to a service.
    pub(super) fn busy_share(&self, service: &service::Name) -> f64 {
        let load = self.load.as_ref();
        load.and_then(|load| load.busy_shares.get(service)).copied().unwrap_or_default()
    }

    /// Counts the open flows of each route and the requests that hang at each target: they take so
    /// long that the queue of a target cannot be the cause.
    pub(super) fn count_flows(&mut self, now: Instant) {
        let Some(load) = &mut self.load else { return };
        let mut flows: BTreeMap<key::Route, u32> = BTreeMap::new();
        let mut hanging: BTreeMap<usize, u32> = BTreeMap::new();
        for (flow, record) in self.table.iter() {
            if record.stage == Stage::Open {
                *flows.entry(key::Route::of(flow.route)).or_default() += 1;
            }
            let Some(since) = record.request_since else { continue };
            let Some(route) = self.directory.route(flow.route) else { continue };
            if now.since(since) > route.aim + route.aim {
                *hanging.entry(record.target).or_default() += 1;
            }
        }
        load.node.set_flows(flows);
        let indexes: Vec<usize> = self.directory.indexes().collect();
        for index in indexes {
            let Some(target) = self.directory.get_mut(index) else { continue };
            target.observation.set_hanging(hanging.get(&index).copied().unwrap_or_default());
        }
    }

    /// Updates the targets and the load of each service from the estimates.
    fn apply_estimates(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.update_time_factors(actions);
        let Some(load) = &self.load else { return };
        let is_current = load.node.view().age(now).is_some_and(|age| age < node::SUMMARY_AGE_MAX);
        if !is_current {
            self.stop_refusing(actions);
            return;
        }
        let offered = self.offered_loads(now);
        let Some(load) = &mut self.load else { return };
        if load.settings.admission == Admission::Off {
            return;
        }
        load.controller.retain(|service| offered.contains_key(service));
        load.offered = offered;
    }

    /// Admits all flows, since the load is not known.
    fn stop_refusing(&mut self, actions: &mut Vec<Action>) {
        let Some(load) = &mut self.load else { return };
        for (service, status) in load.controller.statuses() {
            if status.state == State::Open {
                continue;
            }
            let (offered, slots) = (status.offered, status.slots);
            let change = Change { state: State::Open, offered, slots };
            actions.push(Action::Note(Note::Contention { service: service.clone(), change }));
        }
        load.controller.reset();
        load.offered.clear();
        load.busy_shares.clear();
    }

    /// Updates the admission by the requests that are in progress.
    pub(super) fn update_admission(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(load) = &mut self.load else { return };
        let offered = std::mem::take(&mut load.offered);
        for (service, service_load) in &offered {
            let in_progress = self.requests_in_progress(service, now);
            let Some(load) = &mut self.load else { return };
            let change = load.controller.update(service, service_load, in_progress, now);
            if let Some(change) = change {
                actions.push(Action::Note(Note::Contention { service: service.clone(), change }));
            }
        }
        if let Some(load) = &mut self.load {
            load.offered = offered;
        }
    }

    /// Returns the number of this instance's requests that usable reference targets of a service
    /// have in progress.
    fn requests_in_progress(&self, service: &service::Name, now: Instant) -> u32 {
        let Some(load) = &self.load else { return 0 };
        let mut requests = 0;
        for index in self.directory.indexes_of_service(service) {
            let Some(target) = self.directory.get(*index) else { continue };
            let in_progress = target.observation.in_progress();
            if in_progress > 0 && load.is_reference(target.key) && self.is_usable(target, now) {
                requests += in_progress;
            }
        }
        requests
    }

    /// Updates the expected time of each target relative to the others.
    fn update_time_factors(&mut self, actions: &mut Vec<Action>) {
        let Some(load) = &self.load else { return };
        if load.settings.placement != Placement::ExpectedTime {
            return;
        }
        let view = load.node.view();
        let indexes: Vec<usize> = self.directory.indexes().collect();
        for index in indexes {
            let Some(target) = self.directory.get_mut(index) else { continue };
            let slowness = view.slowness(target.key);
            let short_share = view.short_share(target.key).min(SHORT_SHARE_MAX);
            let time_factor = slowness / (1.0 - short_share);
            let was_usual = target.time_factor == 1.0;
            target.time_factor = time_factor;
            if was_usual != (time_factor == 1.0) {
                let target = target.registration.id.clone();
                actions.push(Action::Note(Note::Slow { target, slowness, short_share }));
            }
        }
    }

    /// Returns the load that callers offer to each service that has any.
    fn offered_loads(&mut self, now: Instant) -> BTreeMap<service::Name, admission_service::Load> {
        let mut loads: BTreeMap<service::Name, admission_service::Load> = BTreeMap::new();
        let mut flows: BTreeMap<service::Name, f64> = BTreeMap::new();
        let (Some(load), Some(configuration)) = (&mut self.load, self.directory.configuration())
        else {
            return loads;
        };
        load.update_routes(configuration);
        for (route_key, estimate) in load.node.view().routes() {
            let address = load.routes.get(&route_key).map(|route| route.address);
            let Some(route) = address.and_then(|address| self.directory.route(address)) else {
                continue;
            };
            let service_time = estimate.service_time.as_seconds();
            // Callers retry rejected requests at once, as they do refused flows.
            let rejected = estimate.short_share;
            let tries = 1.0 + rejected + rejected * rejected;
            let requests = estimate.requests / tries;
            let refused = estimate.refused / ATTEMPTS;
            let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
            for share in &route.shares {
                let part = f64::from(share.weight) / total.max(1) as f64;
                let opening = (estimate.opens / tries + refused) * service_time * part;
                let offered = (requests + refused) * service_time * part;
                *flows.entry(share.service.clone()).or_default() += estimate.flows * part;
                let load = loads.entry(share.service.clone()).or_default();
                load.wanted += (estimate.requests + refused) * part;
                load.served += estimate.answers * part;
                load.routes.push(admission_service::Route {
                    route: route_key,
                    urgency: route.urgency,
                    offered,
                    opening: opening.min(offered),
                    service_time: estimate.service_time,
                    aim: route.aim,
                });
            }
        }
        load.busy_shares.clear();
        if load.settings.placement == Placement::ExpectedTime {
            for (service, flows) in flows.into_iter().filter(|(_, flows)| *flows >= 1.0) {
                let in_progress: f64 =
                    loads.get(&service).map_or(0.0, admission_service::Load::offered);
                load.busy_shares.insert(service, (in_progress / flows).min(1.0));
            }
        }
        for (service, load) in &mut loads {
            load.slots = self.usable_slots(service, now);
        }
        loads
    }

    /// Returns the slots of a service's usable targets. A slot of a target that takes
    /// twice the usual time counts as a half.
    fn usable_slots(&self, service: &service::Name, now: Instant) -> f64 {
        let Some(load) = &self.load else { return 0.0 };
        let mut slots = 0.0;
        for index in self.directory.indexes_of_service(service) {
            let Some(target) = self.directory.get(*index) else { continue };
            if !self.is_usable(target, now) {
                continue;
            }
            let cold = if now < target.cold_until { COLD_CAPACITY } else { 1.0 };
            let slowness = load.node.view().slowness(target.key);
            slots += f64::from(target.registration.slots) * cold / slowness;
        }
        slots
    }

    fn is_usable(&self, target: &Target, now: Instant) -> bool {
        self.is_eligible(target)
            && target.health.status(now) == Status::Healthy
            && !self.reachability.silent.contains(&target.registration.domain)
    }
}
