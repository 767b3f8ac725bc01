//! How often each reason ended a packet.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use mustardway_types::answer::{Kind, Reason, TABLE};
use serde::{Deserialize, Serialize};

/// The counts of one instance from its start, in the order of the answer table.
#[derive(Debug)]
pub struct Tally {
    counts: [AtomicU64; TABLE.len()],
}

/// One reason with its answer and count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Count {
    /// Why.
    pub reason: Reason,
    /// What the caller was told.
    pub kind: Kind,
    /// How often.
    pub count: u64,
}

impl Default for Tally {
    fn default() -> Self {
        Tally { counts: std::array::from_fn(|_| AtomicU64::default()) }
    }
}

impl Tally {
    /// One packet ended for `reason`.
    pub fn add(&self, reason: Reason) {
        self.counts[reason as usize].fetch_add(1, Relaxed);
    }

    /// How often `reason` ended a packet.
    pub fn count(&self, reason: Reason) -> u64 {
        self.counts[reason as usize].load(Relaxed)
    }

    /// Every reason with its count, also those that never happened.
    pub fn counts(&self) -> Vec<Count> {
        let mut counts = Vec::with_capacity(TABLE.len());
        for (reason, kind) in TABLE {
            counts.push(Count { reason, kind, count: self.count(reason) });
        }
        counts
    }
}
