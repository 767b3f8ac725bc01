//! Whether this instance itself is quick.
//!
//! An instance whose link is full or whose processor share is used up sees all
//! targets as silent. So silence counts only once some exchange with some target
//! began after it and was quick. This answers the load that an instance has made
//! itself, such as a large change that it passes on over a narrow link.

use mustardway_types::time::{Instant, Span};

/// Longest quick exchange: a round trip to another region and one to a caller
/// (46 ms), with a margin.
const QUICK: Span = Span::millis(60);
/// Time after which silence counts all the same: nothing at all can be reached,
/// and what an instance sends by itself leaves within this time.
const PATIENCE: Span = Span::millis(1_500);

/// The latest quick exchange.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pulse {
    /// When it began.
    began: Option<Instant>,
}

impl Pulse {
    /// Notes an exchange that began at `began` and has ended now.
    pub fn note(&mut self, began: Instant, now: Instant) {
        if now.since(began) <= QUICK {
            self.began = self.began.max(Some(began));
        }
    }

    /// Whether silence since `since` counts.
    pub fn is_sound(&self, since: Instant, now: Instant) -> bool {
        self.began.is_some_and(|began| began >= since) || now.since(since) >= PATIENCE
    }
}
