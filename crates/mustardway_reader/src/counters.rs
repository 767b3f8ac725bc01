//! Calls by outcome.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use crate::failure::Failure;

/// How one call of one platform address ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// It could not be reached.
    Unreachable,
    /// It did not answer in time.
    Timeout,
    /// It answered what cannot be read.
    Malformed,
    /// It answered more than allowed.
    TooLarge,
    /// It answered with a status that is not 200.
    Status,
}

/// Number of outcomes.
const OUTCOMES: usize = Outcome::Status as usize + 1;

impl From<Failure> for Outcome {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Unreachable => Outcome::Unreachable,
            Failure::Timeout => Outcome::Timeout,
            Failure::Malformed => Outcome::Malformed,
            Failure::TooLarge => Outcome::TooLarge,
            Failure::Status(_) => Outcome::Status,
        }
    }
}

/// Calls by outcome, from the start of a client.
#[derive(Debug, Default)]
pub struct Counters {
    calls: [AtomicU64; OUTCOMES],
}

impl Counters {
    pub(crate) fn add(&self, outcome: Outcome) {
        self.calls[outcome as usize].fetch_add(1, Relaxed);
    }

    /// Calls that ended so.
    pub fn calls(&self, outcome: Outcome) -> u64 {
        self.calls[outcome as usize].load(Relaxed)
    }

    /// Calls that ended, in all.
    pub fn all(&self) -> u64 {
        self.calls.iter().map(|calls| calls.load(Relaxed)).sum()
    }
}
