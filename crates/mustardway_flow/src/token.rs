//! The name of a target inside packets.

use std::fmt;
use std::str::FromStr;

use mustardway_types::{hash, parse, target};
use serde::{Deserialize, Serialize};

/// Seed of the hash; all instances share it.
const SEED: u64 = 0x746f_6b65_6e00_0001;

/// The name of a target inside packets; 0 names none.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Token(pub u32);

impl Token {
    /// Names no target.
    pub const NONE: Token = Token(0);

    /// The token of a target, the same at every instance.
    pub fn of(id: &target::Id) -> Self {
        let hash = hash::seeded(SEED, id.as_str().as_bytes());
        let folded = (hash >> 32) as u32 ^ hash as u32;
        Token(folded.max(1))
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for Token {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const WANTED: &str = "token of up to 8 hexadecimal digits";
        u32::from_str_radix(text, 16).map(Token).map_err(|_| parse::Error::value(text, WANTED))
    }
}
