//! Whether this instance itself is quick.
//!
//! An instance whose link is full or whose processor share is used up sees all
//! targets as silent. So silence counts only once a probe of some other target,
//! sent after it, was answered quickly. Packets of callers tell less: small ones
//! pass over a link on which connections fail. This answers the load that an
//! instance has made itself, such as a large change that it passes on over a
//! narrow link.

use mustardway_types::time::{Instant, Span};

/// Longest quick probe: a round trip to another region (40 ms), with a margin.
const FAST_PROBE_MAX: Span = Span::millis(60);
/// Time after which silence counts all the same: nothing at all can be reached,
/// and what an instance sends by itself leaves within this time.
const SILENCE_TIMEOUT: Span = Span::millis(1_500);

/// The latest quick probe.
#[derive(Debug, Clone, Copy, Default)]
pub struct Responsiveness {
    /// When it began.
    latest: Option<Instant>,
}

impl Responsiveness {
    /// Notes a probe that was sent at `began` and is answered now.
    pub fn record_probe(&mut self, sent: Instant, now: Instant) {
        if now.since(sent) <= FAST_PROBE_MAX {
            self.latest = self.latest.max(Some(sent));
        }
    }

    /// Whether a quick probe was sent at `since` or later.
    pub fn is_confirmed_since(&self, since: Instant) -> bool {
        self.latest.is_some_and(|sent| sent >= since)
    }

    /// Whether silence since `since` counts.
    pub fn is_silence_conclusive(&self, since: Instant, now: Instant) -> bool {
        self.is_confirmed_since(since) || now.since(since) >= SILENCE_TIMEOUT
    }
}
