//! The names of enum values in JSON, tables and metrics.

use serde::Serialize;

/// Returns the text of a value that serialises as a JSON string, such as a unit variant;
/// empty for any other value.
pub fn of(value: impl Serialize) -> String {
    let json = serde_json::to_value(value).unwrap_or_default();
    json.as_str().unwrap_or_default().to_owned()
}
