//! Counts of how often each promise was observed kept or violated.
//!
//! An instance decides the cases that it can judge from its own state, and counts the
//! others as unknown.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// An invariant that the system guarantees.
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

/// Every promise, in the order of the variants.
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

/// The result of checking a promise in one case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The promise held.
    Kept,
    /// The promise was violated.
    Violated,
    /// This instance could not decide the case.
    Unknown,
}

/// Number of [`Verdict`] variants.
const VERDICT_COUNT: usize = Verdict::Unknown as usize + 1;

/// The counts of one promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Count {
    /// The promise.
    pub promise: Promise,
    /// Cases that were decided, whether kept or violated.
    pub decided: u64,
    /// Cases in which the promise was violated.
    pub violated: u64,
    /// Cases that could not be decided.
    pub unknown: u64,
}

/// The counts of one instance since its start.
#[derive(Debug)]
pub struct Counters {
    cases: [[AtomicU64; VERDICT_COUNT]; ALL.len()],
}

impl Default for Counters {
    fn default() -> Self {
        Counters { cases: std::array::from_fn(|_| std::array::from_fn(|_| AtomicU64::default())) }
    }
}

impl Counters {
    /// Counts one case of `promise` with its verdict.
    pub fn add(&self, promise: Promise, verdict: Verdict) {
        self.cases[promise as usize][verdict as usize].fetch_add(1, Relaxed);
    }

    /// Returns the counts of one promise.
    pub fn count(&self, promise: Promise) -> Count {
        let of = |verdict: Verdict| self.cases[promise as usize][verdict as usize].load(Relaxed);
        let violated = of(Verdict::Violated);
        let decided = of(Verdict::Kept) + violated;
        Count { promise, decided, violated, unknown: of(Verdict::Unknown) }
    }

    /// Returns the counts of every promise, in the order of [`ALL`].
    pub fn counts(&self) -> Vec<Count> {
        ALL.into_iter().map(|promise| self.count(promise)).collect()
    }
}
