//! Detects that the process was suspended.
//!
//! `CLOCK_MONOTONIC` stops while the machine is suspended, `CLOCK_BOOTTIME` goes
//! on. A process that is only stopped (SIGSTOP) sees its own ticks come late.

use mustardway_types::time::{Instant, Span};
use rustix::time::{ClockId, clock_gettime};

/// Shortest gap between two ticks that counts as a pause; a shorter one may come
/// from load.
const PAUSE_MIN: Span = Span::millis(400);

/// Compares the monotonic clock with the boot-time clock at every tick.
#[derive(Debug)]
pub struct Detector {
    last_tick: Instant,
    boot_time_at_tick: Span,
}

impl Detector {
    /// Creates a detector whose first interval starts now.
    pub fn new(now: Instant) -> Self {
        Detector { last_tick: now, boot_time_at_tick: time_since_boot() }
    }

    /// Returns the time since the last tick.
    pub fn time_since_tick(&self, now: Instant) -> Span {
        now.since(self.last_tick)
    }

    /// Returns whether the process was paused since the last tick.
    pub fn was_paused(&self, now: Instant) -> bool {
        now.since(self.last_tick) >= PAUSE_MIN
            || time_since_boot().saturating_sub(self.boot_time_at_tick) >= PAUSE_MIN
    }

    /// Records a tick. If the process was paused since the last tick, returns the
    /// length of the pause and the part of it that the monotonic clock missed.
    pub fn tick(&mut self, now: Instant) -> Option<(Span, Span)> {
        let boot_time = time_since_boot();
        let monotonic = now.since(self.last_tick);
        let elapsed = boot_time.saturating_sub(self.boot_time_at_tick);
        self.last_tick = now;
        self.boot_time_at_tick = boot_time;
        let paused = elapsed.max(monotonic);
        (paused >= PAUSE_MIN).then(|| (paused, elapsed.saturating_sub(monotonic)))
    }
}

/// Returns the time since boot, suspension of the machine included.
fn time_since_boot() -> Span {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
    Span::seconds(seconds) + Span(nanoseconds / 1_000)
}
