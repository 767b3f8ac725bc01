//! Counters of calls to the platform, by outcome.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use crate::failure::Failure;

/// The outcome of one call to one address of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The address sent a valid answer.
    Answered,
    /// The address could not be reached.
    Unreachable,
    /// The address did not answer in time.
    Timeout,
    /// The answer could not be parsed.
    Malformed,
    /// The answer was larger than allowed.
    TooLarge,
    /// The HTTP status of the answer was not 200.
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

/// The number of calls by outcome since a client was created.
#[derive(Debug, Default)]
pub struct Counters {
    calls: [AtomicU64; OUTCOMES],
}

impl Counters {
    pub(crate) fn add(&self, outcome: Outcome) {
        self.calls[outcome as usize].fetch_add(1, Relaxed);
    }

    /// Returns the number of calls that ended with `outcome`.
    pub fn calls(&self, outcome: Outcome) -> u64 {
        self.calls[outcome as usize].load(Relaxed)
    }

    /// Returns the number of calls that have ended, with any outcome.
    pub fn all(&self) -> u64 {
        self.calls.iter().map(|calls| calls.load(Relaxed)).sum()
    }
}
