//! Counts of answered packets by reason.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use mustardway_types::answer::{Kind, Reason, TABLE};
use serde::{Deserialize, Serialize};

/// The counts of one instance since its start, in the order of the answer table.
#[derive(Debug)]
pub struct Tally {
    counts: [AtomicU64; TABLE.len()],
}

/// A reason with its kind of answer and its count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Count {
    /// Reason for the answer.
    pub reason: Reason,
    /// Kind of answer that the caller received.
    pub kind: Kind,
    /// Number of packets answered for this reason.
    pub count: u64,
}

impl Default for Tally {
    fn default() -> Self {
        Tally { counts: std::array::from_fn(|_| AtomicU64::default()) }
    }
}

impl Tally {
    /// Counts one packet answered for `reason`.
    pub fn add(&self, reason: Reason) {
        self.counts[reason as usize].fetch_add(1, Relaxed);
    }

    /// Returns the number of packets answered for `reason`.
    pub fn count(&self, reason: Reason) -> u64 {
        self.counts[reason as usize].load(Relaxed)
    }

    /// Returns every reason with its count, including zero counts.
    pub fn counts(&self) -> Vec<Count> {
        let mut counts = Vec::with_capacity(TABLE.len());
        for (reason, kind) in TABLE {
            counts.push(Count { reason, kind, count: self.count(reason) });
        }
        counts
    }
}
