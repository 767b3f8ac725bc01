//! The platform's answers to reads.

use displaydoc::Display;
use mustardway_types::revision;

use crate::set::Files;

/// The platform's answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Number of the revision that the platform publishes.
    pub number: revision::Number,
    /// Files of the revision, if it is newer than the one that the read named.
    pub content: Content,
}

/// The files of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// All files of the revision.
    Whole(Files),
    /// The platform has no newer revision than the one that the read named.
    NotChanged,
}

/// Reason for which a read of the platform failed.
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
