//! Rates and times of one route.

use mustardway_types::time::Span;

use crate::sums;
use crate::view::RouteLoad;

/// Time constant of the usual time of a route, which changes only with the work.
const BASE_TIME_CONSTANT: Span = Span::seconds(10);
/// Number of answers whose mean time updates the service time.
const SERVICE_ANSWERS_MIN: f64 = 20.0;
/// Weight of a lower mean in the service time. What is lower had less of a queue.
const SERVICE_FALL: f64 = 0.5;
/// Least share of the answers from targets with a free slot at which the service time may rise:
/// otherwise most requests wait.
const UNQUEUED_SHARE_MIN: f64 = 0.5;
/// Time constant of the rates and the share of short answers of a route: a burst
/// that has ended is forgotten within a second.
const RECENT_TIME_CONSTANT: Span = Span::millis(700);
/// The same while the rate of requests changes abruptly, as at both ends of a burst.
const ABRUPT_TIME_CONSTANT: Span = Span::millis(100);
/// Ratio of two rates of requests from which on a change is abrupt.
const ABRUPT_RATIO: f64 = 1.3;
/// Number of requests from which on a change of that size is not chance.
const ABRUPT_REQUESTS_MIN: f64 = 100.0;
/// Least share of the unqueued answers whose times the instances send. If it is below that,
/// most instances take themselves to be slow, so that the work of the route has changed and
/// its usual time is learned anew.
const TIMED_SHARE_MIN: f64 = 0.5;

/// Requests per second below which a route is not in use.
pub(crate) const RATE_MIN: f64 = 0.01;

/// Counts or rates of one route.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    opens: f64,
    requests: f64,
    refused: f64,
    answers: f64,
    short: f64,
}

impl Counts {
    fn add(&mut self, sums: &sums::Route) {
        self.opens += f64::from(sums.opens);
        self.requests += f64::from(sums.requests);
        self.refused += f64::from(sums.refused);
        self.answers += f64::from(sums.answers);
        self.short += f64::from(sums.short);
    }

    /// Combines each value with that of `other`.
    fn combine(&mut self, other: &Counts, combine: impl Fn(f64, f64) -> f64) {
        self.opens = combine(self.opens, other.opens);
        self.requests = combine(self.requests, other.requests);
        self.refused = combine(self.refused, other.refused);
        self.answers = combine(self.answers, other.answers);
        self.short = combine(self.short, other.short);
    }
}

/// Rates and decayed sums of one route.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Route {
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
    pub(crate) fn record(&mut self, sums: &sums::Route) {
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

    pub(crate) fn decay(&mut self, passed: Span) {
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
    pub(crate) fn update_rates(&mut self, passed: Span) {
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

    pub(crate) fn load(&self, flows: u32) -> RouteLoad {
        let rates = &self.rates;
        let share = |rate: f64| if rates.answers > 0.0 { rate / rates.answers } else { 0.0 };
        RouteLoad {
            opens: rates.opens,
            requests: rates.requests,
            refused: rates.refused,
            flows: f64::from(flows),
            base_time: self.base_time().unwrap_or_default(),
            service_time: Span(self.service_time as u64),
            answers: (rates.answers - rates.short).max(0.0),
            short_share: share(rates.short),
        }
    }

    /// Takes over the rates and times that another instance has estimated, the times with the
    /// weight of some samples. Rates that are higher here stay.
    pub(crate) fn inherit(&mut self, load: &RouteLoad, samples: f64) {
        if self.timed < samples && load.base_time > Span::ZERO {
            self.timed += samples;
            self.unqueued += samples;
            self.time += samples * load.base_time.0 as f64;
        }
        if self.service_time == 0.0 {
            self.service_time = load.service_time.0 as f64;
        }
        let answers = load.answers / (1.0 - load.short_share).max(0.05);
        let inherited = Counts {
            opens: load.opens,
            requests: load.requests,
            refused: load.refused,
            answers,
            short: answers * load.short_share,
        };
        self.rates.combine(&inherited, f64::max);
    }

    /// Leaves the counts since the latest update out of the rates.
    pub(crate) fn skip(&mut self) {
        self.arrived = Counts::default();
    }

    /// Returns the usual time, if any answer is known.
    pub(crate) fn base_time(&self) -> Option<Span> {
        (self.timed > 0.0).then(|| Span((self.time / self.timed) as u64))
    }

    pub(crate) fn is_in_use(&self) -> bool {
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

/// Returns the share of a value that is left after `passed`.
pub(crate) fn kept(passed: Span, time_constant: Span) -> f64 {
    (-passed.as_seconds() / time_constant.as_seconds()).exp()
}
