//! Shared load estimates and admission control, as the front uses them.
//!
//! What callers' packets show about the load is recorded in a [`node::Node`], which
//! shares it with the other instances. The estimates weight the placement of new flows
//! and decide whether they are admitted.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use mustardway_admission::controller::{Controller, Reason};
use mustardway_admission::service as service_load;
use mustardway_load::sample::{self, Sample};
use mustardway_load::view::USUAL;
use mustardway_load::{key, node};
use mustardway_mirror::publication::Configuration;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{instance, service};
use rustc_hash::FxHashMap;

use crate::measurement;

/// Share of the usual bytes up to which an answer is short. Of answers of different sizes
/// with a spread of 0.6 of the mean, one in 30 has less.
const SHORT_BYTES: f64 = 0.3;
/// Greatest number of bytes of a short answer: an error fits in one packet.
const SHORT_BYTES_MAX: f64 = 1_200.0;
/// Share of the usual bytes up to which a fast answer is short.
const SHORT_BYTES_FAST: f64 = 0.5;
/// Share of the usual time below which an answer is fast.
const FAST_TIME: f64 = 0.25;
/// Weight of an answer in the mean size of the answers of its route.
const BYTES_WEIGHT: f64 = 1.0 / 16.0;
/// Weight of a short answer in that mean: it follows if all answers become short.
const SHORT_BYTES_WEIGHT: f64 = 1.0 / 256.0;
/// Weight of a flow in the mean round trip.
const ROUND_TRIP_WEIGHT: f64 = 1.0 / 16.0;

/// Share of short answers from which on a target is failing. A full one serves some requests.
const FAILING_SHARE: f64 = 0.8;

/// How new flows are placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Placement {
    /// By outstanding requests per slot.
    #[default]
    Outstanding,
    /// By the expected time until an answer.
    ExpectedTime,
}

/// Whether new flows are refused while a service is full.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Admission {
    /// All flows are admitted.
    #[default]
    Off,
    /// The least urgent flows are refused first.
    ByPriority,
}

/// What the estimates are used for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Settings {
    /// How new flows are placed.
    pub placement: Placement,
    /// Whether new flows are refused while a service is full.
    pub admission: Admission,
}

impl Settings {
    /// Returns whether the estimates are used at all.
    pub fn is_used(&self) -> bool {
        *self != Settings::default()
    }
}

/// A route as published.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Published {
    pub(crate) address: SocketAddrV4,
}

/// The load as this instance knows it.
#[derive(Debug)]
pub struct Load {
    /// What the estimates are used for.
    pub(crate) settings: Settings,
    /// The estimates and their exchange with other instances.
    pub(crate) node: node::Node,
    /// The decisions on new flows to full services.
    pub(crate) controller: Controller,
    /// Version of the configuration that `routes` is from.
    version: Option<u64>,
    pub(crate) routes: FxHashMap<key::Route, Published>,
    /// Mean bytes of the answers of each route.
    usual_bytes: FxHashMap<key::Route, f64>,
    usual_round_trip: f64,
    /// Mean requests in progress on an open flow to each service.
    pub(crate) busy_shares: BTreeMap<service::Name, f64>,
    /// Load that callers offer to each service, by the latest summary.
    pub(crate) offered: BTreeMap<service::Name, service_load::Load>,
    /// Number of refused flows by service and reason.
    refused: BTreeMap<(service::Name, Reason), u64>,
}

impl Load {
    /// Creates the load of the instance `me`, which knows nothing at first.
    pub(crate) fn new(me: &instance::Id, settings: Settings, now: Instant) -> Self {
        Load {
            settings,
            node: node::Node::new(me, now),
            controller: Controller::default(),
            version: None,
            routes: FxHashMap::default(),
            usual_bytes: FxHashMap::default(),
            usual_round_trip: 0.0,
            busy_shares: BTreeMap::new(),
            offered: BTreeMap::new(),
            refused: BTreeMap::new(),
        }
    }

    /// Returns the estimates and their exchange with other instances.
    pub fn node(&self) -> &node::Node {
        &self.node
    }

    /// Returns the decisions on new flows to full services.
    pub fn controller(&self) -> &Controller {
        &self.controller
    }

    /// Returns the number of refused flows by service and reason.
    pub fn refused(&self) -> impl Iterator<Item = (&service::Name, Reason, u64)> {
        self.refused.iter().map(|((service, reason), count)| (service, *reason, *count))
    }

    /// Returns whether the requests at a target show whether its service is full: it is neither
    /// slow nor failing.
    pub(crate) fn is_reference(&self, target: key::Target) -> bool {
        let view = self.node.view();
        view.slowness(target) <= USUAL && view.short_share(target) < FAILING_SHARE
    }

    /// Returns the mean round trip of the flows that were opened here.
    pub(crate) fn usual_round_trip(&self) -> Span {
        Span(self.usual_round_trip as u64)
    }

    pub(crate) fn record_round_trip(&mut self, round_trip: Span) {
        if self.usual_round_trip == 0.0 {
            self.usual_round_trip = round_trip.0 as f64;
        }
        let difference = round_trip.0 as f64 - self.usual_round_trip;
        self.usual_round_trip += difference * ROUND_TRIP_WEIGHT;
    }

    pub(crate) fn count_refused(&mut self, service: &service::Name, reason: Reason) {
        *self.refused.entry((service.clone(), reason)).or_default() += 1;
    }

    /// Returns whether an answer has so many bytes already that it is not short.
    pub(crate) fn is_long(&self, route: key::Route, answer: &measurement::Answer) -> bool {
        let usual = self.usual_bytes.get(&route);
        usual.is_some_and(|usual| {
            f64::from(answer.bytes) > (usual * SHORT_BYTES_FAST).min(SHORT_BYTES_MAX)
        })
    }

    /// Records an answer from `target` whose size is known. Returns whether it is short.
    pub(crate) fn record_answer(
        &mut self,
        target: key::Target,
        route: key::Route,
        answer: &measurement::Answer,
    ) -> bool {
        let bytes = f64::from(answer.bytes);
        let base_time = self.node.view().route(route).map_or(Span::ZERO, |load| load.base_time);
        let is_fast = (answer.time.0 as f64) < base_time.0 as f64 * FAST_TIME;
        let usual = self.usual_bytes.entry(route).or_insert(bytes);
        let limit = if is_fast { SHORT_BYTES_FAST } else { SHORT_BYTES };
        let is_short = bytes <= (*usual * limit).min(SHORT_BYTES_MAX);
        // An answer that is long already when its first part arrives is recorded then, and
        // has more bytes in the end.
        if bytes > *usual || bytes <= SHORT_BYTES_MAX {
            *usual += (bytes - *usual) * if is_short { SHORT_BYTES_WEIGHT } else { BYTES_WEIGHT };
        }
        self.node.record(&Sample::Answered(sample::Answer {
            target,
            route,
            time: answer.time,
            is_unqueued: answer.is_unqueued,
            is_short,
        }));
        is_short
    }

    /// Takes over the routes of a configuration, unless they are known.
    pub(crate) fn update_routes(&mut self, configuration: &Configuration) {
        if self.version == Some(configuration.version) {
            return;
        }
        self.version = Some(configuration.version);
        self.routes.clear();
        for route in &configuration.routes {
            let published = Published { address: route.address };
            self.routes.insert(key::Route::of(route.address), published);
        }
        self.usual_bytes.retain(|route, _| self.routes.contains_key(route));
    }
}
