//! Ways for the platform to fail.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

/// How the platform fails; the default does not.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses connections.
    pub down: bool,
    /// Serves nothing later than this revision.
    pub stale: Option<u64>,
    /// Goes back by one revision.
    pub back: bool,
    /// Waits so long before each answer, in milliseconds.
    pub slow_millis: u64,
    /// Answers without sense.
    pub nonsense: Option<Malformed>,
    /// Keeps the instance list as it is now.
    pub list_lags: bool,
    /// Readers whose calls get no answer.
    pub cut: Vec<IpAddr>,
}

/// An answer without sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Malformed {
    /// No JSON.
    NoJson,
    /// JSON of another shape.
    Shape,
    /// JSON that ends half-way.
    Half,
    /// An empty answer.
    Empty,
}

impl Malformed {
    /// The answer.
    pub fn body(self) -> &'static str {
        match self {
            Malformed::NoJson => "\u{0}<html>no</html>",
            Malformed::Shape => r#"{"revision":"many","files":[1,2],"instances":{}}"#,
            Malformed::Half => r#"{"revision":7,"files":{"a.ini":"[dom"#,
            Malformed::Empty => "",
        }
    }
}
