//! Who may ask.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use mustardway_telemetry::fingerprint::Fingerprint;
use mustardway_types::parse;

/// Shortest token, in bytes.
const LENGTH_MIN: usize = 16;
/// Longest token, in bytes.
const LENGTH_MAX: usize = 256;
/// What stands before the token in the header.
const SCHEME: &str = "Bearer ";

/// A secret that lets its bearer ask. Its text shows in no log.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(CompactString);

impl Token {
    /// The value of the `Authorization` header.
    pub fn header(&self) -> String {
        format!("{SCHEME}{}", self.0)
    }

    /// Whether `header` bears this token. The time it takes does not depend on where
    /// the two differ.
    pub fn admits(&self, header: &[u8]) -> bool {
        let wanted = Fingerprint::of(self.header().as_bytes());
        wanted.same(&Fingerprint::of(header))
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

impl FromStr for Token {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const WANTED: &str = "token: 16 to 256 visible ASCII characters";
        let fits = (LENGTH_MIN..=LENGTH_MAX).contains(&text.len());
        if !fits || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(parse::Error::value("the text given", WANTED));
        }
        Ok(Token(text.into()))
    }
}
