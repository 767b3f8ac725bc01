//! Names of plain values in JSON, tables and metrics.

use serde::Serialize;

/// The name that a value without members has in JSON; empty for any other value.
pub fn of(value: impl Serialize) -> String {
    let json = serde_json::to_value(value).unwrap_or_default();
    json.as_str().unwrap_or_default().to_owned()
}
