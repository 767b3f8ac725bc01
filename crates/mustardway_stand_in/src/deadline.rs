//! The `grpc-timeout` of a call.

use std::time::Duration;

use mustardway_wire::timeout;
use volo_grpc::metadata::{MetadataMap, MetadataValue};

/// Key of the metadata.
const KEY: &str = "grpc-timeout";

/// Longest time that the protocol can say in milliseconds.
const MILLIS_MAX: u128 = 99_999_999;

/// Longest time that a call may take which brings no deadline.
const DEADLINE_MAX: Duration = Duration::from_secs(60);

/// Time that a call has left.
pub fn read(metadata: &MetadataMap) -> Duration {
    timeout::read(metadata).map_or(DEADLINE_MAX, Duration::from)
}

/// Gives a call so much time.
pub fn write(metadata: &mut MetadataMap, left: Duration) {
    let text = format!("{}m", left.as_millis().clamp(1, MILLIS_MAX));
    if let Ok(value) = text.parse::<MetadataValue<_>>() {
        metadata.insert(KEY, value);
    }
}
