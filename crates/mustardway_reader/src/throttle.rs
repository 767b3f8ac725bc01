//! Limits the rate of calls to the platform, with exponential backoff after failures.
//!
//! The rate limit is the generic cell rate algorithm. The module reads no clock:
//! the caller passes the current time to each method.

use mustardway_types::{hash, rate, time};

/// Wait after the first failure. It doubles with each further failure in a row.
pub const BACKOFF_MIN: time::Span = time::Span::millis(50);
/// Longest wait after a failure.
pub const BACKOFF_MAX: time::Span = time::Span::seconds(2);

/// Decides when the next call may start.
#[derive(Debug)]
pub struct Throttle {
    /// Greatest long-run rate of calls.
    rate: rate::PerSecond,
    /// Greatest number of calls that may start at one time after a period without calls.
    burst: u64,
    /// Time at which the calls reserved so far would end if they ran at exactly `rate`.
    theoretical_arrival: time::Instant,
    /// Number of failures in a row.
    failures: u32,
    /// Time before which no call starts, because of the last failure.
    backoff_until: time::Instant,
    /// State of the random generator of the backoff jitter.
    jitter_state: u64,
}

impl Throttle {
    /// Returns a throttle that allows `rate` calls a second, and `burst` calls at one time. `seed`
    /// should differ between processes, so that they do not retry at the same time.
    pub fn new(rate: rate::PerSecond, burst: u64, seed: u64) -> Self {
        Throttle {
            rate: rate::PerSecond(rate.0.max(1)),
            burst: burst.max(1),
            theoretical_arrival: time::Instant::default(),
            failures: 0,
            backoff_until: time::Instant::default(),
            jitter_state: seed,
        }
    }

    /// Reserves one call and returns the wait before it may start.
    pub fn reserve(&mut self, now: time::Instant) -> time::Span {
        let interval = time::Span(time::Span::seconds(1).0 / self.rate.0);
        let arrival = self.theoretical_arrival.max(now) + interval;
        self.theoretical_arrival = arrival;
        let burst_tolerance = time::Span(interval.0.saturating_mul(self.burst));
        let rate_wait = arrival.since(now).saturating_sub(burst_tolerance);
        rate_wait.max(self.backoff_until.since(now))
    }

    /// Resets the count of failures after a call that was answered.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Starts a backoff after a call for which all addresses failed.
    pub fn failed(&mut self, now: time::Instant) {
        // Keeps the shift in range; the wait reaches `BACKOFF_MAX` after far fewer doublings.
        let doublings = self.failures.min(16);
        self.failures += 1;
        let wait = BACKOFF_MIN.0.saturating_mul(1 << doublings).min(BACKOFF_MAX.0);
        self.jitter_state = hash::mix(self.jitter_state, u64::from(self.failures));
        let jittered_wait = wait as f64 * (0.5 + hash::unit(self.jitter_state) / 2.0);
        self.backoff_until = now + time::Span(jittered_wait as u64);
    }
}
