//! Notices that the process did not run.
//!
//! The monotonic clock stands still while a machine is suspended; the clock of
//! the time since boot goes on. A process that is only stopped sees its own
//! ticks come late.

use mustardway_types::time::{Instant, Span};
use rustix::time::{ClockId, clock_gettime};

/// Gap beyond which ticks came late for another reason than load.
const GAP: Span = Span::millis(400);

/// Compares two clocks from tick to tick.
#[derive(Debug)]
pub struct Watch {
    ticked: Instant,
    booted: Span,
}

impl Watch {
    /// A watch that starts now.
    pub fn new(now: Instant) -> Self {
        Watch { ticked: now, booted: since_boot() }
    }

    /// Whether the process did not run since the last tick.
    pub fn is_late(&self, now: Instant) -> bool {
        now.since(self.ticked) >= GAP || since_boot().saturating_sub(self.booted) >= GAP
    }

    /// How long the process did not run since the last call, if that was long,
    /// and how much of it the monotonic clock has missed.
    pub fn tick(&mut self, now: Instant) -> Option<(Span, Span)> {
        let booted = since_boot();
        let ran = now.since(self.ticked);
        let passed = booted.saturating_sub(self.booted);
        self.ticked = now;
        self.booted = booted;
        let paused = passed.max(ran);
        (paused >= GAP).then(|| (paused, passed.saturating_sub(ran)))
    }
}

fn since_boot() -> Span {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
    Span::seconds(seconds) + Span(nanoseconds / 1_000)
}
