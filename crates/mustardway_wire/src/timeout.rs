//! The `grpc-timeout` header: digits, at most eight, and a unit.

use mustardway_types::time::Span;
use volo_grpc::metadata::MetadataMap;

/// Name of the header.
const HEADER: &str = "grpc-timeout";
/// Greatest number of digits.
const DIGITS_MAX: usize = 8;

/// The timeout that `metadata` carries; none where it is absent or malformed.
pub fn read(metadata: &MetadataMap) -> Option<Span> {
    parse(metadata.get(HEADER)?.to_str().ok()?)
}

/// Reads the text form of a timeout.
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
