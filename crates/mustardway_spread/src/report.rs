//! What is told to operators, and counters.

use displaydoc::Display;
use mustardway_types::instance;
use mustardway_types::revision;

use crate::platform;

/// What is told to operators. One that lasts is told once, then counted.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Kind {
    /// revision {number} is in force
    Adopted {
        /// The revision.
        number: revision::Number,
    },
    /// revision {number} was refused as bad
    Refused {
        /// The revision.
        number: revision::Number,
    },
    /// the platform failed: {failure}
    PlatformFailed {
        /// Why.
        failure: platform::Failure,
    },
    /// the platform answers again
    PlatformBack,
    /// the platform publishes revision {number}, older than the one in force
    PlatformStale {
        /// What it publishes.
        number: revision::Number,
    },
    /// the platform publishes other files under the number {number} in force
    PlatformConflict {
        /// The number.
        number: revision::Number,
    },
    /// {from} has other files in force under the number {number}
    PeerConflict {
        /// The peer.
        from: instance::Id,
        /// The number.
        number: revision::Number,
    },
    /// what {from} sent as revision {number} has another digest
    DigestMismatch {
        /// The peer.
        from: instance::Id,
        /// The revision.
        number: revision::Number,
    },
    /// revision {number} is larger than allowed
    TooLarge {
        /// The revision.
        number: revision::Number,
    },
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Revisions put in force.
    pub adopted: u64,
    /// Revisions refused as bad.
    pub refused: u64,
    /// Reads of the platform.
    pub reads: u64,
    /// Reads that failed.
    pub failures: u64,
    /// Reads that gave an older revision than the one in force.
    pub stale: u64,
    /// Other files under the number in force, from the platform or a peer.
    pub conflicts: u64,
    /// Transfers whose files did not have the digest that was told.
    pub mismatches: u64,
    /// Messages that were malformed, empty or out of bounds.
    pub malformed: u64,
    /// Revisions larger than allowed.
    pub too_large: u64,
    /// Transfers that were begun.
    pub pulls: u64,
    /// Transfers that ended without all of their parts.
    pub timeouts: u64,
}
