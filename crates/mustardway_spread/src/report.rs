//! Reports to operators, and counters.

use displaydoc::Display;
use mustardway_types::instance;
use mustardway_types::revision;

use crate::platform;

/// A report to operators. A condition that lasts is reported once and then only
/// counted.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Kind {
    /// revision {number} is in force
    Adopted {
        /// Number of the revision.
        number: revision::Number,
    },
    /// revision {number} was refused as bad
    Refused {
        /// Number of the revision.
        number: revision::Number,
    },
    /// the platform failed: {failure}
    PlatformFailed {
        /// Reason of the failure.
        failure: platform::Failure,
    },
    /// the platform answers again
    PlatformRecovered,
    /// the platform publishes revision {number}, older than the one in force
    PlatformStale {
        /// Number that the platform publishes.
        number: revision::Number,
    },
    /// the platform publishes other files under the number {number} in force
    PlatformConflict {
        /// Number of the revision in force.
        number: revision::Number,
    },
    /// {from} has other files in force under the number {number}
    PeerConflict {
        /// The peer that has other files in force.
        from: instance::Id,
        /// Number of the revision in force.
        number: revision::Number,
    },
    /// what {from} sent as revision {number} has another digest
    DigestMismatch {
        /// The peer that the files came from.
        from: instance::Id,
        /// Number of the revision.
        number: revision::Number,
    },
    /// revision {number} is larger than allowed
    TooLarge {
        /// Number of the revision.
        number: revision::Number,
    },
}

/// Counters since the start of this instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Revisions that were put in force.
    pub adopted: u64,
    /// Revisions that the caller refused as invalid.
    pub refused: u64,
    /// Reads of the platform.
    pub reads: u64,
    /// Reads of the platform that failed.
    pub failures: u64,
    /// Reads that returned an older revision than the one in force.
    pub stale: u64,
    /// Times that the platform or a peer had other files under the number in force.
    pub conflicts: u64,
    /// Transfers that could not be applied, or whose files did not have the announced
    /// digest.
    pub mismatches: u64,
    /// Messages that had no body of a known kind or exceeded a bound.
    pub malformed: u64,
    /// Revisions that were larger than allowed.
    pub too_large: u64,
    /// Transfers that were started.
    pub pulls: u64,
    /// Transfers that timed out before all parts had arrived.
    pub timeouts: u64,
}
