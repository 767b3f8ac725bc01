//! The clock of one instance.

use crate::time::{Instant, Span};

/// Where the clock stands at the start, so that ages before it have a place.
const START: Span = Span::seconds(24 * 3_600);

/// Monotonic time since the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: std::time::Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Clock { start: std::time::Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Instant {
        Instant::default() + START + Span::from(self.start.elapsed())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
