//! Event rates.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::parse;

/// A number of events per second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PerSecond(pub u64);

impl fmt::Display for PerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for PerSecond {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || parse::Error::value(text, "rate such as 200/s");
        let number = text.strip_suffix("/s").ok_or_else(error)?;
        number.parse().map(PerSecond).map_err(|_| error())
    }
}
