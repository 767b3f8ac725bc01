//! The `grpc-timeout` of a call.

use std::time::Duration;

use mustardway_wire::timeout;
use volo_grpc::metadata::{MetadataMap, MetadataValue};

/// Key of the metadata.
const TIMEOUT_KEY: &str = "grpc-timeout";

/// Longest time that the protocol can say in milliseconds.
const TIMEOUT_MILLIS_MAX: u128 = 99_999_999;

/// Longest time that a call may take which brings no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Time that a call has left.
pub fn read(metadata: &MetadataMap) -> Duration {
    timeout::read(metadata).map_or(DEFAULT_DEADLINE, Duration::from)
}

/// Gives a call so much time.
pub fn write(metadata: &mut MetadataMap, left: Duration) {
    let text = format!("{}m", left.as_millis().clamp(1, TIMEOUT_MILLIS_MAX));
    if let Ok(value) = text.parse::<MetadataValue<_>>() {
        metadata.insert(TIMEOUT_KEY, value);
    }
}
