//! Why a call gave nothing.

use displaydoc::Display;

/// Why a call gave nothing: the closed list.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// no platform address can be reached
    Unreachable,
    /// the platform did not answer in time
    Timeout,
    /// the platform answered what cannot be read
    Malformed,
    /// the platform answered more than allowed
    TooLarge,
    /// the platform answered with HTTP status {0}
    Status(u16),
}

impl std::error::Error for Failure {}
