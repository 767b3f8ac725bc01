//! The monotonic clock of an instance.

use crate::time::{Instant, Span};

/// Reading of the clock at its creation. It leaves room for points in time before
/// the creation, which are computed from ages.
const START_OFFSET: Span = Span::seconds(24 * 3_600);

/// A monotonic clock that starts with the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: std::time::Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Clock { start: std::time::Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        Instant::default() + START_OFFSET + Span::from(self.start.elapsed())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
