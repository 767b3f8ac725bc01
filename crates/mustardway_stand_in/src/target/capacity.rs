//! Capacity of a target during warm-up.

use std::time::Duration;

/// Slow-start ramp: the capacity grows linearly from the cold slots to the slots
/// over the warm-up.
#[derive(Debug, Clone, Copy)]
pub struct Ramp {
    /// Capacity when cold, in concurrent requests.
    pub cold_slots: u32,
    /// Capacity when warm, in concurrent requests.
    pub slots: u32,
    /// Duration of the warm-up.
    pub warm_up: Duration,
}

impl Ramp {
    /// Returns the capacity after `elapsed` warm-up, in concurrent requests.
    pub fn capacity_at(&self, elapsed: Duration) -> u32 {
        if self.is_warm(elapsed) {
            return self.slots;
        }
        let share = elapsed.as_secs_f64() / self.warm_up.as_secs_f64();
        let extra = f64::from(self.slots.saturating_sub(self.cold_slots)) * share;
        self.cold_slots.min(self.slots) + extra as u32
    }

    /// Returns whether the warm-up is over after `elapsed`.
    pub fn is_warm(&self, elapsed: Duration) -> bool {
        elapsed >= self.warm_up
    }
}
