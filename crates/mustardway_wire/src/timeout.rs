//! Parsing of the `grpc-timeout` header, which holds one to eight digits and a unit.

use mustardway_types::time::Span;
use volo_grpc::metadata::MetadataMap;

/// Name of the metadata entry that holds the timeout.
const HEADER: &str = "grpc-timeout";
/// Maximum number of digits, as the gRPC protocol sets it.
const DIGITS_MAX: usize = 8;

/// Returns the timeout that `metadata` carries, or `None` if it is absent or malformed.
pub fn read(metadata: &MetadataMap) -> Option<Span> {
    parse(metadata.get(HEADER)?.to_str().ok()?)
}

/// Parses a timeout such as `250m` (250 milliseconds); nanoseconds are rounded down to microseconds.
pub fn parse(text: &str) -> Option<Span> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if digits.is_empty() || digits.len() > DIGITS_MAX {
        return None;
    }
    let number: u64 = digits.parse().ok()?;
    let micros = match unit {
        "H" => number * 3_600_000_000,
        "M" => number * 60_000_000,
        "S" => number * 1_000_000,
        "m" => number * 1_000,
        "u" => number,
        "n" => number / 1_000,
        _ => return None,
    };
    Some(Span(micros))
}
