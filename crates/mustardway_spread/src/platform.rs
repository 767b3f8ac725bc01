//! What the platform answers to a read.

use displaydoc::Display;
use mustardway_types::revision;

use crate::set::Files;

/// One answer of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Number of the revision that the platform publishes.
    pub number: revision::Number,
    /// Its files, where they were asked for and are newer.
    pub content: Content,
}

/// The files of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// All files of the revision.
    Whole(Files),
    /// Nothing newer than what was asked for.
    NotChanged,
}

/// Why the platform gave no answer.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Failure {
    /// the platform cannot be reached
    Unreachable,
    /// the platform did not answer in time
    Timeout,
    /// the platform refused the call
    Refused,
    /// the platform's answer makes no sense
    Nonsense,
}

impl std::error::Error for Failure {}
