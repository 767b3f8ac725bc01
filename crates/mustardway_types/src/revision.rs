//! Numbers and digests of published configurations.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::parse;

/// Revision number of a published configuration. A later revision has a greater
/// number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Number(pub u64);

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Number {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse().map_err(|_| parse::Error::value(text, "revision number"))?;
        Ok(Number(number))
    }
}

/// Digest of the files of a configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Digest {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = u64::from_str_radix(text, 16)
            .map_err(|_| parse::Error::value(text, "digest of up to 16 hexadecimal digits"))?;
        Ok(Digest(number))
    }
}
