//! Wall-clock timestamps, comparable between the processes of one machine.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since the Unix epoch.
pub fn now_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
