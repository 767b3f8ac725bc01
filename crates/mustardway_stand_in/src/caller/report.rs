//! Outcomes and latencies of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::fabric;

/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Longest latency that the histogram distinguishes, in microseconds; longer ones
/// are recorded as this value.
const LATENCY_MAX_MICROS: u64 = 600_000_000;

/// Final outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Answered completely within the deadline.
    InTime,
    /// Answered completely after the deadline.
    Late,
    /// Refused or given up without running; holds the reason.
    Refused(CompactString),
    /// Whether the request ran is unknown; holds the reason.
    Unknown(CompactString),
    /// The flow ended and the request did not run; holds the reason.
    FlowEnded(CompactString),
    /// The instance reported a malformed request; holds the reason.
    Bad(CompactString),
    /// Answered with a corrupt answer or the answer to another request.
    Wrong,
    /// No reply arrived.
    Lost(fabric::Error),
}

/// Events during one request, counted over all its attempts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Events {
    /// Packets sent beyond the first of each part.
    pub resent: u64,
    /// Refused attempts.
    pub came_back: u64,
    /// Established flows that ended while their failure domain was in.
    pub broken_flows: u64,
    /// Established flows that ended because their failure domain was taken out.
    pub given_up_flows: u64,
}

/// Counters of one kind of request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// Requests started.
    pub asked: u64,
    /// Requests answered completely within the deadline.
    pub in_time: u64,
    /// Requests answered completely after the deadline.
    pub late: u64,
    /// Requests whose last attempt was refused or given up.
    pub refused: u64,
    /// Requests whose last attempt has an unknown outcome.
    pub unknown: u64,
    /// Requests that ended with their flow.
    pub flow_ended: u64,
    /// Requests reported as malformed.
    pub bad: u64,
    /// Requests answered with a corrupt answer or the answer to another request.
    pub wrong: u64,
    /// Requests whose last attempt got no reply.
    pub lost: u64,
    /// Established flows that ended while their failure domain was in.
    pub broken_flows: u64,
    /// Established flows that ended because their failure domain was taken out.
    pub given_up_flows: u64,
    /// Packets sent beyond the first of each part.
    pub resent: u64,
    /// Refused attempts.
    pub came_back: u64,
    /// Requests that failed, by reason.
    pub reasons: BTreeMap<CompactString, u64>,
}

/// Latency summary of complete answers, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Latency {
    /// Median latency.
    pub p50_micros: u64,
    /// 99th percentile of the latency.
    pub p99_micros: u64,
    /// Maximum latency.
    pub max_micros: u64,
}

/// Counters and latency histogram of one kind of request.
#[derive(Debug, Clone)]
pub struct Report {
    /// Counters of the outcomes.
    pub counts: Counts,
    latency: Histogram<u64>,
}

impl Default for Report {
    fn default() -> Self {
        let latency = Histogram::new_with_max(LATENCY_MAX_MICROS, LATENCY_DIGITS)
            .unwrap_or_else(|error| unreachable!("constant bounds: {error}"));
        Report { counts: Counts::default(), latency }
    }
}

impl Report {
    /// Records the start of a request.
    pub fn begin(&mut self) {
        self.counts.asked += 1;
    }

    /// Records the outcome of a request that took `took`.
    pub fn end(&mut self, outcome: &Outcome, took: Duration, events: Events) {
        let counts = &mut self.counts;
        counts.resent += events.resent;
        counts.came_back += events.came_back;
        counts.broken_flows += events.broken_flows;
        counts.given_up_flows += events.given_up_flows;
        let reason = match outcome {
            Outcome::InTime | Outcome::Late => {
                let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                self.latency.saturating_record(micros);
                None
            }
            Outcome::Refused(reason)
            | Outcome::Unknown(reason)
            | Outcome::FlowEnded(reason)
            | Outcome::Bad(reason) => Some(reason.clone()),
            Outcome::Wrong => Some("wrong answer".into()),
            Outcome::Lost(error) => Some(compact_str::format_compact!("{error}")),
        };
        if let Some(reason) = reason {
            *counts.reasons.entry(reason).or_default() += 1;
        }
        *counts.counter(outcome) += 1;
    }

    /// Returns the latency summary of complete answers.
    pub fn latency(&self) -> Latency {
        Latency {
            p50_micros: self.latency.value_at_quantile(0.5),
            p99_micros: self.latency.value_at_quantile(0.99),
            max_micros: self.latency.max(),
        }
    }
}

impl Counts {
    fn counter(&mut self, outcome: &Outcome) -> &mut u64 {
        match outcome {
            Outcome::InTime => &mut self.in_time,
            Outcome::Late => &mut self.late,
            Outcome::Refused(_) => &mut self.refused,
            Outcome::Unknown(_) => &mut self.unknown,
            Outcome::FlowEnded(_) => &mut self.flow_ended,
            Outcome::Bad(_) => &mut self.bad,
            Outcome::Wrong => &mut self.wrong,
            Outcome::Lost(_) => &mut self.lost,
        }
    }

    /// Returns the number of requests that ended, with any outcome.
    pub fn ended(&self) -> u64 {
        self.in_time
            + self.late
            + self.refused
            + self.unknown
            + self.flow_ended
            + self.bad
            + self.wrong
            + self.lost
    }

    /// Returns whether every request was answered completely within its deadline.
    pub fn is_whole(&self) -> bool {
        self.in_time == self.asked
    }
}
