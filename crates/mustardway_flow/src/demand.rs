//! How much of what callers ask this instance can place.
//!
//! An instance that can place less than half of it, since all targets of some
//! services are out of its reach, does better to let the routers send new flows
//! to other instances. This answers the load of a failure domain that is cut off
//! while its own targets are down or evacuated.

use mustardway_types::service;
use mustardway_types::time::{Instant, Span};
use rustc_hash::FxHashMap;

/// Length of the window in which opening packets are counted.
const WINDOW: Span = Span::seconds(2);

/// Opening packets by service, in the window that runs and the one before.
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

    /// Whether at least half of the demand is for services that `can_place` names.
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
