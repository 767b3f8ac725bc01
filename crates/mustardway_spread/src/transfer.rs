//! A revision on its way from one peer, in parts.

use bytes::{Bytes, BytesMut};
use mustardway_types::instance;
use mustardway_types::revision;
use mustardway_types::time::Instant;

use crate::message::Part;

/// A revision on its way from one peer.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// The peer.
    pub(crate) from: instance::Id,
    /// When it was asked, or its latest part came.
    pub(crate) heard: Instant,
    /// The revision, once a part has come.
    pub(crate) label: Option<Label>,
    parts: Vec<Option<Bytes>>,
    missing: usize,
}

/// What a transfer claims to carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Label {
    /// Number of the revision.
    pub(crate) number: revision::Number,
    /// Digest of the revision.
    pub(crate) digest: revision::Digest,
}

impl Transfer {
    /// A transfer that `from` is asked for.
    pub(crate) fn new(from: instance::Id, now: Instant) -> Self {
        Transfer { from, heard: now, label: None, parts: Vec::new(), missing: 0 }
    }

    /// Adds a part whose bounds were checked; true where it was the last.
    pub(crate) fn add(&mut self, part: &Part, now: Instant) -> bool {
        let label =
            Label { number: revision::Number(part.number), digest: revision::Digest(part.digest) };
        let count = part.parts as usize;
        let fresh = self.label.is_none_or(|known| known.number < label.number);
        if fresh {
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
        self.heard = now;
        self.missing -= 1;
        self.missing == 0
    }

    /// All bytes, in order.
    pub(crate) fn join(self) -> Bytes {
        let mut joined = BytesMut::new();
        for part in self.parts.into_iter().flatten() {
            joined.extend_from_slice(&part);
        }
        joined.freeze()
    }
}
