//! New flows that a cold target bears.
//!
//! The bound on a cold target holds over all instances together, so a few named
//! ones share its rate and the others send it nothing. The names come from a
//! rank over every known instance, live or not, so that the parts of a split
//! fleet name subsets of the same few. This answers the load on targets that
//! have just started.

use mustardway_types::time::{Instant, Span};
use mustardway_types::{hash, instance, target};

/// Seed of the rank; all instances share it.
const SEED: u64 = 0x636f_6c64_0000_0001;
/// Most instances that share one cold target. Each may be one flow ahead of its
/// rate, which together stays well under the slack that targets are given (5).
const SENDERS_MAX: usize = 3;
/// Flows a second below which a further sharer is not worth it.
const RATE_PER_SENDER: u32 = 4;

/// Flows a second that `me` may send to a cold target which bears `rate` a
/// second; 0 where it is not one of the sharers.
pub fn rate_share(
    me: &instance::Id,
    known: &[instance::Id],
    target: &target::Id,
    rate: u32,
) -> f64 {
    let senders = (rate / RATE_PER_SENDER).max(1) as usize;
    let senders = senders.min(SENDERS_MAX).min(known.len().max(1));
    let own = rank(me, target);
    let ahead = known.iter().filter(|id| *id != me && rank(id, target) > own).count();
    if ahead >= senders {
        return 0.0;
    }
    f64::from(rate) / senders as f64
}

fn rank(id: &instance::Id, target: &target::Id) -> u64 {
    let target = hash::seeded(SEED, target.as_str().as_bytes());
    hash::mix(target, hash::seeded(SEED, id.as_str().as_bytes()))
}

/// Spaces the flows to one cold target evenly.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pacer {
    next: Instant,
}

impl Pacer {
    /// Whether a flow may be sent now.
    pub fn is_open(&self, now: Instant) -> bool {
        now >= self.next
    }

    /// Counts a flow at `rate` a second.
    pub fn take(&mut self, rate: f64, now: Instant) {
        const SECOND: f64 = 1e6;
        self.next = now + Span((SECOND / rate.max(f64::MIN_POSITIVE)) as u64);
    }
}
