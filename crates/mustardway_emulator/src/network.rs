//! Delays, cuts and narrow links.

use std::collections::BTreeMap;

use mustardway_types::time::{Instant, Span};

/// One way inside a failure domain.
const LOCAL_DELAY: Span = Span(100);

/// Why something does not arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Partition {
    /// It goes unanswered.
    Silent,
    /// The other side seems to refuse.
    Refuses,
}

/// Delays and cuts between failure domains; the platform counts as one of its
/// own, after all others.
#[derive(Debug)]
pub(crate) struct Network {
    domain_delay: Span,
    partitions: BTreeMap<(usize, usize), Partition>,
    /// When a cut between two failure domains last was in force.
    healed: BTreeMap<(usize, usize), Instant>,
}

impl Network {
    pub(crate) fn new(domain_delay: Span) -> Self {
        Network { domain_delay, partitions: BTreeMap::new(), healed: BTreeMap::new() }
    }

    /// One way between two failure domains.
    pub(crate) fn delay(&self, first: usize, second: usize) -> Span {
        if first == second { LOCAL_DELAY } else { self.domain_delay }
    }

    /// What stands between two failure domains.
    pub(crate) fn partition(&self, first: usize, second: usize) -> Option<Partition> {
        self.partitions.get(&pair(first, second)).copied()
    }

    pub(crate) fn cut(&mut self, first: usize, second: usize, partition: Partition) {
        self.partitions.insert(pair(first, second), partition);
    }

    pub(crate) fn heal(&mut self, first: usize, second: usize, now: Instant) {
        self.partitions.remove(&pair(first, second));
        self.healed.insert(pair(first, second), now);
    }

    /// Whether two failure domains are or were cut from each other after `since`.
    pub(crate) fn was_cut(&self, first: usize, second: usize, since: Instant) -> bool {
        let pair = pair(first, second);
        self.partitions.contains_key(&pair) || self.healed.get(&pair).is_some_and(|at| *at >= since)
    }
}

fn pair(first: usize, second: usize) -> (usize, usize) {
    (first.min(second), first.max(second))
}

/// A machine's link, on which what is sent waits for what was sent before.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Link {
    bits_per_second: f64,
    idle_at: Instant,
}

impl Link {
    /// A link of `bits` a second.
    pub(crate) fn new(bits_per_second: f64) -> Self {
        Link { bits_per_second, idle_at: Instant::default() }
    }

    /// When the last of `bytes` leaves.
    pub(crate) fn send(&mut self, bytes: usize, now: Instant) -> Instant {
        const BITS: f64 = 8.0;
        let transmit_time = Span((bytes as f64 * BITS / self.bits_per_second * 1e6) as u64);
        self.idle_at = self.idle_at.max(now) + transmit_time;
        self.idle_at
    }
}
