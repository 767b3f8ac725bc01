//! The rate of new flows to a cold target, which has just started.
//!
//! The rate limit of a cold target holds over all instances together. A few
//! instances, the senders, share the rate; the others send the target nothing.
//! Senders are chosen by a rank over all known instances, live or not, so that the
//! parts of a partitioned fleet choose subsets of the same few. This protects targets
//! that have just started from overload.

use mustardway_types::time::{Instant, Span};
use mustardway_types::{instance, target};

use crate::rank;

/// Seed of the rank hash. It must be the same at all instances.
const SEED: u64 = 0x636f_6c64_0000_0001;
/// Maximum number of senders of one cold target. Each may be one flow ahead of its
/// rate; together they stay well below the tolerance that targets have (5 flows).
const SENDERS_MAX: usize = 3;
/// Flows per second of one sender below which no further sender is added.
const RATE_PER_SENDER: u32 = 4;

/// Returns the flows per second that `me` may send to a cold target that accepts
/// `rate` per second, or 0 if `me` is not one of its senders.
pub fn rate_share(
    me: &instance::Id,
    known: &[instance::Id],
    target: &target::Id,
    rate: u32,
) -> f64 {
    let senders = (rate / RATE_PER_SENDER).max(1) as usize;
    let senders = senders.min(SENDERS_MAX).min(known.len().max(1));
    if !rank::is_among_first(SEED, me, known, target, senders) {
        return 0.0;
    }
    f64::from(rate) / senders as f64
}

/// Spaces the new flows to one cold target evenly.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pacer {
    next: Instant,
}

impl Pacer {
    /// Returns whether a flow may be sent now.
    pub fn is_open(&self, now: Instant) -> bool {
        now >= self.next
    }

    /// Records a flow at a rate of `rate` flows per second.
    pub fn take(&mut self, rate: f64, now: Instant) {
        const MICROS_PER_SECOND: f64 = 1e6;
        self.next = now + Span((MICROS_PER_SECOND / rate.max(f64::MIN_POSITIVE)) as u64);
    }
}
