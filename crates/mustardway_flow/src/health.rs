//! Whether a target is used, and when it is probed.
//!
//! A suspicion alone only sends new flows elsewhere. Flows are reset only once
//! several signs agree and nothing was heard meanwhile: a reset of a flow whose
//! target lives breaks a promise, a late one costs some requests. A probe by
//! itself is one sign among others, since a busy target may drop connections.
//! A probe that failed while this instance itself was slow is no sign, see
//! [`crate::pulse`].

use displaydoc::Display;
use mustardway_types::time::{Instant, Span};

use crate::pulse::Pulse;

/// Signs that together make a target lost, probes that failed among them.
const SIGNS: u32 = 3;
/// How long a sign counts.
const SIGN_AGE: Span = Span::seconds(3);
/// Pause before a failed probe is repeated.
const PROBE_AGAIN: Span = Span::millis(60);
/// Shortest time between two probes of a target that answered the last one.
const PROBE_QUIET: Span = Span::millis(1_000);
/// Pause between two probes of such a target by all instances that share its
/// callers together. A probe takes one of its slots, so a busy target is not to
/// get more of them where there are more instances.
const PROBE_BUSY: Span = Span::millis(500);
/// Pause between two probes of a lost target by all instances that share its
/// callers together, so that one that is back gets flows again within a second.
const PROBE_LOST: Span = Span::millis(800);

/// What a probe found.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// it answered, or at least took the connection
    Alive,
    /// another target answers at its address
    Replaced,
    /// the connection was refused
    Refused,
    /// no answer
    Silent,
}

impl Outcome {
    /// Its name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Outcome::Alive => "alive",
            Outcome::Replaced => "replaced",
            Outcome::Refused => "refused",
            Outcome::Silent => "silent",
        }
    }
}

/// How far a target is relied on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Trust {
    /// It is used.
    #[default]
    Trusted,
    /// It left something unanswered, or others say that it is lost.
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

/// What else is known when a probe ends.
#[derive(Debug, Clone, Copy)]
pub struct Context {
    /// When a caller last heard the target.
    pub heard: Option<Instant>,
    /// Whether this instance itself is quick.
    pub pulse: Pulse,
    /// Instances that probe a target in turn.
    pub sharers: usize,
}

impl Context {
    /// Time between two turns of one instance where all of them together make a
    /// pause of `pause`.
    fn turns(&self, pause: Span) -> Span {
        Span(pause.0 * self.sharers.max(1) as u64)
    }
}

/// How far one target is relied on, and when it is probed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Standing {
    is_lost: bool,
    /// Callers that it left unanswered.
    unanswered: u32,
    /// Probes that failed.
    failed: u32,
    /// When the first of these signs was seen.
    since: Instant,
    /// When a peer said that it is lost, or a neighbour of it was lost.
    rumoured: Option<Instant>,
    is_probed: bool,
    /// The probe on its way only tells whether this instance is quick.
    is_reference: bool,
    /// When the latest probe was sent.
    probe_sent: Instant,
    next_probe: Instant,
    /// The last probe showed that its process has ended.
    is_gone: bool,
}

impl Standing {
    /// How far the target is relied on.
    pub fn trust(&self, now: Instant) -> Trust {
        if self.is_lost {
            return Trust::Lost;
        }
        match self.is_doubted(now) {
            true => Trust::Doubted,
            false => Trust::Trusted,
        }
    }

    fn is_doubted(&self, now: Instant) -> bool {
        let is_suspect = self.unanswered > 0 && now.since(self.since) < SIGN_AGE;
        is_suspect || self.is_rumoured(now)
    }

    /// Whether it does not answer.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Whether its process is known to have ended; one that cannot be reached may
    /// still be at work behind a broken link.
    pub fn is_gone(&self) -> bool {
        self.is_lost && self.is_gone
    }

    /// A caller was left unanswered; whether this is the first sign.
    pub fn suspect(&mut self, now: Instant) -> bool {
        if self.is_lost {
            return false;
        }
        let is_first = !self.is_doubted(now);
        if is_first {
            self.unanswered = 0;
            self.failed = 0;
            self.since = now;
        }
        self.unanswered += 1;
        is_first
    }

    /// Others say that it is lost, or it may be lost like its neighbours; it is
    /// then probed after `delay`.
    pub fn hear_rumour(&mut self, delay: Span, now: Instant) {
        if !self.is_doubted(now) {
            self.unanswered = 0;
            self.failed = 0;
            self.since = now;
        }
        if !self.is_rumoured(now) {
            self.next_probe = now + delay;
        }
        self.rumoured = Some(now);
    }

    /// A caller, or a peer that shares its callers, has heard the target; whether
    /// it was lost until now.
    pub fn hear(&mut self) -> bool {
        let was_lost = self.is_lost;
        self.clear();
        was_lost
    }

    /// Whether to probe it now; the probe is then taken to be on its way.
    pub fn start_probe(&mut self, now: Instant) -> bool {
        let is_due = !self.is_probed && now >= self.next_probe;
        if !is_due || !(self.is_lost || self.is_doubted(now)) {
            return false;
        }
        self.is_probed = true;
        self.probe_sent = now;
        true
    }

    /// Takes a probe to be on its way that only tells whether this instance is
    /// quick; whether it may be sent.
    pub fn start_reference(&mut self, now: Instant) -> bool {
        if self.is_probed || self.trust(now) != Trust::Trusted {
            return false;
        }
        self.is_probed = true;
        self.is_reference = true;
        self.probe_sent = now;
        true
    }

    /// When the first sign was seen, where a probe is on its way that may make
    /// the target lost.
    pub fn tried_since(&self) -> Option<Instant> {
        let is_tried = self.is_probed && !self.is_reference && !self.is_lost;
        is_tried.then_some(self.since)
    }

    /// When the latest probe was sent.
    pub fn probe_sent(&self) -> Instant {
        self.probe_sent
    }

    /// Takes what a probe found.
    pub fn probed(&mut self, outcome: Outcome, context: &Context, now: Instant) -> Finding {
        self.is_probed = false;
        if std::mem::take(&mut self.is_reference) {
            return Finding::Unchanged;
        }
        let heard_since = context.heard.is_some_and(|heard| heard > self.since);
        if outcome == Outcome::Alive || heard_since {
            let was_trusted = self.trust(now) == Trust::Trusted;
            self.clear();
            self.next_probe = now + PROBE_QUIET.max(context.turns(PROBE_BUSY));
            return if was_trusted { Finding::Unchanged } else { Finding::Trusted };
        }
        self.is_gone = outcome == Outcome::Replaced;
        if self.is_lost {
            self.next_probe = now + context.turns(PROBE_LOST);
            return Finding::Unchanged;
        }
        if !context.pulse.is_sound(self.since, now) {
            self.next_probe = now + PROBE_AGAIN;
            return Finding::Unchanged;
        }
        self.failed += 1;
        // A peer's word supports what callers noticed here, and nothing else.
        let is_supported = self.unanswered > 0 && self.is_rumoured(now);
        let signs = self.unanswered + self.failed + u32::from(is_supported);
        if signs < SIGNS && !self.is_gone {
            self.next_probe = now + PROBE_AGAIN;
            return Finding::Unchanged;
        }
        self.is_lost = true;
        self.next_probe = now + PROBE_LOST;
        Finding::Lost
    }

    fn is_rumoured(&self, now: Instant) -> bool {
        self.rumoured.is_some_and(|at| now.since(at) < SIGN_AGE)
    }

    fn clear(&mut self) {
        self.is_lost = false;
        self.unanswered = 0;
        self.failed = 0;
        self.rumoured = None;
    }
}
