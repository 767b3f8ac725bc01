//! Why a call to the platform failed.

use displaydoc::Display;

/// Why a call to the platform failed.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// no platform address can be reached
    Unreachable,
    /// the platform did not answer in time
    Timeout,
    /// the platform sent an answer that cannot be parsed
    Malformed,
    /// the platform sent an answer larger than allowed
    TooLarge,
    /// the platform answered with HTTP status {0}
    Status(u16),
}

impl std::error::Error for Failure {}
