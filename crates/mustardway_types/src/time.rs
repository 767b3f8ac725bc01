//! Points in time and lengths of time.
//!
//! The crates without I/O take every point in time as an argument and never read a
//! clock.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::parse;

/// A reading of an instance's monotonic clock, in microseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the time since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Instant) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Instant {
    type Output = Instant;

    fn add(self, span: Span) -> Instant {
        Instant(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Instant {
    type Output = Instant;

    fn sub(self, span: Span) -> Instant {
        Instant(self.0.saturating_sub(span.0))
    }
}

/// A length of time, in microseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Span(pub u64);

impl Span {
    /// The zero length.
    pub const ZERO: Span = Span(0);

    /// Creates a length from milliseconds, or the greatest one if it does not fit.
    pub const fn millis(millis: u64) -> Span {
        Span(millis.saturating_mul(1_000))
    }

    /// Creates a length from seconds, or the greatest one if it does not fit.
    pub const fn seconds(seconds: u64) -> Span {
        Span(seconds.saturating_mul(1_000_000))
    }

    /// Returns the length in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the length in seconds.
    pub fn as_seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns `self - other`, or zero if `other` is longer.
    pub const fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Duration {
        Duration::from_micros(span.0)
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Span {
        Span(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Units from long to short, each with its number of microseconds.
const UNITS: [(&str, u64); 5] =
    [("h", 3_600_000_000), ("min", 60_000_000), ("s", 1_000_000), ("ms", 1_000), ("us", 1)];

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (unit, micros) in UNITS {
            if self.0 == 0 || !self.0.is_multiple_of(micros) {
                continue;
            }
            return write!(f, "{}{unit}", self.0 / micros);
        }
        f.write_str("0ms")
    }
}

impl FromStr for Span {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const WANTED: &str = "length of time such as 250ms, 2s or 5min";
        let error = || parse::Error::value(text, WANTED);
        let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').ok_or_else(error)?;
        let (number, unit) = text.split_at(end);
        let (_, micros) = UNITS.into_iter().find(|(name, _)| *name == unit).ok_or_else(error)?;
        let (whole, fraction) = match number.split_once('.') {
            Some((whole, fraction)) => (whole, fraction_of(fraction, micros).ok_or_else(error)?),
            None => (number, 0),
        };
        let whole: u64 = whole.parse().map_err(|_| error())?;
        let span = whole.checked_mul(micros).and_then(|span| span.checked_add(fraction));
        span.map(Span).ok_or_else(error)
    }
}

/// Returns the part of `micros` that the digits after a decimal point state, rounded down.
fn fraction_of(digits: &str, micros: u64) -> Option<u64> {
    const DIGITS_MAX: usize = 9;
    if digits.len() > DIGITS_MAX {
        return None;
    }
    let number: u64 = digits.parse().ok()?;
    let parts = u128::from(number) * u128::from(micros);
    u64::try_from(parts / 10_u128.pow(digits.len() as u32)).ok()
}
