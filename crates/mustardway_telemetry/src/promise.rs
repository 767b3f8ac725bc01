//! How often each promise was seen kept or broken.
//!
//! An instance decides what it can decide by itself and counts the rest as unknown.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// What must always hold.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// an established flow survives planned changes, unless its failure domain is taken out
    FlowSurvives,
    /// a packet for one service never reaches another
    RightService,
    /// a target that has just started gets no more load than it can bear
    ColdTargetSpared,
    /// a failure domain taken out gets no more packets after a few seconds
    DomainEmpties,
    /// a caller gets the whole answer to its own request
    WholeAnswer,
    /// an answer that says not run is true
    NotRunTrue,
    /// a request that may not be repeated runs at most once
    AtMostOnce,
    /// a leaving target gets no new work after a few seconds
    LeavingTargetSpared,
    /// a planned stop cuts no request in flight
    GracefulStop,
    /// an accepted configuration is in force everywhere within seconds and never reverts
    ConfigurationHolds,
}

/// Every promise, in order.
pub const ALL: [Promise; 10] = [
    Promise::FlowSurvives,
    Promise::RightService,
    Promise::ColdTargetSpared,
    Promise::DomainEmpties,
    Promise::WholeAnswer,
    Promise::NotRunTrue,
    Promise::AtMostOnce,
    Promise::LeavingTargetSpared,
    Promise::GracefulStop,
    Promise::ConfigurationHolds,
];

/// What an instance finds in one case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The promise held.
    Kept,
    /// The promise was broken.
    Violated,
    /// This instance cannot tell.
    Unknown,
}

/// Number of verdicts.
const VERDICTS: usize = Verdict::Unknown as usize + 1;

/// One promise with its counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Count {
    /// The promise.
    pub promise: Promise,
    /// Cases that were decided, kept or violated.
    pub decided: u64,
    /// Cases in which it was broken.
    pub violated: u64,
    /// Cases that could not be decided.
    pub unknown: u64,
}

/// The counts of one instance from its start.
#[derive(Debug)]
pub struct Counters {
    cases: [[AtomicU64; VERDICTS]; ALL.len()],
}

impl Default for Counters {
    fn default() -> Self {
        Counters { cases: std::array::from_fn(|_| std::array::from_fn(|_| AtomicU64::default())) }
    }
}

impl Counters {
    /// Counts one case.
    pub fn add(&self, promise: Promise, verdict: Verdict) {
        self.cases[promise as usize][verdict as usize].fetch_add(1, Relaxed);
    }

    /// The counts of one promise.
    pub fn count(&self, promise: Promise) -> Count {
        let of = |verdict: Verdict| self.cases[promise as usize][verdict as usize].load(Relaxed);
        let violated = of(Verdict::Violated);
        let decided = of(Verdict::Kept) + violated;
        Count { promise, decided, violated, unknown: of(Verdict::Unknown) }
    }

    /// The counts of every promise, in order.
    pub fn counts(&self) -> Vec<Count> {
        ALL.into_iter().map(|promise| self.count(promise)).collect()
    }
}
