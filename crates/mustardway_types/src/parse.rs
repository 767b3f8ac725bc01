//! The parse error of all text forms in this crate.

use compact_str::CompactString;
use displaydoc::Display;

/// Reason why a text cannot be parsed.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// '{found}' is no name: allowed are 1 to 63 of a-z, 0-9, '-' and '.'
    Name {
        /// The text that was given.
        found: CompactString,
    },
    /// '{found}' is no {wanted}
    Value {
        /// The text that was given.
        found: CompactString,
        /// Expected form of the text, with an example.
        wanted: &'static str,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// Creates an error for `found` where `wanted` is expected.
    pub fn value(found: &str, wanted: &'static str) -> Self {
        Error::Value { found: found.into(), wanted }
    }
}
