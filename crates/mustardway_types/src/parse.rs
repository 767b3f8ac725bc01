//! The error of every text form in this crate.

use compact_str::CompactString;
use displaydoc::Display;

/// Why a text does not name a value.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// '{found}' is no name: allowed are 1 to 63 of a-z, 0-9, '-' and '.'
    Name {
        /// Text as given.
        found: CompactString,
    },
    /// '{found}' is no {wanted}
    Value {
        /// Text as given.
        found: CompactString,
        /// What is allowed, with an example.
        wanted: &'static str,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// An error for `found` where `wanted` is allowed.
    pub fn value(found: &str, wanted: &'static str) -> Self {
        Error::Value { found: found.into(), wanted }
    }
}
