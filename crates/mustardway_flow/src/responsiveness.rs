//! Whether this instance itself responds in time.
//!
//! If an instance's link is full, its CPU quota is used up or it is cut off, all targets
//! look silent to it, for as long as that lasts. A silent probe therefore counts
//! against a target only if a probe of another target that was sent later got a fast
//! answer. Packets of callers are weaker evidence: on a full link small packets still
//! pass while connections fail. An instance to which no target responds for a while is
//! isolated: the routers should choose others.

use mustardway_types::time::{Instant, Span};

/// Longest round trip of a fast probe: a round trip to another region (40 ms), plus a
/// margin.
const FAST_PROBE_MAX: Span = Span::millis(60);
/// Time without a fast answer to any probe after which an instance is isolated.
const ISOLATED_AFTER: Span = Span::millis(1_000);

/// The latest answers to probes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Responsiveness {
    /// Time at which the latest probe with a fast answer was sent.
    latest: Option<Instant>,
    /// Time at which the first probe after that was sent that got no answer.
    in_doubt_since: Option<Instant>,
}

impl Responsiveness {
    /// Records a probe that was sent at `sent` and answered at `now`.
    pub fn record_probe(&mut self, sent: Instant, now: Instant) {
        if now.since(sent) <= FAST_PROBE_MAX {
            self.latest = self.latest.max(Some(sent));
            self.in_doubt_since = None;
        }
    }

    /// Records a probe that was sent at `sent` and got no answer.
    pub fn record_silence(&mut self, sent: Instant) {
        if !self.is_confirmed_since(sent) {
            self.in_doubt_since.get_or_insert(sent);
        }
    }

    /// Returns whether no probe got a fast answer since one got none.
    pub fn is_in_doubt(&self) -> bool {
        self.in_doubt_since.is_some()
    }

    /// Returns whether this instance has not reached any target for a while.
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.in_doubt_since.is_some_and(|since| now.since(since) >= ISOLATED_AFTER)
    }

    /// Returns the time since the latest probe with a fast answer was sent.
    pub fn fast_probe_age(&self, now: Instant) -> Option<Span> {
        self.latest.map(|sent| now.since(sent))
    }

    /// Returns whether a probe sent at `since` or later got a fast answer.
    pub fn is_confirmed_since(&self, since: Instant) -> bool {
        self.latest.is_some_and(|sent| sent >= since)
    }
}
