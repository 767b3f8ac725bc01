//! The rate limit of log lines, for code on the path of every packet.

use std::collections::HashMap;

use mustardway_types::{rate, time};
use parking_lot::Mutex;

/// Length of the window over which lines are counted.
const WINDOW: time::Span = time::Span::seconds(1);

/// The line counts of one key in its current window.
#[derive(Debug)]
struct Window {
    start: time::Instant,
    admitted: u64,
    suppressed: u64,
}

/// Limits the log lines per second of each key.
#[derive(Debug)]
pub struct Limiter {
    lines: rate::PerSecond,
    windows: Mutex<HashMap<&'static str, Window>>,
}

impl Limiter {
    /// Creates a limiter that admits `lines` of each key.
    pub fn new(lines: rate::PerSecond) -> Self {
        Limiter { lines, windows: Mutex::default() }
    }

    /// Checks whether a line of `key` may be written at `now`. Returns the number of
    /// lines suppressed since the last admitted one, or none if the line is suppressed.
    pub fn admit(&self, key: &'static str, now: time::Instant) -> Option<u64> {
        let mut windows = self.windows.lock();
        let window =
            windows.entry(key).or_insert(Window { start: now, admitted: 0, suppressed: 0 });
        if now.since(window.start) >= WINDOW {
            window.start = now;
            window.admitted = 0;
        }
        if window.admitted >= self.lines.0 {
            window.suppressed += 1;
            return None;
        }
        window.admitted += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
