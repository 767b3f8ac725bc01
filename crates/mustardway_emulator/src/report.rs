//! The report of a simulation run: the requests by outcome and the violations of
//! rules.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Add;

use compact_str::CompactString;
use displaydoc::Display;
use mustardway_types::time::Span;

/// Length of the time windows in which requests are counted.
pub const WINDOW: Span = Span::seconds(2);

/// A rule that every run must keep. The text of a variant describes its violation.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// a flow was reset while its target lived and could be reached
    FalseReset,
    /// a request that may run once ran again
    RanTwice,
    /// a request was run by a service that its route never led to
    WrongService,
    /// a new flow reached a target long after it was to leave
    Leaving,
    /// a new flow reached an evacuated failure domain
    Evacuated,
    /// a cold target got more than it bears
    Cold,
    /// a new flow was handled as an outdated configuration says
    Outdated,
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time from the start of traffic.
    pub at: Span,
    /// The flow, request, target or instance concerned.
    pub detail: CompactString,
}

/// Numbers of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// All requests.
    pub asked: u32,
    /// Requests that were answered within the target latency of their class.
    pub in_time: u32,
    /// Requests that were answered later.
    pub late: u32,
    /// Requests that were not answered.
    pub failed: u32,
}

impl Counts {
    /// Returns the share of the requests that were answered in time.
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    /// Returns the share of the requests that were not answered.
    pub fn failed_share(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.asked.max(1))
    }
}

impl Add for Counts {
    type Output = Counts;

    fn add(self, other: Counts) -> Counts {
        Counts {
            asked: self.asked + other.asked,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            failed: self.failed + other.failed,
        }
    }
}

/// A new flow that an instance refused because its service is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Time from the start of traffic.
    pub at: Span,
    /// Class of the refused request.
    pub class: usize,
}

/// The results of one simulation run.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Request counts by time window and class.
    pub windows: BTreeMap<(u64, usize), Counts>,
    /// Violations of rules, in order of time.
    pub violations: Vec<Violation>,
    /// Number of calls to the platform.
    pub platform_calls: u32,
    /// Number of calls to the platform that had no answer within their timeout.
    pub platform_timeouts: u32,
    /// Longest time that data took over the inbound link of an instance.
    pub inbound_wait_max: Span,
    /// Number of probes of targets.
    pub probes: u32,
    /// Bytes sent between instances.
    pub instance_bytes: u64,
    /// Number of opening packets that were forwarded to another failure domain.
    pub cross_domain: u32,
    /// Number of opening packets that were forwarded.
    pub placed: u32,
    /// Latency of each answered request, up to the last part of the answer, in
    /// milliseconds.
    pub latencies: Vec<u32>,
    /// Latencies by class, as in `latencies`.
    pub class_latencies: BTreeMap<usize, Vec<u32>>,
    /// Refused flows, in order of time.
    pub refusals: Vec<Refusal>,
    /// Bytes of load estimates sent between instances while callers sent requests.
    pub load_bytes: u64,
    /// Bytes of callers' packets that were forwarded to targets.
    pub forwarded_bytes: u64,
    /// Bytes of callers' packets that were forwarded to another failure domain.
    pub cross_domain_bytes: u64,
    /// Sum of the times for which each target's slots were busy, by service and target.
    pub busy: BTreeMap<(usize, usize), Span>,
    /// Number of requests that each target ran, by service and target.
    pub work: BTreeMap<(usize, usize), u32>,
}

impl Report {
    /// Returns the request counts of the whole run.
    pub fn total(&self) -> Counts {
        self.between(Span::ZERO, Span(u64::MAX))
    }

    /// Returns the counts of the requests that were sent in the windows that start from
    /// `first` until before `last`.
    pub fn between(&self, first: Span, last: Span) -> Counts {
        let mut counts = Counts::default();
        for ((window, _), other) in &self.windows {
            let start = window * WINDOW.0;
            if start >= first.0 && start < last.0 {
                counts = counts + *other;
            }
        }
        counts
    }

    /// Returns the counts of one class of requests.
    pub fn class(&self, class: usize) -> Counts {
        self.class_from(class, Span::ZERO)
    }

    /// Returns the counts of the requests of one class that were sent in the windows that
    /// start from `first` on.
    pub fn class_from(&self, class: usize, first: Span) -> Counts {
        let mut counts = Counts::default();
        for ((window, other), of_window) in &self.windows {
            if *other == class && window * WINDOW.0 >= first.0 {
                counts = counts + *of_window;
            }
        }
        counts
    }

    /// Returns the ratio of the busiest target's requests to the mean of its service, for
    /// the service with the highest ratio.
    pub fn imbalance(&self) -> f64 {
        let mut services: BTreeMap<usize, Vec<u32>> = BTreeMap::new();
        for ((service, _), count) in &self.work {
            services.entry(*service).or_default().push(*count);
        }
        let mut highest: f64 = 1.0;
        for counts in services.values() {
            let mean = f64::from(counts.iter().sum::<u32>()) / counts.len() as f64;
            let busiest = counts.iter().max().copied().unwrap_or_default();
            highest = highest.max(f64::from(busiest) / mean.max(1.0));
        }
        highest
    }

    /// Returns the ratio of the busiest target's busy time to the mean of its service. All
    /// targets of a service have the same number of slots.
    pub fn busiest(&self, service: usize) -> f64 {
        let of_service = self.busy.iter().filter(|((other, _), _)| *other == service);
        let times: Vec<f64> = of_service.map(|(_, busy)| busy.as_seconds()).collect();
        let mean = times.iter().sum::<f64>() / times.len().max(1) as f64;
        times.iter().copied().fold(0.0, f64::max) / mean.max(f64::MIN_POSITIVE)
    }

    /// Returns the latency within which `share` of the answers arrived, in milliseconds.
    pub fn quantile(&self, share: f64) -> u32 {
        quantile(&self.latencies, share)
    }

    /// Returns the latency within which `share` of the answers to a class of requests
    /// arrived, in milliseconds.
    pub fn class_quantile(&self, class: usize, share: f64) -> u32 {
        self.class_latencies.get(&class).map_or(0, |latencies| quantile(latencies, share))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total = self.total();
        writeln!(
            f,
            "asked {} in time {} late {} failed {}; p50 {} ms, p99 {} ms",
            total.asked,
            total.in_time,
            total.late,
            total.failed,
            self.quantile(0.5),
            self.quantile(0.99)
        )?;
        writeln!(
            f,
            "platform calls {}, without answer {}, probes {}, bytes between instances {}, \
             longest wait at a link {} ms, placed across {} of {}",
            self.platform_calls,
            self.platform_timeouts,
            self.probes,
            self.instance_bytes,
            self.inbound_wait_max.as_millis(),
            self.cross_domain,
            self.placed
        )?;
        for violation in &self.violations {
            writeln!(
                f,
                "BROKEN at {:.3} s: {}: {}",
                violation.at.as_seconds(),
                violation.rule,
                violation.detail
            )?;
        }
        Ok(())
    }
}

fn quantile(latencies: &[u32], share: f64) -> u32 {
    let mut latencies = latencies.to_vec();
    latencies.sort_unstable();
    let index = ((latencies.len() as f64 * share) as usize).min(latencies.len().saturating_sub(1));
    latencies.get(index).copied().unwrap_or_default()
}
