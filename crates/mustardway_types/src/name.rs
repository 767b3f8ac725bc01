//! The macro that defines names: lower-case text of bounded length.

use crate::parse;

/// Maximum length of a name in bytes.
const LENGTH_MAX: usize = 63;

/// Checks that `text` is a valid name.
///
/// # Errors
/// [`parse::Error::Name`] if the length or a character of `text` is not allowed.
pub(crate) fn validate(text: &str) -> Result<(), parse::Error> {
    let is_length_valid = !text.is_empty() && text.len() <= LENGTH_MAX;
    let is_allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.');
    if !is_length_valid || !text.bytes().all(is_allowed) {
        return Err(parse::Error::Name { found: text.chars().take(LENGTH_MAX).collect() });
    }
    Ok(())
}

/// Defines a name type that wraps a `CompactString`.
macro_rules! define {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "compact_str::CompactString", into = "compact_str::CompactString")]
        pub struct $name(compact_str::CompactString);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::parse::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::name::validate(text)?;
                Ok($name(text.into()))
            }
        }

        impl TryFrom<compact_str::CompactString> for $name {
            type Error = $crate::parse::Error;

            fn try_from(text: compact_str::CompactString) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for compact_str::CompactString {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

pub(crate) use define;
