//! Flows: what stays together on one target.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::parse;

/// Id of a flow, chosen at random by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Id {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = u64::from_str_radix(text, 16)
            .map_err(|_| parse::Error::value(text, "id of up to 16 hexadecimal digits"))?;
        Ok(Id(number))
    }
}
