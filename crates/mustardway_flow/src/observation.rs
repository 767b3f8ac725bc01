//! What is noticed of a target without asking it.
//!
//! An instance sees only what callers send. A caller that acknowledges more than
//! before has heard its target; one that sends the same bytes again has not.
//! This answers the load on health checks: none is sent to a target that is
//! known to answer.

use mustardway_types::time::{Instant, Span};

/// Time without an answer after which a copy of an opening packet, or bytes that
/// are sent again, count against the target. Callers send them after 200 ms; those
/// that come sooner were held up together and tell nothing.
pub const RESPONSE_TIMEOUT: Span = Span::millis(150);
/// Time for which a target that left an opening packet unanswered is passed
/// over: one retransmission interval of a caller beyond its last copy.
pub const DEPRIORITISED_FOR: Span = Span::millis(1_500);

/// Time in which a change of the load shows in its mean: several requests long.
const MEAN_TIME_CONSTANT: Span = Span::millis(400);

/// What was noticed of one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Observation {
    /// Requests seen here that it has not begun to answer.
    outstanding: u32,
    /// Their mean over the last moments.
    mean_outstanding: f64,
    /// When the number of waiting requests last changed.
    updated: Instant,
    /// Flows seen here that are open at it.
    pub flows: u32,
    /// When a caller last showed that it had heard it.
    pub last_response: Option<Instant>,
    /// New flows pass it over until then.
    pub deprioritised_until: Option<Instant>,
}

impl Observation {
    /// Whether a caller has heard the target after `at`.
    pub fn has_responded_after(&self, at: Instant) -> bool {
        self.last_response.is_some_and(|response| response > at)
    }

    /// A caller has heard the target.
    pub fn record_response(&mut self, now: Instant) {
        self.last_response = Some(now);
        self.deprioritised_until = None;
    }

    /// Requests seen here that it has not begun to answer.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Flows seen here that are open at it and ask nothing now.
    pub fn idle_flows(&self) -> u32 {
        self.flows.saturating_sub(self.outstanding)
    }

    /// Requests that wait at it, when `instances` like this one send to it: those
    /// seen here, and as many from each other one as wait here on average.
    pub fn estimate_outstanding(&self, domain_instances: usize, now: Instant) -> f64 {
        let others = domain_instances.saturating_sub(1) as f64;
        f64::from(self.outstanding) + others * self.mean_outstanding_at(now)
    }

    /// A request was sent to it.
    pub fn start_request(&mut self, now: Instant) {
        self.mean_outstanding = self.mean_outstanding_at(now);
        self.updated = now;
        self.outstanding += 1;
    }

    /// A request was answered, or nobody waits for it any more.
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

    /// New flows pass it over for `span`.
    pub fn deprioritise(&mut self, now: Instant, span: Span) {
        self.deprioritised_until = self.deprioritised_until.max(Some(now + span));
    }

    /// Whether new flows pass it over.
    pub fn is_deprioritised(&self, now: Instant) -> bool {
        self.deprioritised_until.is_some_and(|until| now < until)
    }
}
