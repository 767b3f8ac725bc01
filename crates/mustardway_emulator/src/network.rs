//! Delays, cuts and narrow links.

use std::collections::BTreeMap;

use mustardway_types::time::{Instant, Span};

/// One way inside a failure domain.
const NEAR: Span = Span(100);

/// Why something does not arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Barrier {
    /// It goes unanswered.
    Silent,
    /// The other side seems to refuse.
    Refuses,
}

/// Delays and cuts between failure domains; the platform counts as one of its
/// own, after all others.
#[derive(Debug)]
pub(crate) struct Network {
    across: Span,
    cuts: BTreeMap<(usize, usize), Barrier>,
    /// When a cut between two failure domains last was in force.
    harmed: BTreeMap<(usize, usize), Instant>,
}

impl Network {
    pub(crate) fn new(across: Span) -> Self {
        Network { across, cuts: BTreeMap::new(), harmed: BTreeMap::new() }
    }

    /// One way between two failure domains.
    pub(crate) fn delay(&self, first: usize, second: usize) -> Span {
        if first == second { NEAR } else { self.across }
    }

    /// What stands between two failure domains.
    pub(crate) fn barrier(&self, first: usize, second: usize) -> Option<Barrier> {
        self.cuts.get(&pair(first, second)).copied()
    }

    pub(crate) fn cut(&mut self, first: usize, second: usize, barrier: Barrier) {
        self.cuts.insert(pair(first, second), barrier);
    }

    pub(crate) fn heal(&mut self, first: usize, second: usize, now: Instant) {
        self.cuts.remove(&pair(first, second));
        self.harmed.insert(pair(first, second), now);
    }

    /// Whether two failure domains are or were cut from each other after `since`.
    pub(crate) fn was_harmed(&self, first: usize, second: usize, since: Instant) -> bool {
        let pair = pair(first, second);
        self.cuts.contains_key(&pair) || self.harmed.get(&pair).is_some_and(|at| *at >= since)
    }
}

fn pair(first: usize, second: usize) -> (usize, usize) {
    (first.min(second), first.max(second))
}

/// A machine's link, on which what is sent waits for what was sent before.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Link {
    bits: f64,
    free: Instant,
}

impl Link {
    /// A link of `bits` a second.
    pub(crate) fn new(bits: f64) -> Self {
        Link { bits, free: Instant::default() }
    }

    /// When the last of `bytes` leaves.
    pub(crate) fn send(&mut self, bytes: usize, now: Instant) -> Instant {
        const BITS: f64 = 8.0;
        let takes = Span((bytes as f64 * BITS / self.bits * 1e6) as u64);
        self.free = self.free.max(now) + takes;
        self.free
    }
}
