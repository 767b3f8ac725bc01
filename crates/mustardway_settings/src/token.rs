//! The secret of the administration API. It is never shown.

use std::fmt;
use std::hint;
use std::str::FromStr;

use compact_str::CompactString;
use displaydoc::Display;

/// Least length of a token, in bytes.
pub const BYTES_MIN: usize = 16;
/// Greatest length of a token, in bytes.
pub const BYTES_MAX: usize = 256;

/// What stands before the token in the `Authorization` header.
const SCHEME: &str = "Bearer ";

/// A secret that callers of the administration API show.
#[derive(Clone)]
pub struct Token(CompactString);

/// Why a text is no token; says nothing of the text.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// a token of {found} bytes
    Length {
        /// Number of bytes.
        found: usize,
    },
    /// a token with blanks or characters beyond ASCII
    Characters,
}

impl std::error::Error for Error {}

impl Token {
    /// Whether `other` is this token. The time does not depend on where they differ.
    pub fn matches(&self, other: &str) -> bool {
        let (own, other) = (self.0.as_bytes(), other.as_bytes());
        let mut difference = own.len() ^ other.len();
        for (index, byte) in own.iter().enumerate() {
            let against = other.get(index).copied().unwrap_or_default();
            difference |= usize::from(hint::black_box(byte ^ against));
        }
        hint::black_box(difference) == 0
    }
}

impl Token {
    /// The value of the `Authorization` header.
    pub fn header(&self) -> String {
        format!("{SCHEME}{}", self.0)
    }

    /// Whether the `Authorization` header `header` bears this token.
    pub fn admits(&self, header: &[u8]) -> bool {
        let text = str::from_utf8(header).unwrap_or_default();
        text.strip_prefix(SCHEME).is_some_and(|token| self.matches(token))
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

impl FromStr for Token {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if !(BYTES_MIN..=BYTES_MAX).contains(&text.len()) {
            return Err(Error::Length { found: text.len() });
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(Error::Characters);
        }
        Ok(Token(text.into()))
    }
}
