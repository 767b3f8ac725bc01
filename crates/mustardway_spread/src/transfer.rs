//! Assembly of a revision that a peer sends in parts.

use bytes::{Bytes, BytesMut};
use mustardway_types::instance;
use mustardway_types::revision;
use mustardway_types::time::Instant;

use crate::message::Part;

/// A transfer of a revision from one peer.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// The sending peer.
    pub(crate) from: instance::Id,
    /// Time of the request, or of the latest new part.
    pub(crate) last_progress: Instant,
    /// The revision that is transferred; `None` before the first part.
    pub(crate) label: Option<Label>,
    parts: Vec<Option<Bytes>>,
    missing: usize,
}

/// Number and digest that the sender gives for a transferred revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Label {
    /// Number of the revision.
    pub(crate) number: revision::Number,
    /// Digest of the revision.
    pub(crate) digest: revision::Digest,
}

impl Transfer {
    /// Creates a transfer that is requested from `from`.
    pub(crate) fn new(from: instance::Id, now: Instant) -> Self {
        Transfer { from, last_progress: now, label: None, parts: Vec::new(), missing: 0 }
    }

    /// Adds a part whose bounds were checked, and returns true if all parts are
    /// there. A part of a newer revision restarts the transfer.
    pub(crate) fn add_part(&mut self, part: &Part, now: Instant) -> bool {
        let label =
            Label { number: revision::Number(part.number), digest: revision::Digest(part.digest) };
        let count = part.parts as usize;
        let newer = self.label.is_none_or(|known| known.number < label.number);
        if newer {
            self.label = Some(label);
            self.parts = vec![None; count];
            self.missing = count;
        }
        if self.label != Some(label) || self.parts.len() != count {
            return false;
        }
        let Some(slot) = self.parts.get_mut(part.index as usize) else { return false };
        if slot.is_some() {
            return false;
        }
        *slot = Some(part.bytes.clone());
        self.last_progress = now;
        self.missing -= 1;
        self.missing == 0
    }

    /// Returns the bytes of all parts, in order.
    pub(crate) fn join(self) -> Bytes {
        let mut joined = BytesMut::new();
        for part in self.parts.into_iter().flatten() {
            joined.extend_from_slice(&part);
        }
        joined.freeze()
    }
}
