//! A bound on log lines, for places that every packet passes.

use std::collections::HashMap;

use mustardway_types::{rate, time};
use parking_lot::Mutex;

/// Length of the window in which lines are counted.
const WINDOW: time::Span = time::Span::seconds(1);

/// Lines of one key in the window that runs.
#[derive(Debug)]
struct Window {
    start: time::Instant,
    admitted: u64,
    suppressed: u64,
}

/// Admits so many lines a second of each key.
#[derive(Debug)]
pub struct Limiter {
    lines: rate::PerSecond,
    windows: Mutex<HashMap<&'static str, Window>>,
}

impl Limiter {
    /// Admits `lines` of each key.
    pub fn new(lines: rate::PerSecond) -> Self {
        Limiter { lines, windows: Mutex::default() }
    }

    /// Whether a line of `key` may be written at `now`; if so, how many were
    /// suppressed since the last one.
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
