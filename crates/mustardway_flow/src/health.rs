//! The health status of a target and the schedule of its probes.
//!
//! A suspected target only gets no new flows while other targets are available. Flows
//! are reset once several pieces of evidence agree and the target has responded to
//! nobody meanwhile: resetting a flow whose target works violates a guarantee, while
//! resetting it late costs only some requests. A failed probe is one piece of
//! evidence among others, since a busy target may drop connections. A probe that
//! failed while this instance itself was slow does not count, and packets left
//! unanswered until then count little, see [`crate::responsiveness`].

use displaydoc::Display;
use mustardway_types::time::{Instant, Span};

use crate::responsiveness::Responsiveness;

/// Number of pieces of evidence, failed probes included, at which a target is lost.
const EVIDENCE_MIN: u32 = 3;
/// Time for which evidence counts.
const EVIDENCE_LIFETIME: Span = Span::seconds(3);
/// Time for which a peer's report of a lost target counts, unless a peer reports that
/// the target answers again. Most instances do not probe a reported target.
const REPORT_LIFETIME: Span = Span::seconds(10);
/// Delay before a failed probe is retried.
const RETRY_DELAY: Span = Span::millis(60);
/// Minimum pause after a probe that the target answered.
const ANSWERED_PAUSE_MIN: Span = Span::millis(1_000);
/// Mean pause between probes after an answered one, over all instances of the failure
/// domain together. A probe occupies one of the target's slots, so the number of
/// probes of a busy target must not grow with the number of instances.
const ANSWERED_PAUSE_SHARED: Span = Span::millis(500);
/// Mean pause between probes of a lost target, over all instances of the failure
/// domain together. A target that is back gets flows again within a second.
const LOST_PAUSE_SHARED: Span = Span::millis(800);

/// The outcome of a probe.
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
    /// Returns the label value used in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Outcome::Alive => "alive",
            Outcome::Replaced => "replaced",
            Outcome::Refused => "refused",
            Outcome::Silent => "silent",
        }
    }
}

/// The health status of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Status {
    /// The target responds.
    #[default]
    Healthy,
    /// The target left a caller's packet unanswered, a peer reported it lost, or a
    /// neighbour of it was lost.
    Suspected,
    /// The target does not respond.
    Lost,
}

/// The change of status that follows from a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// The status is the same.
    Unchanged,
    /// The target is used again.
    Recovered,
    /// The target no longer responds.
    Lost,
}

/// The evidence against a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Number of times that a caller's packet was left unanswered.
    pub unanswered: u32,
    /// Number of probes that failed.
    pub failed_probes: u32,
    /// Time since the first piece of evidence.
    pub age: Span,
}

/// The circumstances under which the outcome of a probe is judged.
#[derive(Debug, Clone, Copy)]
pub struct Context {
    /// Time at which the target last responded to a caller.
    pub last_response: Option<Instant>,
    /// Whether this instance itself responds in time.
    pub responsiveness: Responsiveness,
    /// Number of instances that take turns to probe the target.
    pub probers: usize,
}

impl Context {
    /// Returns the pause between the probes of one instance for which the probes of
    /// all instances together have the mean pause `pause`.
    fn pause_per_instance(&self, pause: Span) -> Span {
        Span(pause.0 * self.probers.max(1) as u64)
    }
}

/// Tracks the health of one target and schedules its probes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tracker {
    is_lost: bool,
    /// Number of times that a caller's packet was left unanswered.
    unanswered: u32,
    /// Number of these times at which a caller sent nothing after its opening packet.
    missing_follow_ups: u32,
    /// Number of probes that failed.
    failed_probes: u32,
    /// Time of the first piece of evidence.
    first_evidence: Instant,
    /// Time at which a peer reported the target lost, or a neighbour of it was lost.
    reported: Option<Instant>,
    /// Time at which a peer last reported the target lost.
    reported_lost: Option<Instant>,
    /// Time at which the target was found lost here.
    lost_at: Option<Instant>,
    /// Time at which the target last answered a probe of this instance or a peer.
    answered: Option<Instant>,
    is_probing: bool,
    /// Whether the probe in flight is a reference probe, which only tells whether
    /// this instance itself is slow.
    is_reference: bool,
    /// Time at which the latest probe was sent.
    probe_sent: Instant,
    next_probe: Instant,
    /// Whether the last probe showed that the target's process has ended.
    is_terminated: bool,
}

