//! Numbers, eras and digests of what the platform publishes.

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

/// Count of the times that the platform was restored from a copy. Numbers of one era
/// say nothing about those of another.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Era {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse().map_err(|_| parse::Error::value(text, "era number"))?;
        Ok(Era(number))
    }
}

/// Version of the published state: a number within an era, ordered by the era first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub struct Version {
    /// Era that the number belongs to.
    pub era: Era,
    /// Number of the latest change.
    pub number: Number,
}

impl Version {
    /// Returns whether no published state is known yet.
    pub fn is_empty(self) -> bool {
        self.number.0 == 0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}

impl FromStr for Version {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const WANTED: &str = "version such as 0/412";
        let (era, number) =
            text.split_once('/').ok_or_else(|| parse::Error::value(text, WANTED))?;
        Ok(Version { era: era.parse()?, number: number.parse()? })
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
