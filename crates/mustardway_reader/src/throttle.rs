//! The bound on calls a second, and the wait after failures.
//!
//! Holds no clock: every call gets its point of time.

use mustardway_types::{hash, rate, time};

/// Wait after the first failure in a row; doubled after each more.
pub const BACKOFF_MIN: time::Span = time::Span::millis(50);
/// Longest wait after a failure.
pub const BACKOFF_MAX: time::Span = time::Span::seconds(2);

/// When the next call may start.
#[derive(Debug)]
pub struct Throttle {
    /// Calls a second in the long run.
    rate: rate::PerSecond,
    /// Calls that may start at one time after a rest.
    burst: u64,
    /// Point of time at which all calls let in so far are scheduled for.
    scheduled: time::Instant,
    /// Failures in a row.
    failures: u32,
    /// No call starts before.
    backoff_until: time::Instant,
    /// State of the jitter.
    jitter: u64,
}

impl Throttle {
    /// At most `rate` calls a second, and `burst` at one time. `seed` is to differ
    /// between processes, so that they do not ask in step.
    pub fn new(rate: rate::PerSecond, burst: u64, seed: u64) -> Self {
        Throttle {
            rate: rate::PerSecond(rate.0.max(1)),
            burst: burst.max(1),
            scheduled: time::Instant::default(),
            failures: 0,
            backoff_until: time::Instant::default(),
            jitter: seed,
        }
    }

    /// Books one call and tells how long to wait before it starts.
    pub fn reserve(&mut self, now: time::Instant) -> time::Span {
        let cost = time::Span(time::Span::seconds(1).0 / self.rate.0);
        let start = self.scheduled.max(now) + cost;
        self.scheduled = start;
        let credit = time::Span(cost.0.saturating_mul(self.burst));
        let rate_limited = start.since(now).less(credit);
        rate_limited.max(self.backoff_until.since(now))
    }

    /// A call was answered.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// All addresses failed.
    pub fn failed(&mut self, now: time::Instant) {
        let doublings = self.failures.min(16);
        self.failures += 1;
        let wait = BACKOFF_MIN.0.saturating_mul(1 << doublings).min(BACKOFF_MAX.0);
        self.jitter = hash::mix(self.jitter, u64::from(self.failures));
        let jittered = wait as f64 * (0.5 + hash::unit(self.jitter) / 2.0);
        self.backoff_until = now + time::Span(jittered as u64);
    }
}
