//! Whether this instance itself responds in time.
//!
//! If an instance's link is full or its CPU quota is used up, all targets look silent
//! to it. Silence therefore counts against a target only if a probe of some target
//! that was sent later got a fast answer. Packets of callers are weaker evidence: on
//! a full link small packets still pass while connections fail. This guards against
//! load that the instance causes itself, such as forwarding a large change over a
//! narrow link.

use mustardway_types::time::{Instant, Span};

/// Longest round trip of a fast probe: a round trip to another region (40 ms), plus a
/// margin.
const FAST_PROBE_MAX: Span = Span::millis(60);
/// Time after which silence counts without a fast probe. If nothing was fast for this
/// long, no target can be reached; data that the instance sends itself leaves its
/// link sooner.
const SILENCE_TIMEOUT: Span = Span::millis(1_500);

/// The latest probe that got a fast answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct Responsiveness {
    /// Time at which that probe was sent.
    latest: Option<Instant>,
}

impl Responsiveness {
    /// Records a probe that was sent at `sent` and answered at `now`.
    pub fn record_probe(&mut self, sent: Instant, now: Instant) {
        if now.since(sent) <= FAST_PROBE_MAX {
            self.latest = self.latest.max(Some(sent));
        }
    }

    /// Returns the time since the latest probe with a fast answer was sent.
    pub fn fast_probe_age(&self, now: Instant) -> Option<Span> {
        self.latest.map(|sent| now.since(sent))
    }

    /// Returns whether a probe sent at `since` or later got a fast answer.
    pub fn is_confirmed_since(&self, since: Instant) -> bool {
        self.latest.is_some_and(|sent| sent >= since)
    }

    /// Returns whether silence that began at `since` counts against a target.
    pub fn is_silence_conclusive(&self, since: Instant, now: Instant) -> bool {
        self.is_confirmed_since(since) || now.since(since) >= SILENCE_TIMEOUT
    }
}
