//! Estimates from sums. Old sums lose weight, so that a target that has recovered gets
//! its share of the flows again and can show it.

use std::collections::BTreeMap;

use mustardway_types::time::{Instant, Span};
use rustc_hash::FxHashMap;

use crate::key;
use crate::message::FACTOR_MAX;
use crate::rates::{RATE_MIN, Route, kept};
use crate::sums::{self, Contributors, Sums};
use crate::view::{RouteLoad, TargetLoad, USUAL};

/// Time constant with which samples of a target lose weight. At 14 requests per second
/// and target, about 56 samples count.
const TARGET_TIME_CONSTANT: Span = Span::seconds(4);
/// Weight of the assumption that a target has the usual speed, in samples.
const PRIOR_SAMPLES: f64 = 3.0;
/// Range in which the slowness counts as usual, so that chance differences do not change
/// the placement.
const USUAL_RANGE: (f64, f64) = (0.75, 1.5);
/// Least slowness: a target that answers faster than that does other work.
const SLOWNESS_MIN: f64 = 0.5;
/// Number of instances that have to have seen a target for its slowness to count. One
/// instance alone may be the slow part itself.
const CONTRIBUTORS_MIN: usize = 2;
/// Weight of an estimate that another root made, in samples.
const INHERITED_SAMPLES: f64 = 10.0;
/// Weight of a share of short answers that another root made, in answers. It is so high that
/// half of them are more than `SHORT_MIN` until reports arrive.
const INHERITED_ANSWERS: f64 = 20.0;
/// Time for which the rates that another root made are used: two intervals, in which each
/// instance reports to its new parent, and that reports to the new root.
const INHERITED_RATES_TIME: Span = Span::seconds(1);
/// Number of short answers from which on their share counts.
const SHORT_MIN: f64 = 5.0;
/// Weight below which a target is forgotten, in answers.
const WEIGHT_MIN: f64 = 0.05;

/// Decayed sums of one target.
#[derive(Debug, Clone, Copy, Default)]
struct Target {
    updated: Instant,
    answers: f64,
    samples: f64,
    ratio: f64,
    short: f64,
    contributors: Window,
}

/// The instances that contributed during the current and the previous time constant.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    since: Instant,
    current: Contributors,
    previous: Contributors,
}

impl Window {
    fn add(&mut self, contributors: Contributors, now: Instant) {
        if now.since(self.since) >= TARGET_TIME_CONSTANT {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current = self.current.union(contributors);
    }

    fn count(&self) -> usize {
        self.current.union(self.previous).count()
    }
}

impl Target {
    fn decay(&mut self, now: Instant) {
        let kept = kept(now.since(self.updated), TARGET_TIME_CONSTANT);
        self.updated = now;
        self.answers *= kept;
        self.samples *= kept;
        self.ratio *= kept;
        self.short *= kept;
    }

    fn load(&self, members: usize) -> TargetLoad {
        let mean = (self.ratio + PRIOR_SAMPLES * USUAL) / (self.samples + PRIOR_SAMPLES);
        let is_confirmed = self.contributors.count() >= CONTRIBUTORS_MIN.min(members);
        let is_usual = (USUAL_RANGE.0..=USUAL_RANGE.1).contains(&mean);
        let slowness = if is_usual || !is_confirmed { USUAL } else { mean.max(SLOWNESS_MIN) };
        let has_short = self.short >= SHORT_MIN && is_confirmed;
        let short_share = if has_short { self.short / self.answers.max(1.0) } else { 0.0 };
        TargetLoad { slowness, short_share, updated: self.updated }
    }
}

/// Decayed sums of all targets and routes.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    targets: FxHashMap<key::Target, Target>,
    routes: BTreeMap<key::Route, Route>,
    /// Time up to which the routes have decayed.
    routes_updated: Instant,
    /// Time of the latest update of the rates.
    rates_updated: Instant,
    /// Time up to which the rates stay as another root has estimated them.
    rates_held: Instant,
}

impl Estimates {
    /// Creates estimates of an instance that starts `now`.
    pub fn new(now: Instant) -> Self {
        Estimates { routes_updated: now, rates_updated: now, ..Estimates::default() }
    }

    /// Adds sums that arrive `now`.
    pub fn record(&mut self, sums: &Sums, now: Instant) {
        self.decay_routes(now);
        for (key, sums) in &sums.targets {
            self.record_target(*key, sums, now);
        }
        for (key, sums) in &sums.routes {
            self.routes.entry(*key).or_default().record(sums);
        }
    }

