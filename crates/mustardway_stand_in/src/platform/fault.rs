//! Faults that failure tests inject into the platform.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

/// Injected faults of the platform; the default injects none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the platform refuses connections.
    pub down: bool,
    /// Latest revision that is served; later ones are withheld.
    pub stale: Option<u64>,
    /// Whether the revision before the latest served one is served.
    pub back: bool,
    /// Delay before each answer, in milliseconds.
    pub slow_millis: u64,
    /// Malformed body in place of every answer.
    pub nonsense: Option<Malformed>,
    /// Whether readers keep seeing the instance list of the moment when this was set.
    pub list_lags: bool,
    /// Addresses of readers whose calls get no answer.
    pub cut: Vec<IpAddr>,
}

/// Malformed answer body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Malformed {
    /// Text that is no JSON.
    NoJson,
    /// JSON with fields of the wrong types.
    Shape,
    /// Truncated JSON.
    Half,
    /// Empty body.
    Empty,
}

impl Malformed {
    /// Returns the body.
    pub fn body(self) -> &'static str {
        match self {
            Malformed::NoJson => "\u{0}<html>no</html>",
            Malformed::Shape => r#"{"revision":"many","files":[1,2],"instances":{}}"#,
            Malformed::Half => r#"{"revision":7,"files":{"a.ini":"[dom"#,
            Malformed::Empty => "",
        }
    }
}
