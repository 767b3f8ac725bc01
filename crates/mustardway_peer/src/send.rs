//! Priorities, and why a frame is not taken for sending.

use displaydoc::Display;
use mustardway_types::size;

use crate::frame;

/// Which queue of a link a frame waits in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// Goes first: heartbeats and what else must not wait.
    Control,
    /// Goes when no control frame waits.
    Bulk,
}

/// Why a frame is not taken for sending: no byte of it leaves.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// too much waits to be sent to this peer
    Full,
    /// the peer cannot be reached; it is tried again later
    Unreachable,
    /// the frame has {size} with its envelope, allowed are {max}
    TooLarge {
        /// Size with its envelope.
        size: size::Bytes,
        /// Greatest size.
        max: size::Bytes,
    },
    /// this instance is closing its links
    Closing,
}

impl Error {
    /// The error for a frame of `size` bytes.
    pub(crate) fn too_large(size: usize) -> Self {
        Error::TooLarge { size: size::Bytes(size as u64), max: frame::SIZE_MAX }
    }
}

impl std::error::Error for Error {}
