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

use crate::responsiveness::Responsiveness;

/// Signs that together make a target lost, probes that failed among them.
const EVIDENCE_MIN: u32 = 3;
/// How long a sign counts.
const EVIDENCE_LIFETIME: Span = Span::seconds(3);
/// Pause before a failed probe is repeated.
const RETRY_DELAY: Span = Span::millis(60);
/// Shortest time between two probes of a target that answered the last one.
const ANSWERED_PAUSE_MIN: Span = Span::millis(1_000);
/// Pause between two probes of such a target by all instances that share its
/// callers together. A probe takes one of its slots, so a busy target is not to
/// get more of them where there are more instances.
const ANSWERED_PAUSE_SHARED: Span = Span::millis(500);
/// Pause between two probes of a lost target by all instances that share its
/// callers together, so that one that is back gets flows again within a second.
const LOST_PAUSE_SHARED: Span = Span::millis(800);

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
pub enum Status {
    /// It is used.
    #[default]
    Healthy,
    /// It left something unanswered, or others say that it is lost.
    Suspected,
    /// It does not answer.
    Lost,
}

/// What follows from a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// Nothing changed.
    Unchanged,
    /// It is used again.
    Recovered,
    /// It does not answer any more.
    Lost,
}

/// What else is known when a probe ends.
#[derive(Debug, Clone, Copy)]
pub struct Context {
    /// When a caller last heard the target.
    pub last_response: Option<Instant>,
    /// Whether this instance itself is quick.
    pub responsiveness: Responsiveness,
    /// Instances that probe a target in turn.
    pub domain_instances: usize,
}

impl Context {
    /// Time between two turns of one instance where all of them together make a
    /// pause of `pause`.
    fn pause_per_instance(&self, pause: Span) -> Span {
        Span(pause.0 * self.domain_instances.max(1) as u64)
    }
}

/// How far one target is relied on, and when it is probed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tracker {
    is_lost: bool,
    /// Callers that it left unanswered.
    unanswered: u32,
    /// Probes that failed.
    failed_probes: u32,
    /// When the first of these signs was seen.
    first_evidence: Instant,
    /// When a peer said that it is lost, or a neighbour of it was lost.
    reported: Option<Instant>,
    is_probing: bool,
    /// The probe on its way only tells whether this instance is quick.
    is_reference: bool,
    /// When the latest probe was sent.
    probe_sent: Instant,
    next_probe: Instant,
    /// The last probe showed that its process has ended.
    is_terminated: bool,
}

impl Tracker {
    /// How far the target is relied on.
    pub fn status(&self, now: Instant) -> Status {
        if self.is_lost {
            return Status::Lost;
        }
        match self.is_suspected(now) {
            true => Status::Suspected,
            false => Status::Healthy,
        }
    }

    fn is_suspected(&self, now: Instant) -> bool {
        let has_evidence =
            self.unanswered > 0 && now.since(self.first_evidence) < EVIDENCE_LIFETIME;
        has_evidence || self.is_reported(now)
    }

    /// Whether it does not answer.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Whether its process is known to have ended; one that cannot be reached may
    /// still be at work behind a broken link.
    pub fn is_terminated(&self) -> bool {
        self.is_lost && self.is_terminated
    }

    /// A caller was left unanswered; whether this is the first sign.
    pub fn record_unanswered(&mut self, now: Instant) -> bool {
        if self.is_lost {
            return false;
        }
        let is_first = !self.is_suspected(now);
        if is_first {
            self.unanswered = 0;
            self.failed_probes = 0;
            self.first_evidence = now;
        }
        self.unanswered += 1;
        is_first
    }

    /// Others say that it is lost, or it may be lost like its neighbours; it is
    /// then probed after `delay`.
    pub fn record_report(&mut self, delay: Span, now: Instant) {
        if !self.is_suspected(now) {
            self.unanswered = 0;
            self.failed_probes = 0;
            self.first_evidence = now;
        }
        if !self.is_reported(now) {
            self.next_probe = now + delay;
        }
        self.reported = Some(now);
    }

    /// A caller, or a peer that shares its callers, has heard the target; whether
    /// it was lost until now.
    pub fn record_response(&mut self) -> bool {
        let was_lost = self.is_lost;
        self.clear();
        was_lost
    }

    /// Whether to probe it now; the probe is then taken to be on its way.
    pub fn start_probe(&mut self, now: Instant) -> bool {
        let is_due = !self.is_probing && now >= self.next_probe;
        if !is_due || !(self.is_lost || self.is_suspected(now)) {
            return false;
        }
        self.is_probing = true;
        self.probe_sent = now;
        true
    }

    /// Takes a probe to be on its way that only tells whether this instance is
    /// quick; whether it may be sent.
    pub fn start_reference(&mut self, now: Instant) -> bool {
        if self.is_probing || self.status(now) != Status::Healthy {
            return false;
        }
        self.is_probing = true;
        self.is_reference = true;
        self.probe_sent = now;
        true
    }

    /// When the first sign was seen, where a probe is on its way that may make
    /// the target lost.
    pub fn evidence_since(&self) -> Option<Instant> {
        let is_deciding = self.is_probing && !self.is_reference && !self.is_lost;
        is_deciding.then_some(self.first_evidence)
    }

    /// When the latest probe was sent.
    pub fn probe_sent(&self) -> Instant {
        self.probe_sent
    }

    /// Takes what a probe found.
    pub fn record_outcome(
        &mut self,
        outcome: Outcome,
        context: &Context,
        now: Instant,
    ) -> Transition {
        self.is_probing = false;
        if std::mem::take(&mut self.is_reference) {
            return Transition::Unchanged;
        }
        let has_responded =
            context.last_response.is_some_and(|response| response > self.first_evidence);
        if outcome == Outcome::Alive || has_responded {
            let was_healthy = self.status(now) == Status::Healthy;
            self.clear();
            self.next_probe =
                now + ANSWERED_PAUSE_MIN.max(context.pause_per_instance(ANSWERED_PAUSE_SHARED));
            return if was_healthy { Transition::Unchanged } else { Transition::Recovered };
        }
        self.is_terminated = outcome == Outcome::Replaced;
        if self.is_lost {
            self.next_probe = now + context.pause_per_instance(LOST_PAUSE_SHARED);
            return Transition::Unchanged;
        }
        if !context.responsiveness.is_silence_conclusive(self.first_evidence, now) {
            self.next_probe = now + RETRY_DELAY;
            return Transition::Unchanged;
        }
        self.failed_probes += 1;
        // A peer's word supports what callers noticed here, and nothing else.
        let is_confirmed = self.unanswered > 0 && self.is_reported(now);
        let evidence = self.unanswered + self.failed_probes + u32::from(is_confirmed);
        if evidence < EVIDENCE_MIN && !self.is_terminated {
            self.next_probe = now + RETRY_DELAY;
            return Transition::Unchanged;
        }
        self.is_lost = true;
        self.next_probe = now + LOST_PAUSE_SHARED;
        Transition::Lost
    }

    fn is_reported(&self, now: Instant) -> bool {
        self.reported.is_some_and(|at| now.since(at) < EVIDENCE_LIFETIME)
    }

    fn clear(&mut self) {
        self.is_lost = false;
        self.unanswered = 0;
        self.failed_probes = 0;
        self.reported = None;
    }
}
