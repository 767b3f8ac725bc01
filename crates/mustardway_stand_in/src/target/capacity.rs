//! How much load a target bears at a time.

use std::time::Duration;

/// From cold slots to slots, over the warm-up.
#[derive(Debug, Clone, Copy)]
pub struct Ramp {
    /// Bound when cold.
    pub cold_slots: u32,
    /// Bound when warm.
    pub slots: u32,
    /// Time from cold to warm.
    pub warm_up: Duration,
}

impl Ramp {
    /// Requests that a target bears `elapsed` it was cold.
    pub fn capacity_at(&self, elapsed: Duration) -> u32 {
        if self.is_warm(elapsed) {
            return self.slots;
        }
        let share = elapsed.as_secs_f64() / self.warm_up.as_secs_f64();
        let extra = f64::from(self.slots.saturating_sub(self.cold_slots)) * share;
        self.cold_slots.min(self.slots) + extra as u32
    }

    /// Whether it is warm `elapsed` it was cold.
    pub fn is_warm(&self, elapsed: Duration) -> bool {
        elapsed >= self.warm_up
    }
}