    /// Updates the rates by what has arrived since the latest update. Sums arrive in batches,
    /// one from each peer in the time between two reports, so that an update is due at the
    /// same interval: otherwise the rates would depend on the time since the latest batch.
    pub fn update_rates(&mut self, now: Instant) {
        self.targets.retain(|_, target| {
            let kept = kept(now.since(target.updated), TARGET_TIME_CONSTANT);
            target.answers * kept >= WEIGHT_MIN
        });
        let passed = now.since(self.rates_updated);
        if passed == Span::ZERO {
            return;
        }
        if now < self.rates_held {
            self.skip(now);
            return;
        }
        self.rates_updated = now;
        for route in self.routes.values_mut() {
            route.update_rates(passed);
        }
    }

    /// Leaves the time since the latest update out of the rates.
    pub fn skip(&mut self, now: Instant) {
        self.rates_updated = now;
        for route in self.routes.values_mut() {
            route.skip();
        }
    }

    fn record_target(&mut self, key: key::Target, sums: &sums::Target, now: Instant) {
        let target = self.targets.entry(key).or_default();
        target.decay(now);
        target.answers += f64::from(sums.answers);
        target.samples += f64::from(sums.samples);
        target.ratio += sums.ratio;
        target.short += f64::from(sums.short);
        target.contributors.add(sums.contributors, now);
    }

    /// Takes over the estimates of a former root. The rates stay as they are until the sums of
    /// the whole tree arrive again.
    pub fn inherit(
        &mut self,
        targets: &FxHashMap<key::Target, TargetLoad>,
        routes: &BTreeMap<key::Route, RouteLoad>,
        now: Instant,
    ) {
        for (key, load) in targets {
            self.inherit_target(*key, load, now);
        }
        for (key, load) in routes {
            let route = self.routes.entry(*key).or_default();
            route.inherit(load, INHERITED_SAMPLES);
        }
        if !routes.is_empty() {
            self.rates_held = now + INHERITED_RATES_TIME;
        }
    }

    /// Takes over the estimate that another instance made of a target, unless enough samples
    /// of the target are known.
    fn inherit_target(&mut self, key: key::Target, load: &TargetLoad, now: Instant) {
        if !load.is_notable() {
            return;
        }
        let target = self.targets.entry(key).or_default();
        target.decay(now);
        target.contributors.add(Contributors::SEVERAL, now);
        if target.samples < INHERITED_SAMPLES {
            target.samples += INHERITED_SAMPLES;
            target.ratio += INHERITED_SAMPLES * load.slowness;
        }
        if target.answers < INHERITED_ANSWERS {
            target.answers += INHERITED_ANSWERS;
            target.short += INHERITED_ANSWERS * load.short_share;
        }
    }

    /// Returns the usual time of a route, if any answer is known.
    pub fn base_time(&self, route: key::Route) -> Option<Span> {
        self.routes.get(&route)?.base_time()
    }

    /// Returns the estimates of all targets, from `members` instances that could have
    /// contributed.
    pub fn targets(&mut self, members: usize, now: Instant) -> Vec<(key::Target, TargetLoad)> {
        let mut loads = Vec::new();
        self.targets.retain(|_, target| {
            target.decay(now);
            target.answers >= WEIGHT_MIN
        });
        for (key, target) in &self.targets {
            loads.push((*key, target.load(members)));
        }
        loads.sort_unstable_by_key(|(key, _)| *key);
        loads
    }

    /// Returns the load of all routes in use, as of the latest update of the rates. `flows`
    /// are the open flows.
    pub fn routes(
        &mut self,
        flows: &BTreeMap<key::Route, u32>,
        now: Instant,
    ) -> BTreeMap<key::Route, RouteLoad> {
        self.decay_routes(now);
        let mut loads = BTreeMap::new();
        for (key, route) in &self.routes {
            let load = route.load(flows.get(key).copied().unwrap_or_default());
            if load.requests + load.opens + load.refused >= RATE_MIN || load.flows > 0.0 {
                loads.insert(*key, load);
            }
        }
        loads
    }

    /// Returns the ratio of the slowest to the fastest tenth of the targets with enough
    /// samples.
    pub fn spread(&self) -> f64 {
        let mut means = Vec::new();
        for target in self.targets.values() {
            if target.samples >= PRIOR_SAMPLES {
                means.push(target.ratio / target.samples);
            }
        }
        means.sort_unstable_by(f64::total_cmp);
        let tenth = means.len() / 10;
        match (means.get(tenth), means.len().checked_sub(tenth + 1).and_then(|at| means.get(at))) {
            (Some(fast), Some(slow)) if *fast > 0.0 => (slow / fast).min(FACTOR_MAX),
            _ => USUAL,
        }
    }

    fn decay_routes(&mut self, now: Instant) {
        let passed = now.since(self.routes_updated);
        self.routes_updated = now;
        for route in self.routes.values_mut() {
            route.decay(passed);
        }
        self.routes.retain(|_, route| route.is_in_use());
    }
}
