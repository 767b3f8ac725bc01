//! The share of the callers' demand that this instance can place.
//!
//! If an instance can place less than half of the demand, since it can reach no
//! target of some services, the routers should send new flows to other instances.
//! This happens if a failure domain is partitioned from the others while its own
//! targets are down or evacuated.

use mustardway_types::service;
use mustardway_types::time::{Instant, Span};
use rustc_hash::FxHashMap;

/// Length of the window in which opening packets are counted.
const WINDOW: Span = Span::seconds(2);

/// Opening packets by service, in the current and the previous window.
#[derive(Debug, Default)]
pub struct Demand {
    window_start: Instant,
    current: FxHashMap<service::Name, u32>,
    previous: FxHashMap<service::Name, u32>,
}

impl Demand {
    /// Counts an opening packet.
    pub fn count(&mut self, service: &service::Name, now: Instant) {
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.previous = std::mem::take(&mut self.current);
        }
        match self.current.get_mut(service) {
            Some(count) => *count += 1,
            None => {
                self.current.insert(service.clone(), 1);
            }
        }
    }

    /// Returns whether at least half of the demand is for services for which
    /// `can_place` returns true.
    pub fn is_met(&self, can_place: impl Fn(&service::Name) -> bool) -> bool {
        let (mut met, mut all) = (0, 0);
        for (service, count) in self.current.iter().chain(&self.previous) {
            all += count;
            if can_place(service) {
                met += count;
            }
        }
        met * 2 >= all
    }
}
