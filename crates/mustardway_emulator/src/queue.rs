//! What is to happen, in the order of time.

use std::collections::BTreeMap;

use mustardway_types::time::Instant;

/// Events by time; those of one moment in the order in which they were added.
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
    /// Adds what happens `at` some time.
    pub(crate) fn add(&mut self, at: Instant, event: Event) {
        self.added += 1;
        self.events.insert((at, self.added), event);
    }

    /// Takes the next event.
    pub(crate) fn next(&mut self) -> Option<(Instant, Event)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
