//! Estimates from sums. Old sums lose weight, so that a target that has recovered gets
//! its share of the flows again and can show it.

use std::collections::BTreeMap;

use mustardway_types::time::{Instant, Span};
use rustc_hash::FxHashMap;

use crate::key;
use crate::message::FACTOR_MAX;
use crate::sums::{self, Contributors, Sums};
use crate::view::{RouteLoad, TargetLoad, USUAL};

/// Time constant with which samples of a target lose weight. At 14 requests per second
/// and target, about 56 samples count.
const TARGET_TIME_CONSTANT: Span = Span::seconds(4);
/// Time constant of the usual time of a route, which changes only with the work.
const BASE_TIME_CONSTANT: Span = Span::seconds(10);
/// Number of answers whose mean time updates the service time.
const SERVICE_ANSWERS_MIN: f64 = 20.0;
/// Weight of a lower mean in the service time. What is lower had less of a queue.
const SERVICE_FALL: f64 = 0.5;
/// Least share of the answers from targets with a free slot at which the service time may rise:
/// otherwise most requests wait.
const UNQUEUED_SHARE_MIN: f64 = 0.5;
/// Time constant of the rates and the shares of late and short answers of a route: a burst
/// that has ended is forgotten within a second.
const RECENT_TIME_CONSTANT: Span = Span::millis(700);
/// The same while the rate of requests changes abruptly, as at both ends of a burst.
const ABRUPT_TIME_CONSTANT: Span = Span::millis(100);
/// Ratio of two rates of requests from which on a change is abrupt.
const ABRUPT_RATIO: f64 = 1.3;
/// Number of requests from which on a change of that size is not chance.
const ABRUPT_REQUESTS_MIN: f64 = 100.0;
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
/// Least share of the unqueued answers whose times the instances send. If it is below that,
/// most instances take themselves to be slow, so that the work of the route has changed and
/// its usual time is learned anew.
const TIMED_SHARE_MIN: f64 = 0.5;
/// Number of short answers from which on their share counts.
const SHORT_MIN: f64 = 5.0;
/// Weight below which a target is forgotten, in answers.
const WEIGHT_MIN: f64 = 0.05;
/// Requests per second below which a route is not in use.
const RATE_MIN: f64 = 0.01;

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

/// Counts or rates of one route.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    opens: f64,
    requests: f64,
    refused: f64,
    answers: f64,
    late: f64,
    short: f64,
}

impl Counts {
    fn add(&mut self, sums: &sums::Route) {
        self.opens += f64::from(sums.opens);
        self.requests += f64::from(sums.requests);
        self.refused += f64::from(sums.refused);
        self.answers += f64::from(sums.answers);
        self.late += f64::from(sums.late);
        self.short += f64::from(sums.short);
    }

    /// Combines each value with that of `other`.
    fn combine(&mut self, other: &Counts, combine: impl Fn(f64, f64) -> f64) {
        self.opens = combine(self.opens, other.opens);
        self.requests = combine(self.requests, other.requests);
        self.refused = combine(self.refused, other.refused);
        self.answers = combine(self.answers, other.answers);
        self.late = combine(self.late, other.late);
        self.short = combine(self.short, other.short);
    }
}

/// Rates and decayed sums of one route.
#[derive(Debug, Clone, Copy, Default)]
struct Route {
    /// Counts since the rates were last updated.
    arrived: Counts,
    /// Counts per second.
    rates: Counts,
    /// Time at targets in microseconds, and its number of answers, over a longer time.
    time: f64,
    timed: f64,
    /// Unqueued answers over the same time, also those without a time.
    unqueued: f64,
    /// Time in microseconds that a request takes at a target without a queue.
    service_time: f64,
    /// Sums since the latest update of the service time.
    since_update: Timed,
}

impl Route {
    fn record(&mut self, sums: &sums::Route) {
        self.arrived.add(sums);
        self.time += sums.time.0 as f64;
        self.timed += f64::from(sums.timed);
        self.unqueued += f64::from(sums.unqueued);
        self.since_update.time += sums.time.0 as f64;
        self.since_update.timed += f64::from(sums.timed);
        self.since_update.proper += f64::from(sums.answers.saturating_sub(sums.short));
        if self.timed < TIMED_SHARE_MIN * self.unqueued {
            (self.time, self.timed, self.unqueued) = (0.0, 0.0, 0.0);
            self.service_time = 0.0;
        }
    }

