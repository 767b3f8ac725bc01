//! Sums of samples. Sums of several instances are added up, so each sample counts once.

use std::collections::BTreeMap;

use mustardway_types::time::Span;
use rustc_hash::FxHashMap;

use crate::key;
use crate::sample::{Answer, Sample};

/// Greatest ratio that one sample counts with: the work of requests has a heavy tail, and
/// no single one may make a target look slow.
pub const RATIO_MAX: f64 = 8.0;

/// Greatest time that one sample counts with. Receivers accept no higher mean time.
pub const TIME_MAX: Span = Span::seconds(60);

/// Greatest count of a sum: far more than one failure domain handles between two reports.
/// Receivers accept no higher one.
pub const COUNT_MAX: u32 = 10_000_000;

/// Returns the ratio of the time of an answer to the `usual` time of its route, if the
/// answer shows the speed of its target.
pub fn ratio(answer: &Answer, usual: Option<Span>) -> Option<f64> {
    let usual =
        usual.filter(|usual| *usual > Span::ZERO && !answer.is_short && answer.is_unqueued)?;
    Some((answer.time.0 as f64 / usual.0 as f64).min(RATIO_MAX))
}

/// Whether no, one or several instances contributed to a sum, and which one. That tells
/// instances apart better than a set of 64 hash values, in two bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Contributors(u32);

impl Contributors {
    /// No instance.
    pub const NONE: Contributors = Contributors(0);
    /// Several instances.
    pub const SEVERAL: Contributors = Contributors(1);
    /// Least value of one instance.
    const ONE_MIN: u32 = 2;
    /// Greatest value of one instance, the greatest number that is sent in two bytes.
    const ONE_MAX: u32 = 16_383;

    /// Returns the instance with a hash value.
    pub fn one(hash: u64) -> Self {
        let values = u64::from(Self::ONE_MAX - Self::ONE_MIN + 1);
        Contributors(Self::ONE_MIN + (hash % values) as u32)
    }

    /// Returns the instances of both.
    #[must_use]
    pub fn union(self, other: Contributors) -> Contributors {
        match (self, other) {
            (Self::NONE, any) | (any, Self::NONE) => any,
            (first, second) if first == second => first,
            _ => Self::SEVERAL,
        }
    }

    /// Returns the number of instances, or 2 if there are more.
    pub fn count(self) -> usize {
        match self {
            Self::NONE => 0,
            Self::SEVERAL => 2,
            _ => 1,
        }
    }

    /// Returns the value that is sent.
    pub fn encode(self) -> u32 {
        self.0
    }

    /// Returns the contributors of a value that was sent, or `None` if it is out of range.
    pub fn decode(value: u32) -> Option<Self> {
        (value <= Self::ONE_MAX).then_some(Contributors(value))
    }
}

/// Sums of the samples of one target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Target {
    /// Number of answers.
    pub answers: u32,
    /// Number of answers that show the speed of the target.
    pub samples: u32,
    /// Sum of the ratios of these samples to the usual time of their routes.
    pub ratio: f64,
    /// Number of short answers.
    pub short: u32,
    /// The instances that contributed.
    pub contributors: Contributors,
    /// Number of reports that left the target out. It is not sent.
    pub waits: u32,
}

impl Target {
    fn add(&mut self, other: &Target) {
        self.answers = add(self.answers, other.answers);
        self.samples = add(self.samples, other.samples);
        self.ratio = (self.ratio + other.ratio).min(RATIO_MAX * f64::from(self.samples));
        self.short = add(self.short, other.short);
        self.contributors = self.contributors.union(other.contributors);
        self.waits = self.waits.max(other.waits);
    }

    /// Returns the priority in a report. It rises with the time, so that each target is sent
    /// at some point and none is kept for good.
    fn priority(&self) -> u32 {
        self.answers.saturating_add(self.waits)
    }
}

/// Sums of the samples of one route.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Route {
    /// Number of flows that were placed.
    pub opens: u32,
    /// Number of requests.
    pub requests: u32,
    /// Number of flows that were refused.
    pub refused: u32,
    /// Number of answers.
    pub answers: u32,
    /// Number of answers whose times are in `time`: the unqueued ones, unless this instance
    /// itself is slow.
    pub timed: u32,
    /// Number of short answers.
    pub short: u32,
    /// Number of answers that are not short, from targets that had a free slot.
    pub unqueued: u32,
    /// Time that the requests spent at targets.
    pub time: Span,
    /// Number of open flows now. It is not a sum over time, so adding sums leaves it out.
    pub flows: u32,
}

