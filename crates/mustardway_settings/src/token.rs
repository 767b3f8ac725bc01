//! The secret token of the administration API. It is never written to logs or messages.

use std::fmt;
use std::hint;
use std::str::FromStr;

use compact_str::CompactString;
use displaydoc::Display;

/// Least length of a token, in bytes.
pub const BYTES_MIN: usize = 16;
/// Greatest length of a token, in bytes.
pub const BYTES_MAX: usize = 256;

/// Authentication scheme that precedes the token in the `Authorization` header.
const SCHEME: &str = "Bearer ";

/// The secret that clients of the administration API must send.
#[derive(Clone)]
pub struct Token(CompactString);

/// Why a text is not a valid token. The error contains no part of the text.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// a token of {found} bytes
    Length {
        /// Length of the text, in bytes.
        found: usize,
    },
    /// a token with blanks or characters beyond ASCII
    Characters,
}

impl std::error::Error for Error {}

impl Token {
    /// Returns whether `other` is this token. The comparison takes the same time wherever the two
    /// differ, so that timing reveals nothing about the token.
    pub fn matches(&self, other: &str) -> bool {
        let (own, other) = (self.0.as_bytes(), other.as_bytes());
        let mut difference = own.len() ^ other.len();
        for (index, byte) in own.iter().enumerate() {
            let other_byte = other.get(index).copied().unwrap_or_default();
            difference |= usize::from(hint::black_box(byte ^ other_byte));
        }
        hint::black_box(difference) == 0
    }
}

impl Token {
    /// Returns the value of the `Authorization` header.
    pub fn header(&self) -> String {
        format!("{SCHEME}{}", self.0)
    }

    /// Returns whether the `Authorization` header `header` contains this token.
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