impl Tracker {
    /// Returns the health status of the target.
    pub fn status(&self, now: Instant) -> Status {
        if self.is_lost {
            return Status::Lost;
        }
        match self.is_suspected(now) || self.is_reported_lost(now) {
            true => Status::Suspected,
            false => Status::Healthy,
        }
    }

    /// Returns whether a peer's report that the target is lost counts.
    pub fn is_reported_lost(&self, now: Instant) -> bool {
        self.reported_lost.is_some_and(|at| now.since(at) < REPORT_LIFETIME)
    }

    /// Returns the time since which the target is lost, as found here or by a peer.
    pub fn lost_since(&self, now: Instant) -> Option<Instant> {
        let reported = self.reported_lost.filter(|_| self.is_reported_lost(now));
        if self.is_lost { self.lost_at } else { reported }
    }

    /// Returns the time since which callers' packets were left unanswered here.
    pub fn unanswered_since(&self, now: Instant) -> Option<Instant> {
        self.has_own_evidence(now).then_some(self.first_evidence)
    }

    /// Returns the time at which the target last answered a probe of this instance or
    /// a peer.
    pub fn last_answer(&self) -> Option<Instant> {
        self.answered
    }

    /// Returns whether a caller's packet was left unanswered here recently.
    pub fn has_own_evidence(&self, now: Instant) -> bool {
        self.is_lost || self.unanswered > 0 && self.is_suspected(now)
    }

    fn is_suspected(&self, now: Instant) -> bool {
        let has_evidence =
            self.unanswered > 0 && now.since(self.first_evidence) < EVIDENCE_LIFETIME;
        has_evidence || self.is_reported(now)
    }

    /// Returns whether the target is lost.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Returns whether the target's process is known to have ended. A target that
    /// cannot be reached may still be running behind a broken link.
    pub fn is_terminated(&self) -> bool {
        self.is_lost && self.is_terminated
    }

    /// Returns the evidence against the target.
    pub fn evidence(&self, now: Instant) -> Evidence {
        Evidence {
            unanswered: self.unanswered,
            failed_probes: self.failed_probes,
            age: now.since(self.first_evidence),
        }
    }

    /// Records that a caller's packet was left unanswered. Returns whether this is
    /// the first evidence against the target.
    pub fn record_unanswered(&mut self, now: Instant) -> bool {
        if self.is_lost {
            return false;
        }
        let is_first = !self.is_suspected(now);
        if is_first {
            self.unanswered = 0;
            self.missing_follow_ups = 0;
            self.failed_probes = 0;
            self.first_evidence = now;
        }
        self.unanswered += 1;
        is_first
    }

    /// Records that the packet that was just recorded as unanswered is an opening packet whose
    /// caller sent nothing more here. The routers may have chosen another instance for it.
    pub fn record_missing_follow_up(&mut self) {
        self.missing_follow_ups = self.unanswered.min(self.missing_follow_ups + 1);
    }

    /// Returns the number of unanswered packets that count if the target did not answer a
    /// probe. A change of rotation lets the follow-ups of several callers miss at once.
    fn unanswered_if_silent(&self) -> u32 {
        self.unanswered - self.missing_follow_ups.saturating_sub(1).min(self.unanswered)
    }

    /// Records that a peer reports the target lost. If this instance is to probe it,
    /// it does so after `delay`.
    pub fn record_report(&mut self, delay: Span, now: Instant) {
        self.record_suspicion(delay, now);
        self.reported_lost = Some(now);
    }

