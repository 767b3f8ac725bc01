//! Messages between instances. All numbers are unsigned integers; fractions are in
//! thousandths.

use mustardway_types::time::Span;

use crate::key;
use crate::sums::{self, RATIO_MAX, Sums};
use crate::view::RouteLoad;

/// Maximum number of targets and of routes in a message.
pub const ENTRIES_MAX: usize = 128;
/// Greatest count that is accepted in a report: far more than one failure domain handles
/// between two reports.
const COUNT_MAX: u32 = 10_000_000;
/// Greatest mean time of a request that is accepted.
const TIME_MAX: Span = Span::seconds(60);
/// Greatest slowness and spread that is accepted.
const FACTOR_MAX: f64 = 64.0;

/// One message between instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Content of the message. It is `None` if the receiver does not know the variant.
    #[prost(oneof = "Body", tags = "1, 2")]
    pub body: Option<Body>,
}

/// Content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Sums for the parent, or for the roots of other failure domains.
    #[prost(message, tag = "1")]
    Report(Report),
    /// Estimates for the children.
    #[prost(message, tag = "2")]
    Summary(Summary),
}

/// Sums since the sender's previous report.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Sums by target.
    #[prost(message, repeated, tag = "1")]
    pub targets: Vec<TargetSums>,
    /// Sums by route.
    #[prost(message, repeated, tag = "2")]
    pub routes: Vec<RouteSums>,
    /// Whether the sums are of a whole failure domain.
    #[prost(bool, tag = "3")]
    pub is_domain: bool,
}

/// Sums of one target, see [`sums::Target`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TargetSums {
    /// Key of the target.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// Number of answers.
    #[prost(uint32, tag = "2")]
    pub answers: u32,
    /// Number of answers that show the speed.
    #[prost(uint32, tag = "3")]
    pub samples: u32,
    /// Sum of the ratios, in thousandths.
    #[prost(uint64, tag = "4")]
    pub ratio_millis: u64,
    /// Number of short answers.
    #[prost(uint32, tag = "5")]
    pub short: u32,
    /// Set of the instances that contributed.
    #[prost(fixed64, tag = "6")]
    pub contributors: u64,
}

/// Sums of one route, see [`sums::Route`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RouteSums {
    /// Key of the route.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// Number of flows that were placed.
    #[prost(uint32, tag = "2")]
    pub opens: u32,
    /// Number of requests.
    #[prost(uint32, tag = "3")]
    pub requests: u32,
    /// Number of flows that were refused.
    #[prost(uint32, tag = "4")]
    pub refused: u32,
    /// Number of answers.
    #[prost(uint32, tag = "5")]
    pub answers: u32,
    /// Number of late answers.
    #[prost(uint32, tag = "6")]
    pub late: u32,
    /// Number of answers whose times are known.
    #[prost(uint32, tag = "7")]
    pub timed: u32,
    /// Time at targets, in microseconds.
    #[prost(uint64, tag = "8")]
    pub time_micros: u64,
    /// Number of short answers.
    #[prost(uint32, tag = "9")]
    pub short: u32,
    /// Number of open flows.
    #[prost(uint32, tag = "10")]
    pub flows: u32,
}

/// Estimates of a root.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Summary {
    /// Number of the summary, which rises.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Ratio of the slowest to the fastest tenth of the targets, in thousandths.
    #[prost(uint32, tag = "2")]
    pub spread_millis: u32,
    /// Estimates of targets. Targets that are not in it stay as they were.
    #[prost(message, repeated, tag = "3")]
    pub targets: Vec<TargetEstimate>,
    /// Load of all routes that are in use.
    #[prost(message, repeated, tag = "4")]
    pub routes: Vec<RouteEstimate>,
}

/// Estimates of one target.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TargetEstimate {
    /// Key of the target.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// Slowness, in thousandths.
    #[prost(uint32, tag = "2")]
    pub slowness_millis: u32,
    /// Share of short answers, in thousandths.
    #[prost(uint32, tag = "3")]
    pub short_millis: u32,
}

/// Load of one route, see [`RouteLoad`]. Rates are in thousandths per second.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RouteEstimate {
    /// Key of the route.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// New flows that were placed.
    #[prost(uint64, tag = "2")]
    pub opens_millis: u64,
    /// Requests.
    #[prost(uint64, tag = "3")]
    pub requests_millis: u64,
    /// New flows that were refused.
    #[prost(uint64, tag = "4")]
    pub refused_millis: u64,
    /// Open flows.
    #[prost(uint32, tag = "5")]
    pub flows: u32,
    /// Mean time of a request at a target, in microseconds.
    #[prost(uint64, tag = "6")]
    pub base_micros: u64,
    /// Answers that are not short.
    #[prost(uint64, tag = "7")]
    pub answers_millis: u64,
    /// Share of late answers, in thousandths.
    #[prost(uint32, tag = "8")]
    pub late_millis: u32,
    /// Share of short answers, in thousandths.
    #[prost(uint32, tag = "9")]
    pub short_millis: u32,
}

