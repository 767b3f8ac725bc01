//! Passive observation of targets from their callers' packets.
//!
//! An instance sees only the packets that callers send. If a caller acknowledges more
//! than before, its target has responded; if it sends the same bytes again, the
//! target has not. This saves health checks: a target that is known to respond is
//! probed only for reference, see [`crate::responsiveness`].

use mustardway_types::time::{Instant, Span};

/// Time without a response after which a copy of an opening packet, or retransmitted
/// data, counts against the target. Callers retransmit after 200 ms; copies that
/// arrive sooner were delayed together in the network and show nothing.
pub const RESPONSE_TIMEOUT: Span = Span::millis(150);
/// Time for which a target that left an opening packet unanswered is deprioritised:
/// one retransmission interval of a caller after its last copy.
pub const DEPRIORITISED_FOR: Span = Span::millis(1_500);

/// Time constant of the mean number of outstanding requests: the duration of several
/// requests.
const MEAN_TIME_CONSTANT: Span = Span::millis(400);

/// What was observed of one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Observation {
    /// Requests seen here that the target has not begun to answer.
    outstanding: u32,
    /// Outstanding requests that hang, as of the latest count.
    hanging: u32,
    /// Exponentially weighted mean of the outstanding requests at `updated`.
    mean_outstanding: f64,
    /// Time at which the number of outstanding requests last changed.
    updated: Instant,
    /// Flows seen here that are open at the target.
    pub flows: u32,
    /// Time at which a caller last showed that the target had responded.
    pub last_response: Option<Instant>,
    /// Time until which the target is deprioritised for new flows.
    pub deprioritised_until: Option<Instant>,
}

impl Observation {
    /// Returns whether the target has responded to a caller after `at`.
    pub fn has_responded_after(&self, at: Instant) -> bool {
        self.last_response.is_some_and(|response| response > at)
    }

    /// Records that a caller has received something from the target.
    pub fn record_response(&mut self, now: Instant) {
        self.last_response = Some(now);
        self.deprioritised_until = None;
    }

    /// Returns the number of requests seen here that the target has not begun to
    /// answer.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Returns the number of outstanding requests that may still be answered in time.
    pub fn in_progress(&self) -> u32 {
        self.outstanding.saturating_sub(self.hanging)
    }

    /// Sets the number of outstanding requests that hang.
    pub fn set_hanging(&mut self, hanging: u32) {
        self.hanging = hanging;
    }

    /// Returns the number of flows seen here that are open at the target without an
    /// outstanding request.
    pub fn idle_flows(&self) -> u32 {
        self.flows.saturating_sub(self.outstanding)
    }

    /// Estimates the outstanding requests of a target to which `domain_instances`
    /// instances send: those seen here, and for each other instance the mean seen
    /// here.
    pub fn estimate_outstanding(&self, domain_instances: usize, now: Instant) -> f64 {
        let others = domain_instances.saturating_sub(1) as f64;
        f64::from(self.outstanding) + others * self.mean_outstanding_at(now)
    }

    /// Records that a request was sent to the target.
    pub fn start_request(&mut self, now: Instant) {
        self.mean_outstanding = self.mean_outstanding_at(now);
        self.updated = now;
        self.outstanding += 1;
    }

    /// Records that a request was answered, or that no caller waits for it any more.
    pub fn finish_request(&mut self, now: Instant) {
        self.mean_outstanding = self.mean_outstanding_at(now);
        self.updated = now;
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    fn mean_outstanding_at(&self, now: Instant) -> f64 {
        let passed = now.since(self.updated).as_seconds() / MEAN_TIME_CONSTANT.as_seconds();
        let kept = (-passed).exp();
        self.mean_outstanding * kept + f64::from(self.outstanding) * (1.0 - kept)
    }

    /// Deprioritises the target for new flows for `span`.
    pub fn deprioritise(&mut self, now: Instant, span: Span) {
        self.deprioritised_until = self.deprioritised_until.max(Some(now + span));
    }

    /// Returns whether the target is deprioritised for new flows.
    pub fn is_deprioritised(&self, now: Instant) -> bool {
        self.deprioritised_until.is_some_and(|until| now < until)
    }
}