    /// Records that the target may be lost together with a neighbour. It is then
    /// probed after `delay`.
    pub fn record_suspicion(&mut self, delay: Span, now: Instant) {
        if !self.is_suspected(now) {
            self.unanswered = 0;
            self.missing_follow_ups = 0;
            self.failed_probes = 0;
            self.first_evidence = now;
        }
        if !self.is_reported(now) {
            self.next_probe = now + delay;
        }
        self.reported = Some(now);
    }

    /// Records that a peer in the failure domain had an answer from the target.
    /// Returns whether it was lost until now.
    pub fn record_peer_answer(&mut self, now: Instant) -> bool {
        self.answered = Some(now);
        self.record_response()
    }

    /// Records that the target has responded to a caller. Returns whether it was lost
    /// until now.
    pub fn record_response(&mut self) -> bool {
        let was_lost = self.is_lost;
        self.clear();
        was_lost
    }

    /// Returns whether to probe the target now. If so, the probe counts as in flight.
    pub fn start_probe(&mut self, now: Instant) -> bool {
        let is_due = !self.is_probing && now >= self.next_probe;
        if !is_due || self.status(now) == Status::Healthy {
            return false;
        }
        self.is_probing = true;
        self.probe_sent = now;
        true
    }

    /// Returns whether a reference probe may be sent to the target now. If so, the
    /// probe counts as in flight.
    pub fn start_reference(&mut self, now: Instant) -> bool {
        if self.is_probing || self.status(now) != Status::Healthy {
            return false;
        }
        self.is_probing = true;
        self.is_reference = true;
        self.probe_sent = now;
        true
    }

    /// Returns the time at which the probe in flight was sent, if it may make the target
    /// lost.
    pub fn deciding_probe_sent(&self) -> Option<Instant> {
        let is_deciding = self.is_probing && !self.is_reference && !self.is_lost;
        is_deciding.then_some(self.probe_sent)
    }

    /// Returns whether a reference probe is in flight.
    pub fn is_reference(&self) -> bool {
        self.is_probing && self.is_reference
    }

    /// Returns whether a probe is in flight.
    pub fn is_probing(&self) -> bool {
        self.is_probing
    }

    /// Returns the time at which the latest probe was sent.
    pub fn probe_sent(&self) -> Instant {
        self.probe_sent
    }

    /// Records the outcome of a probe.
    pub fn record_outcome(
        &mut self,
        outcome: Outcome,
        context: &Context,
        now: Instant,
    ) -> Transition {
        self.is_probing = false;
        if outcome == Outcome::Alive {
            self.answered = Some(now);
        }
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
        if !context.responsiveness.is_silence_conclusive(self.probe_sent) {
            self.unanswered = self.unanswered.min(1);
            self.missing_follow_ups = self.missing_follow_ups.min(self.unanswered);
            self.next_probe = now + RETRY_DELAY;
            return Transition::Unchanged;
        }
        self.failed_probes += 1;
        // A peer's report counts only in addition to what callers showed here.
        let is_confirmed = self.unanswered > 0 && self.is_reported(now);
        let unanswered = match outcome {
            Outcome::Silent => self.unanswered_if_silent(),
            _ => self.unanswered,
        };
        let evidence = unanswered + self.failed_probes + u32::from(is_confirmed);
        if evidence < EVIDENCE_MIN && !self.is_terminated {
            self.next_probe = now + RETRY_DELAY;
            return Transition::Unchanged;
        }
        self.is_lost = true;
        self.lost_at = Some(now);
        self.next_probe = now + LOST_PAUSE_SHARED;
        Transition::Lost
    }

    fn is_reported(&self, now: Instant) -> bool {
        self.reported.is_some_and(|at| now.since(at) < EVIDENCE_LIFETIME)
    }

    fn clear(&mut self) {
        self.is_lost = false;
        self.unanswered = 0;
        self.missing_follow_ups = 0;
        self.failed_probes = 0;
        self.reported = None;
        self.reported_lost = None;
    }
}
