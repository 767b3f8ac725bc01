//! SHA-256 digests of texts and records.

use std::fmt;
use std::str::FromStr;

use compact_str::{CompactString, ToCompactString};
use mustardway_types::parse;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length of a fingerprint in bytes.
const LENGTH_BYTES: usize = 32;

/// A SHA-256 digest, written as 64 hexadecimal digits.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Fingerprint([u8; LENGTH_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Fingerprint(Sha256::digest(bytes).into())
    }

    /// Returns whether both fingerprints are equal, in a time that does not depend on
    /// where they differ.
    pub fn constant_time_eq(&self, other: &Fingerprint) -> bool {
        let mut difference = 0;
        for (one, another) in self.0.iter().zip(other.0) {
            difference |= std::hint::black_box(one ^ another);
        }
        difference == 0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl FromStr for Fingerprint {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const EXPECTED: &str = "fingerprint of 64 hexadecimal digits";
        let error = || parse::Error::value(text, EXPECTED);
        if text.len() != 2 * LENGTH_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(error());
        }
        let mut bytes = [0; LENGTH_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        Ok(Fingerprint(bytes))
    }
}

impl TryFrom<CompactString> for Fingerprint {
    type Error = parse::Error;

    fn try_from(text: CompactString) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Fingerprint> for CompactString {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.to_compact_string()
    }
}