impl Report {
    /// Creates a report of `sums`.
    pub fn new(sums: &Sums, is_domain: bool) -> Self {
        let mut report = Report { is_domain, ..Report::default() };
        for (key, sums) in &sums.targets {
            report.targets.push(TargetSums {
                key: key.0,
                answers: sums.answers,
                samples: sums.samples,
                ratio_millis: to_millis(sums.ratio),
                short: sums.short,
                contributors: sums.contributors,
            });
        }
        report.targets.sort_unstable_by_key(|entry| entry.key);
        for (key, sums) in &sums.routes {
            report.routes.push(RouteSums {
                key: key.0,
                opens: sums.opens,
                requests: sums.requests,
                refused: sums.refused,
                answers: sums.answers,
                late: sums.late,
                timed: sums.timed,
                time_micros: sums.time.0,
                short: sums.short,
                flows: sums.flows,
            });
        }
        report
    }

    /// Returns the sums, or `None` if any value is out of range.
    pub fn decode(&self) -> Option<Sums> {
        if self.targets.len() > ENTRIES_MAX || self.routes.len() > ENTRIES_MAX {
            return None;
        }
        let mut sums = Sums::default();
        for entry in &self.targets {
            sums.targets.insert(key::Target(entry.key), entry.decode()?);
        }
        for entry in &self.routes {
            sums.routes.insert(key::Route(entry.key), entry.decode()?);
        }
        Some(sums)
    }
}

impl TargetSums {
    fn decode(&self) -> Option<sums::Target> {
        let ratio = from_millis(self.ratio_millis);
        // Thousandths are rounded up.
        let ratio_max = RATIO_MAX * f64::from(self.samples) + 1.0;
        let is_valid = self.answers <= COUNT_MAX
            && self.samples <= self.answers
            && self.short <= self.answers
            && ratio <= ratio_max;
        is_valid.then_some(sums::Target {
            answers: self.answers,
            samples: self.samples,
            ratio,
            short: self.short,
            contributors: self.contributors,
        })
    }
}

impl RouteSums {
    fn decode(&self) -> Option<sums::Route> {
        let counts = [self.opens, self.requests, self.refused, self.answers, self.flows];
        let is_valid = counts.iter().all(|count| *count <= COUNT_MAX)
            && self.late <= self.answers
            && self.timed <= self.answers
            && self.short <= self.answers
            && self.time_micros <= u64::from(self.timed) * TIME_MAX.0;
        is_valid.then_some(sums::Route {
            opens: self.opens,
            requests: self.requests,
            refused: self.refused,
            answers: self.answers,
            late: self.late,
            timed: self.timed,
            time: Span(self.time_micros),
            short: self.short,
            flows: self.flows,
        })
    }
}

impl Summary {
    /// Returns whether all values are in range.
    pub fn is_valid(&self) -> bool {
        let factor_max = to_millis(FACTOR_MAX);
        let is_factor = |millis: u32| u64::from(millis) <= factor_max;
        self.targets.len() <= ENTRIES_MAX
            && self.routes.len() <= ENTRIES_MAX
            && is_factor(self.spread_millis)
            && self.targets.iter().all(|entry| {
                entry.slowness_millis > 0
                    && is_factor(entry.slowness_millis)
                    && entry.short_millis <= 1_000
            })
            && self.routes.iter().all(|entry| {
                let rates = [
                    entry.opens_millis,
                    entry.requests_millis,
                    entry.refused_millis,
                    entry.answers_millis,
                ];
                rates.iter().all(|rate| *rate <= u64::from(COUNT_MAX) * 1_000)
                    && entry.flows <= COUNT_MAX
                    && entry.base_micros <= TIME_MAX.0
                    && entry.late_millis <= 1_000
                    && entry.short_millis <= 1_000
            })
    }
}

impl RouteEstimate {
    /// Creates the entry of a route.
    pub fn new(key: key::Route, load: &RouteLoad) -> Self {
        RouteEstimate {
            key: key.0,
            opens_millis: to_millis(load.opens),
            requests_millis: to_millis(load.requests),
            refused_millis: to_millis(load.refused),
            flows: load.flows as u32,
            base_micros: load.base_time.0.min(TIME_MAX.0),
            answers_millis: to_millis(load.answers),
            late_millis: to_factor_millis(load.late_share),
            short_millis: to_factor_millis(load.short_share),
        }
    }

    /// Returns the load of the route.
    pub fn load(&self) -> RouteLoad {
        RouteLoad {
            opens: from_millis(self.opens_millis),
            requests: from_millis(self.requests_millis),
            refused: from_millis(self.refused_millis),
            flows: f64::from(self.flows),
            base_time: Span(self.base_micros),
            answers: from_millis(self.answers_millis),
            late_share: from_millis(u64::from(self.late_millis)),
            short_share: from_millis(u64::from(self.short_millis)),
        }
    }
}

impl From<Body> for Message {
    fn from(body: Body) -> Self {
        Message { body: Some(body) }
    }
}

/// Converts a number to thousandths, rounded up.
fn to_millis(value: f64) -> u64 {
    (value.max(0.0) * 1_000.0).ceil() as u64
}

/// Converts a factor to thousandths that are in range.
pub(crate) fn to_factor_millis(value: f64) -> u32 {
    to_millis(value.min(FACTOR_MAX)) as u32
}

/// Converts thousandths to a number.
pub(crate) fn from_millis(millis: u64) -> f64 {
    millis as f64 / 1_000.0
}
