//! The event queue of the simulation.

use std::collections::BTreeMap;

use mustardway_types::time::Instant;

/// Pending events in order of time. Events of the same time keep the order in which
/// they were added.
#[derive(Debug)]
pub(crate) struct Queue<Event> {
    events: BTreeMap<(Instant, u64), Event>,
    added: u64,
}

impl<Event> Default for Queue<Event> {
    fn default() -> Self {
        Queue { events: BTreeMap::new(), added: 0 }
    }
}

impl<Event> Queue<Event> {
    /// Adds an event that happens `at` the given time.
    pub(crate) fn add(&mut self, at: Instant, event: Event) {
        self.added += 1;
        self.events.insert((at, self.added), event);
    }

    /// Removes the earliest event and returns it with its time.
    pub(crate) fn next(&mut self) -> Option<(Instant, Event)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