    fn decay(&mut self, passed: Span) {
        let base = kept(passed, BASE_TIME_CONSTANT);
        self.time *= base;
        self.timed *= base;
        self.unqueued *= base;
    }

    /// Updates the service time: it follows lower times fast. Times rise with the queues, so
    /// it follows higher ones slowly, and only while most requests find a free slot.
    fn update_service_time(&mut self, passed: Span) {
        self.since_update.passed = self.since_update.passed + passed;
        if self.since_update.timed < SERVICE_ANSWERS_MIN {
            return;
        }
        let sums = std::mem::take(&mut self.since_update);
        let mean = sums.time / sums.timed;
        if self.service_time == 0.0 {
            self.service_time = mean;
        } else if mean < self.service_time {
            self.service_time += (mean - self.service_time) * SERVICE_FALL;
        } else if sums.timed >= UNQUEUED_SHARE_MIN * sums.proper {
            let weight = 1.0 - kept(sums.passed, BASE_TIME_CONSTANT);
            self.service_time += (mean - self.service_time) * weight;
        }
    }

    /// Updates the rates by what has arrived during `passed`.
    fn update_rates(&mut self, passed: Span) {
        self.update_service_time(passed);
        let seconds = passed.as_seconds();
        let arrived = std::mem::take(&mut self.arrived);
        let expected = self.rates.requests * seconds;
        let (least, most) = (expected.min(arrived.requests), expected.max(arrived.requests));
        let is_abrupt = most >= ABRUPT_REQUESTS_MIN && most > least * ABRUPT_RATIO;
        let time_constant = if is_abrupt { ABRUPT_TIME_CONSTANT } else { RECENT_TIME_CONSTANT };
        let kept = kept(passed, time_constant);
        self.rates.combine(&arrived, |rate, count| rate * kept + count / seconds * (1.0 - kept));
    }

    fn load(&self, flows: u32) -> RouteLoad {
        let rates = &self.rates;
        let base_time = if self.timed > 0.0 { self.time / self.timed } else { 0.0 };
        let share = |rate: f64| if rates.answers > 0.0 { rate / rates.answers } else { 0.0 };
        RouteLoad {
            opens: rates.opens,
            requests: rates.requests,
            refused: rates.refused,
            flows: f64::from(flows),
            base_time: Span(base_time as u64),
            service_time: Span(self.service_time as u64),
            answers: (rates.answers - rates.short).max(0.0),
            late_share: share(rates.late),
            short_share: share(rates.short),
        }
    }

    fn is_in_use(&self) -> bool {
        let rates = self.rates.requests + self.rates.opens + self.rates.refused;
        let arrived = self.arrived.requests + self.arrived.opens + self.arrived.refused;
        self.timed + rates + arrived >= RATE_MIN
    }
}

/// Times of the answers of a route over some time.
#[derive(Debug, Clone, Copy, Default)]
struct Timed {
    /// Time at targets in microseconds, and its number of answers.
    time: f64,
    timed: f64,
    /// Answers that are not short, queued or not.
    proper: f64,
    passed: Span,
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
            route.arrived = Counts::default();
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
            self.inherit_route(*key, load);
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

    /// Takes over the rates and the usual time of a route that another instance has
    /// estimated. Rates that are higher here stay.
    fn inherit_route(&mut self, key: key::Route, load: &RouteLoad) {
        let route = self.routes.entry(key).or_default();
        if route.timed < INHERITED_SAMPLES && load.base_time > Span::ZERO {
            route.timed += INHERITED_SAMPLES;
            route.unqueued += INHERITED_SAMPLES;
            route.time += INHERITED_SAMPLES * load.base_time.0 as f64;
        }
        if route.service_time == 0.0 {
            route.service_time = load.service_time.0 as f64;
        }
        let answers = load.answers / (1.0 - load.short_share).max(0.05);
        let inherited = Counts {
            opens: load.opens,
            requests: load.requests,
            refused: load.refused,
            answers,
            late: answers * load.late_share,
            short: answers * load.short_share,
        };
        route.rates.combine(&inherited, f64::max);
    }

    /// Returns the usual time of a route, if any answer is known.
    pub fn base_time(&self, route: key::Route) -> Option<Span> {
        let route = self.routes.get(&route).filter(|route| route.timed > 0.0)?;
        Some(Span((route.time / route.timed) as u64))
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

/// Returns the share of a value that is left after `passed`.
fn kept(passed: Span, time_constant: Span) -> f64 {
    (-passed.as_seconds() / time_constant.as_seconds()).exp()
}
