//! Messages between instances. All numbers are unsigned integers; fractions are in
//! thousandths.

use mustardway_types::time::Span;

use crate::column::{TargetEstimates, TargetSums};
use crate::key;
use crate::sums::{self, COUNT_MAX, Sums, TIME_MAX};
use crate::view::RouteLoad;

/// Maximum number of targets and of routes in a message. With three failure domains a root
/// receives up to 6 reports in an interval, and sends 4 summaries and 2 reports. Sent and
/// received bytes together have to stay below 28 KB/s.
pub const ENTRIES_MAX: usize = 96;
/// Greatest number of a summary that is accepted: far more than a fleet ever sends, and so
/// low that it can go on rising.
const NUMBER_MAX: u64 = 1 << 48;
/// Greatest rate that is accepted, in thousandths per second.
const RATE_MILLIS_MAX: u64 = COUNT_MAX as u64 * 1_000;
/// Greatest slowness and spread that is accepted.
pub(crate) const FACTOR_MAX: f64 = 64.0;

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
    #[prost(message, optional, boxed, tag = "1")]
    pub targets: Option<Box<TargetSums>>,
    /// Sums by route.
    #[prost(message, repeated, tag = "2")]
    pub routes: Vec<RouteSums>,
    /// Whether the sums are of a whole failure domain.
    #[prost(bool, tag = "3")]
    pub is_domain: bool,
    /// Number of the latest summary that the sender knows. A new root goes on from there,
    /// since others ignore summaries with lower numbers.
    #[prost(uint64, tag = "4")]
    pub number: u64,
}

/// Sums of one route, see [`sums::Route`]. Tag 6 is taken: older instances send late answers in
/// it.
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
    /// Number of answers that are not short, from targets that had a free slot.
    #[prost(uint32, tag = "11")]
    pub unqueued: u32,
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
    #[prost(message, optional, tag = "3")]
    pub targets: Option<TargetEstimates>,
    /// Load of all routes that are in use.
    #[prost(message, repeated, tag = "4")]
    pub routes: Vec<RouteEstimate>,
}

/// Load of one route, see [`RouteLoad`]. Rates are in thousandths per second. Tag 8 is taken:
/// older instances send the share of late answers in it.
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
    /// Share of short answers, in thousandths.
    #[prost(uint32, tag = "9")]
    pub short_millis: u32,
    /// Time of a request at a target without a queue, in microseconds.
    #[prost(uint64, tag = "10")]
    pub service_micros: u64,
}

impl Report {
    /// Creates a report of `sums`. `number` is that of the latest summary.
    pub fn new(sums: &Sums, is_domain: bool, number: u64) -> Self {
        let mut report = Report { is_domain, number, ..Report::default() };
        let mut targets: Vec<_> = sums.targets.iter().map(|(key, sums)| (*key, *sums)).collect();
        targets.sort_unstable_by_key(|(key, _)| *key);
        report.targets = (!targets.is_empty()).then(|| Box::new(TargetSums::new(&targets)));
        for (key, sums) in &sums.routes {
            report.routes.push(RouteSums {
                key: key.0,
                opens: sums.opens,
                requests: sums.requests,
                refused: sums.refused,
                answers: sums.answers,
                timed: sums.timed,
                time_micros: sums.time.0,
                short: sums.short,
                flows: sums.flows.min(COUNT_MAX),
                unqueued: sums.unqueued,
            });
        }
        report
    }

    /// Returns the sums, or `None` if any value is out of range.
    pub fn decode(&self) -> Option<Sums> {
        if self.routes.len() > ENTRIES_MAX || self.number > NUMBER_MAX {
            return None;
        }
        let mut sums = Sums::default();
        if let Some(targets) = &self.targets {
            sums.targets.extend(targets.decode()?);
        }
        for entry in &self.routes {
            sums.routes.insert(key::Route(entry.key), entry.decode()?);
        }
        Some(sums)
    }
}

impl RouteSums {
    fn decode(&self) -> Option<sums::Route> {
        let counts = [self.opens, self.requests, self.refused, self.answers, self.flows];
        let is_valid = counts.iter().all(|count| *count <= COUNT_MAX)
            && self.timed <= self.answers
            && self.short <= self.answers
            && self.unqueued <= self.answers
            && self.time_micros <= u64::from(self.timed) * TIME_MAX.0;
        is_valid.then_some(sums::Route {
            opens: self.opens,
            requests: self.requests,
            refused: self.refused,
            answers: self.answers,
            timed: self.timed,
            time: Span(self.time_micros),
            short: self.short,
            flows: self.flows,
            unqueued: self.unqueued,
        })
    }
}

impl Summary {
    /// Returns whether all values are in range.
    pub fn is_valid(&self) -> bool {
        self.number <= NUMBER_MAX
            && self.routes.len() <= ENTRIES_MAX
            && u64::from(self.spread_millis) <= to_millis(FACTOR_MAX)
            && self.targets.as_ref().is_none_or(TargetEstimates::is_valid)
            && self.routes.iter().all(|entry| {
                let rates = [
                    entry.opens_millis,
                    entry.requests_millis,
                    entry.refused_millis,
                    entry.answers_millis,
                ];
                rates.iter().all(|rate| *rate <= RATE_MILLIS_MAX)
                    && entry.flows <= COUNT_MAX
                    && entry.base_micros <= TIME_MAX.0
                    && entry.service_micros <= TIME_MAX.0
                    && entry.short_millis <= 1_000
            })
    }
}

impl RouteEstimate {
    /// Creates the entry of a route.
    pub fn new(key: key::Route, load: &RouteLoad) -> Self {
        RouteEstimate {
            key: key.0,
            opens_millis: to_rate_millis(load.opens),
            requests_millis: to_rate_millis(load.requests),
            refused_millis: to_rate_millis(load.refused),
            flows: (load.flows as u32).min(COUNT_MAX),
            base_micros: load.base_time.0.min(TIME_MAX.0),
            service_micros: load.service_time.0.min(TIME_MAX.0),
            answers_millis: to_rate_millis(load.answers),
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
            service_time: Span(self.service_micros),
            answers: from_millis(self.answers_millis),
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
pub(crate) fn to_millis(value: f64) -> u64 {
    (value.max(0.0) * 1_000.0).ceil() as u64
}

/// Converts a rate to thousandths that are in range.
fn to_rate_millis(rate: f64) -> u64 {
    to_millis(rate).min(RATE_MILLIS_MAX)
}

/// Converts a factor to thousandths that are in range.
pub(crate) fn to_factor_millis(value: f64) -> u32 {
    to_millis(value.min(FACTOR_MAX)) as u32
}

/// Converts thousandths to a number.
pub(crate) fn from_millis(millis: u64) -> f64 {
    millis as f64 / 1_000.0
}
