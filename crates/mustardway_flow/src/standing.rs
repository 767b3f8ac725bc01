//! Whether a target is used, and when it is probed.
//!
//! A doubt alone only sends new flows elsewhere. Flows are reset only once a
//! probe has failed and nothing was heard since the doubt: a reset of a flow
//! whose target lives breaks a promise, a late one costs some requests.

use mustardway_types::time::{Instant, Span};

/// Pause between two probes of a lost target; doubled up to the maximum.
const PROBE_MIN: Span = Span::millis(800);
/// Longest pause between two probes of a lost target, so that one that is back
/// gets flows again within a couple of seconds.
const PROBE_MAX: Span = Span::millis(1_600);
/// Shortest time between two probes of a target that answered the last one.
const PROBE_QUIET: Span = Span::millis(1_000);

/// What a probe found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered, or at least took the connection.
    Alive,
    /// Another target answers at its address.
    Replaced,
    /// The connection was refused: nothing listens there, or a broken link says so.
    Refused,
    /// No answer.
    Silent,
}

/// How far a target is relied on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Trust {
    /// It is used.
    #[default]
    Trusted,
    /// It left something unanswered; a probe is on its way.
    Doubted,
    /// It does not answer.
    Lost,
}

/// What follows from a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// Nothing changed.
    Unchanged,
    /// It is used again.
    Trusted,
    /// It does not answer any more.
    Lost,
}

/// How far one target is relied on, and when it is probed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Standing {
    trust: Trust,
    /// When the doubt arose.
    since: Instant,
    is_probed: bool,
    next_probe: Instant,
    pause: Span,
    /// The last probe showed that its process has ended.
    is_gone: bool,
}

impl Standing {
    /// How far the target is relied on.
    pub fn trust(&self) -> Trust {
        self.trust
    }

    /// Whether its process is known to have ended; one that cannot be reached may
    /// still be at work behind a broken link.
    pub fn is_gone(&self) -> bool {
        self.trust == Trust::Lost && self.is_gone
    }

    /// Something was left unanswered; whether this is news.
    pub fn doubt(&mut self, now: Instant) -> bool {
        if self.trust != Trust::Trusted || now < self.next_probe {
            return false;
        }
        self.trust = Trust::Doubted;
        self.since = now;
        self.next_probe = now;
        true
    }

    /// A caller has heard the target; whether it was lost until now.
    pub fn hear(&mut self) -> bool {
        let was_lost = self.trust == Trust::Lost;
        self.trust = Trust::Trusted;
        was_lost
    }

    /// Whether to probe it now; the probe is then taken to be on its way.
    pub fn start_probe(&mut self, now: Instant) -> bool {
        if self.trust == Trust::Trusted || self.is_probed || now < self.next_probe {
            return false;
        }
        self.is_probed = true;
        true
    }

    /// Takes what a probe found. `heard` is when a caller last heard the target.
    pub fn probed(&mut self, outcome: Outcome, heard: Option<Instant>, now: Instant) -> Finding {
        self.is_probed = false;
        if self.trust == Trust::Trusted {
            return Finding::Unchanged;
        }
        let heard_since = heard.is_some_and(|heard| heard > self.since);
        if outcome == Outcome::Alive || heard_since {
            self.trust = Trust::Trusted;
            self.next_probe = now + PROBE_QUIET;
            return Finding::Trusted;
        }
        let first = self.trust == Trust::Doubted;
        self.pause = if first { PROBE_MIN } else { Span(PROBE_MAX.0.min(self.pause.0 * 2)) };
        self.next_probe = now + self.pause;
        self.trust = Trust::Lost;
        self.is_gone = outcome == Outcome::Replaced;
        if first { Finding::Lost } else { Finding::Unchanged }
    }
}
