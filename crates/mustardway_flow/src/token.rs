//! The identifier of a target inside packets.
//!
//! The lowest bit of a token is flipped in the packets of a flow whose opening packet
//! may have been sent to more than one target. Several targets may have answered such
//! a packet, and the caller sends the token that it received last, so the token does
//! not prove which of them holds the flow.
//!
//! A target has several candidates for its token. It uses the first one that no target
//! of greater age uses, so that targets with equal candidates are told apart.

use std::fmt;
use std::str::FromStr;

use mustardway_types::{hash, parse, target};
use serde::{Deserialize, Serialize};

/// Seed of the token hash. It must be the same at all instances. The other candidates
/// for the token of a target have the seeds that follow.
const SEED: u64 = 0x746f_6b65_6e00_0001;
/// Bit that is flipped if several targets may have answered the opening packet.
const AMBIGUOUS_BIT: u32 = 1;
/// Least token of a target, so that a flipped bit does not result in
/// [`Token::NONE`].
const TOKEN_MIN: u32 = 2;

/// The identifier of a target inside packets. The value 0 names no target.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Token(pub u32);

impl Token {
    /// The token that names no target.
    pub const NONE: Token = Token(0);

    /// Returns the token that a target has unless another one has the same, which is the
    /// same at every instance.
    pub fn of(id: &target::Id) -> Self {
        Token::candidate(id, 0)
    }

    /// Returns a candidate for the token of a target, which is the same at every
    /// instance.
    pub fn candidate(id: &target::Id, number: u64) -> Self {
        let hash = hash::seeded(SEED + number, id.as_str().as_bytes());
        let folded = (hash >> 32) as u32 ^ hash as u32;
        Token(folded.max(TOKEN_MIN))
    }

    /// Returns the token that names the same target but may not name the flow's own.
    #[must_use]
    pub fn ambiguous(self) -> Self {
        Token(self.0 ^ AMBIGUOUS_BIT)
    }

    /// Returns the part of the token that names the target.
    #[must_use]
    pub(crate) fn without_mark(self) -> Self {
        Token(self.0 & !AMBIGUOUS_BIT)
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
