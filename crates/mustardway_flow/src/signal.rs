//! What is noticed of a target without asking it.
//!
//! An instance sees only what callers send. A caller that acknowledges more than
//! before has heard its target; one that sends the same bytes again has not.
//! This answers the load on health checks: none is sent to a target that is
//! known to answer.

use mustardway_types::time::{Instant, Span};

/// Time for which a target that left an opening packet unanswered is passed
/// over: one retransmission interval of a caller beyond its last copy.
pub const PASSED_OVER: Span = Span::millis(1_500);

/// What was noticed of one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Signal {
    /// Requests seen here that it has not begun to answer.
    pub waiting: u32,
    /// Flows seen here that are open at it.
    pub flows: u32,
    /// When a caller last showed that it had heard it.
    pub heard: Option<Instant>,
    /// New flows pass it over until then.
    pub passed_over: Option<Instant>,
}

impl Signal {
    /// Whether a caller has heard the target after `at`.
    pub fn heard_after(&self, at: Instant) -> bool {
        self.heard.is_some_and(|heard| heard > at)
    }

    /// A caller has heard the target.
    pub fn hear(&mut self, now: Instant) {
        self.heard = Some(now);
        self.passed_over = None;
    }

    /// It left an opening packet unanswered.
    pub fn pass_over(&mut self, now: Instant) {
        self.passed_over = Some(now + PASSED_OVER);
    }

    /// Whether new flows pass it over.
    pub fn is_passed_over(&self, now: Instant) -> bool {
        self.passed_over.is_some_and(|until| now < until)
    }
}