impl Route {
    fn add(&mut self, other: &Route) {
        self.opens = add(self.opens, other.opens);
        self.requests = add(self.requests, other.requests);
        self.refused = add(self.refused, other.refused);
        self.answers = add(self.answers, other.answers);
        self.timed = add(self.timed, other.timed);
        self.time = (self.time + other.time).min(Span(u64::from(self.timed) * TIME_MAX.0));
        self.short = add(self.short, other.short);
        self.unqueued = add(self.unqueued, other.unqueued);
    }
}

/// Adds two counts up to the greatest one that receivers accept, so that one wrong count does
/// not make them ignore all others.
fn add(first: u32, second: u32) -> u32 {
    first.saturating_add(second).min(COUNT_MAX)
}

/// Sums by target and by route.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sums {
    /// Sums of each target.
    pub targets: FxHashMap<key::Target, Target>,
    /// Sums of each route.
    pub routes: BTreeMap<key::Route, Route>,
}

impl Sums {
    /// Adds a sample. `usual` is the usual time of its route, if that is known, and
    /// `contributor` is this instance.
    pub fn record(&mut self, sample: &Sample, usual: Option<Span>, contributor: Contributors) {
        match sample {
            Sample::Answered(answer) => self.record_answer(answer, usual, contributor),
            Sample::Requested(route) => self.route(*route).requests += 1,
            Sample::Opened(route) => self.route(*route).opens += 1,
            Sample::Refused(route) => self.route(*route).refused += 1,
        }
    }

    fn route(&mut self, route: key::Route) -> &mut Route {
        self.routes.entry(route).or_default()
    }

    fn record_answer(&mut self, answer: &Answer, usual: Option<Span>, contributor: Contributors) {
        let route = self.route(answer.route);
        route.answers += 1;
        route.short += u32::from(answer.is_short);
        // A full target rejects requests, which shows nothing of the target itself.
        if !answer.is_unqueued {
            return;
        }
        let target = self.targets.entry(answer.target).or_default();
        target.answers += 1;
        target.contributors = target.contributors.union(contributor);
        if answer.is_short {
            target.short += 1;
            return;
        }
        let route = self.routes.entry(answer.route).or_default();
        route.unqueued += 1;
        route.timed += 1;
        route.time = route.time + answer.time.min(TIME_MAX);
        let Some(ratio) = ratio(answer, usual) else { return };
        target.samples += 1;
        target.ratio += ratio;
    }

    /// Adds the sums of another instance.
    pub fn add(&mut self, other: &Sums) {
        for (key, target) in &other.targets {
            self.targets.entry(*key).or_default().add(target);
        }
        for (key, route) in &other.routes {
            self.routes.entry(*key).or_default().add(route);
        }
    }

    /// Removes everything that shows the speed of targets.
    pub fn remove_speeds(&mut self) {
        self.targets.clear();
        for route in self.routes.values_mut() {
            route.timed = 0;
            route.time = Span::ZERO;
        }
    }

    /// Returns whether there are no sums.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty() && self.routes.is_empty()
    }

    /// Removes and returns at most `targets_max` targets, those with the most answers and the
    /// longest wait, and `routes_max` routes, those with the most requests.
    #[must_use]
    pub fn take(&mut self, targets_max: usize, routes_max: usize) -> Sums {
        let mut taken = std::mem::take(self);
        if taken.targets.len() > targets_max {
            let mut ranked: Vec<(key::Target, Target)> = taken.targets.drain().collect();
            ranked.sort_unstable_by_key(|(key, sums)| (std::cmp::Reverse(sums.priority()), *key));
            for (key, mut sums) in ranked.split_off(targets_max) {
                sums.waits = sums.waits.saturating_add(1);
                self.targets.insert(key, sums);
            }
            taken.targets = ranked.into_iter().collect();
        }
        if taken.routes.len() > routes_max {
            let mut ranked: Vec<(key::Route, Route)> =
                std::mem::take(&mut taken.routes).into_iter().collect();
            ranked.sort_unstable_by_key(|(key, sums)| (std::cmp::Reverse(sums.requests), *key));
            self.routes = ranked.split_off(routes_max).into_iter().collect();
            taken.routes = ranked.into_iter().collect();
        }
        taken
    }
}
