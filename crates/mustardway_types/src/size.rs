//! Sizes in bytes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::parse;

/// A number of bytes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Bytes(pub u64);

/// Units from large to small, each with its number of bytes.
const UNITS: [(&str, u64); 4] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (unit, bytes) in UNITS {
            if self.0 == 0 || !self.0.is_multiple_of(bytes) {
                continue;
            }
            return write!(f, "{}{unit}", self.0 / bytes);
        }
        f.write_str("0B")
    }
}

impl FromStr for Bytes {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || parse::Error::value(text, "size such as 512B, 64KiB or 1MiB");
        let digits = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(error)?;
        let number: u64 = text[..digits].parse().map_err(|_| error())?;
        for (unit, bytes) in UNITS {
            if text[digits..] != *unit {
                continue;
            }
            return number.checked_mul(bytes).map(Bytes).ok_or_else(error);
        }
        Err(error())
    }
}
