//! Send priorities, and the errors when a frame cannot be queued.

use displaydoc::Display;
use mustardway_types::size;

use crate::frame;

/// The priority of a frame, which selects its queue in a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// Sent first: heartbeats and other frames that must not be delayed.
    Control,
    /// Sent only while no control frame is queued.
    Bulk,
}

/// The reason why a frame was not queued; no byte of it is sent.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// the send queue of this peer is full
    Full,
    /// the peer is unreachable; connecting is retried later
    Unreachable,
    /// the frame has {size} with its envelope, the maximum is {max}
    TooLarge {
        /// Size of the frame with its envelope.
        size: size::Bytes,
        /// Maximum size of a frame.
        max: size::Bytes,
    },
    /// this instance is shutting down its links
    Closing,
}

impl Error {
    /// Returns the error for a frame of `size` bytes.
    pub(crate) fn too_large(size: usize) -> Self {
        Error::TooLarge { size: size::Bytes(size as u64), max: frame::SIZE_MAX }
    }
}

impl std::error::Error for Error {}
