//! The `grpc-timeout` of a call.

use std::time::Duration;

use volo_grpc::metadata::{MetadataMap, MetadataValue};

/// Key of the metadata.
const KEY: &str = "grpc-timeout";

/// Most digits that the protocol allows.
const DIGITS_MAX: usize = 8;

/// Time that a call has left, where it says so.
pub fn read(metadata: &MetadataMap) -> Option<Duration> {
    let text = metadata.get(KEY)?.to_str().ok()?;
    let split = text.len().checked_sub(1)?;
    let (digits, unit) = (text.get(..split)?, text.get(split..)?);
    if digits.is_empty() || digits.len() > DIGITS_MAX {
        return None;
    }
    let number: u64 = digits.parse().ok()?;
    match unit {
        "H" => Some(Duration::from_secs(number * 3600)),
        "M" => Some(Duration::from_secs(number * 60)),
        "S" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_millis(number)),
        "u" => Some(Duration::from_micros(number)),
        "n" => Some(Duration::from_nanos(number)),
        _ => None,
    }
}

/// Gives a call so much time.
pub fn write(metadata: &mut MetadataMap, left: Duration) {
    let text = format!("{}m", left.as_millis().clamp(1, 99_999_999));
    if let Ok(value) = text.parse::<MetadataValue<_>>() {
        metadata.insert(KEY, value);
    }
}
