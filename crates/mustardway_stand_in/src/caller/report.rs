//! What became of the requests.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::fabric;

/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;

/// Longest latency that is told apart, in microseconds.
const LATENCY_MAX_MICROS: u64 = 600_000_000;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Answered whole, within its deadline.
    InTime,
    /// Answered whole, after its deadline.
    Late,
    /// Refused or given up, and not run.
    Refused(CompactString),
    /// Nobody knows whether it ran.
    Unknown(CompactString),
    /// Its flow ended, and it was not run.
    FlowEnded(CompactString),
    /// Malformed, says the instance.
    Bad(CompactString),
    /// Answered with another's answer, or a broken one.
    Wrong,
    /// No reply at all.
    Lost(fabric::Error),
}

/// What happened on the way of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Events {
    /// Packets sent beyond one a part.
    pub resent: u64,
    /// Refusals that the caller came back from.
    pub came_back: u64,
    /// Established flows that ended under it, though their failure domain
    /// was in.
    pub broken_flows: u64,
    /// Established flows that ended because it was taken out.
    pub given_up_flows: u64,
}

/// Counts of one kind of request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// Requests begun.
    pub asked: u64,
    /// Answered whole and in time.
    pub in_time: u64,
    /// Answered whole, but late.
    pub late: u64,
    /// Finally refused or given up.
    pub refused: u64,
    /// Finally of unknown outcome.
    pub unknown: u64,
    /// Finally without flow.
    pub flow_ended: u64,
    /// Called malformed.
    pub bad: u64,
    /// Answered wrongly.
    pub wrong: u64,
    /// Without any reply.
    pub lost: u64,
    /// Established flows that ended before their time.
    pub broken_flows: u64,
    /// Established flows that ended with their failure domain.
    pub given_up_flows: u64,
    /// Packets sent again.
    pub resent: u64,
    /// Refusals that callers came back from.
    pub came_back: u64,
    /// Reasons of final answers, with their counts.
    pub reasons: BTreeMap<CompactString, u64>,
}

/// Latencies, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Latency {
    /// Median.
    pub p50_micros: u64,
    /// 99th percentile.
    pub p99_micros: u64,
    /// Greatest.
    pub max_micros: u64,
}

/// What became of one kind of request.
#[derive(Debug, Clone)]
pub struct Report {
    /// Counts.
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
    /// Enters the begin of a request.
    pub fn begin(&mut self) {
        self.counts.asked += 1;
    }

    /// Enters the end of a request after `took`.
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

    /// Latencies of whole answers.
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

    /// Requests that ended, in whatever way.
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

    /// Whether every request was answered whole and in time.
    pub fn is_whole(&self) -> bool {
        self.in_time == self.asked
    }
}
