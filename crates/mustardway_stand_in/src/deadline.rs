//! Reads and writes the `grpc-timeout` metadata of a call.

use std::time::Duration;

use mustardway_wire::timeout;
use volo_grpc::metadata::{MetadataMap, MetadataValue};

/// Metadata key of the timeout.
const TIMEOUT_KEY: &str = "grpc-timeout";

/// Longest timeout in milliseconds: gRPC allows at most eight digits.
const TIMEOUT_MILLIS_MAX: u128 = 99_999_999;

/// Time limit of a call that carries no timeout.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Returns the time that a call has left.
pub fn read(metadata: &MetadataMap) -> Duration {
    timeout::read(metadata).map_or(DEFAULT_DEADLINE, Duration::from)
}

/// Sets the timeout of a call to `left`.
pub fn write(metadata: &mut MetadataMap, left: Duration) {
    let text = format!("{}m", left.as_millis().clamp(1, TIMEOUT_MILLIS_MAX));
    if let Ok(value) = text.parse::<MetadataValue<_>>() {
        metadata.insert(TIMEOUT_KEY, value);
    }
}
