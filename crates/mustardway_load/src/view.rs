//! The estimates as an instance uses them.

use std::collections::BTreeMap;

use mustardway_types::time::{Instant, Span};
use rustc_hash::FxHashMap;

use crate::key;

/// Slowness of a target whose speed is usual or unknown.
pub const USUAL: f64 = 1.0;

/// The load of one route over all reachable instances, per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RouteLoad {
    /// New flows that were placed.
    pub opens: f64,
    /// Requests.
    pub requests: f64,
    /// New flows that were refused.
    pub refused: f64,
    /// Open flows.
    pub flows: f64,
    /// Answers that are not short.
    pub answers: f64,
    /// Mean time that a request takes at a target that had a free slot, as far as was known.
    pub base_time: Span,
    /// Time that a request takes at a target without a queue: the least mean time lately.
    pub service_time: Span,
    /// Share of the answers that are far shorter than usual, as errors and rejections are.
    pub short_share: f64,
}

/// The estimates for one target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetLoad {
    /// Mean ratio of the time that requests take to the usual time of their routes.
    pub slowness: f64,
    /// Share of the answers that are far shorter than usual.
    pub short_share: f64,
    /// Time at which the estimate was made.
    pub updated: Instant,
}

impl Default for TargetLoad {
    /// Returns the estimates of an unknown target.
    fn default() -> Self {
        TargetLoad { slowness: USUAL, short_share: 0.0, updated: Instant::default() }
    }
}

impl TargetLoad {
    /// Returns whether the estimates differ from those of an unknown target.
    pub fn is_notable(&self) -> bool {
        self.slowness != USUAL || self.short_share > 0.0
    }
}

/// All estimates.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Number of the latest summary.
    pub(crate) epoch: u64,
    /// Time of the latest summary.
    pub(crate) updated: Option<Instant>,
    pub(crate) spread: f64,
    pub(crate) targets: FxHashMap<key::Target, TargetLoad>,
    pub(crate) routes: BTreeMap<key::Route, RouteLoad>,
}

impl View {
    /// Returns the mean ratio of the time that requests take at a target to the usual time
    /// of their routes, or 1.0 if it is near that or unknown.
    pub fn slowness(&self, target: key::Target) -> f64 {
        self.targets.get(&target).map_or(USUAL, |load| load.slowness)
    }

    /// Returns the share of a target's answers that are far shorter than usual, or zero if
    /// there are only a few.
    pub fn short_share(&self, target: key::Target) -> f64 {
        self.targets.get(&target).map_or(0.0, |load| load.short_share)
    }

    /// Returns the load of a route, if it is known.
    pub fn route(&self, route: key::Route) -> Option<&RouteLoad> {
        self.routes.get(&route)
    }

    /// Returns all routes with known load.
    pub fn routes(&self) -> impl Iterator<Item = (key::Route, &RouteLoad)> {
        self.routes.iter().map(|(key, load)| (*key, load))
    }

    /// Returns the targets with notable estimates.
    pub fn targets(&self) -> impl Iterator<Item = (key::Target, &TargetLoad)> {
        self.targets.iter().map(|(key, load)| (*key, load))
    }

    /// Returns the ratio of the slowest to the fastest tenth of the targets, or 1.0 if that
    /// is unknown.
    pub fn spread(&self) -> f64 {
        self.spread.max(1.0)
    }

    /// Returns the time since the latest summary, or `None` before the first one.
    pub fn age(&self, now: Instant) -> Option<Span> {
        self.updated.map(|at| now.since(at))
    }

    /// Returns the number of the latest summary, which rises about once a second.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }
}
