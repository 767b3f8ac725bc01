//! Whether this instance itself responds in time.
//!
//! If an instance's link is full, its CPU quota is used up or it is cut off, all targets
//! look silent to it, for as long as that lasts. A silent probe therefore counts
//! against a target only if a probe that was sent later was answered before the silent
//! one timed out: on the same link the answers arrive in the order of the probes.
//! Packets of callers are weaker evidence: on a full link small packets still pass while
//! connections fail. An instance to which no target responds for a while is isolated:
//! the routers should choose others.

use mustardway_types::time::{Instant, Span};

/// Time without an answer to any probe after which an instance is isolated.
const ISOLATED_AFTER: Span = Span::millis(1_000);

/// The latest answers to probes. An established connection is an answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct Responsiveness {
    /// Time at which the latest probe that was answered was sent.
    latest: Option<Instant>,
    /// Time at which the first reference probe after that was sent that got no answer.
    in_doubt_since: Option<Instant>,
    /// Time of the first answer after the latest doubt.
    recovered_at: Instant,
}

impl Responsiveness {
    /// Records that a probe that was sent at `sent` is answered now.
    pub fn record_answer(&mut self, sent: Instant, now: Instant) {
        self.latest = self.latest.max(Some(sent));
        if self.in_doubt_since.take().is_some() {
            self.recovered_at = now;
        }
    }

    /// Records a probe of a healthy target that was sent at `sent` and got no answer.
    pub fn record_silence(&mut self, sent: Instant) {
        if !self.is_confirmed_since(sent) {
            self.in_doubt_since.get_or_insert(sent);
        }
    }

    /// Returns whether no probe was answered since a reference probe got no answer.
    pub fn is_in_doubt(&self) -> bool {
        self.in_doubt_since.is_some()
    }

    /// Returns whether this instance has not reached any target for a while.
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.in_doubt_since.is_some_and(|since| now.since(since) >= ISOLATED_AFTER)
    }

    /// Returns the time since the latest probe that was answered was sent.
    pub fn answered_probe_age(&self, now: Instant) -> Option<Span> {
        self.latest.map(|sent| now.since(sent))
    }

    /// Returns whether a probe sent at `since` or later was answered.
    pub fn is_confirmed_since(&self, since: Instant) -> bool {
        self.latest.is_some_and(|sent| sent >= since)
    }

    /// Returns whether it counts against a target that a probe sent at `sent` got no
    /// answer. It does not if the probe was sent while this instance was in doubt.
    pub fn is_silence_conclusive(&self, sent: Instant) -> bool {
        self.is_confirmed_since(sent) && sent >= self.recovered_at
    }
}
