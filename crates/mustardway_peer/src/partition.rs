//! A simulated network partition for failure tests.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};

use mustardway_types::instance;
use parking_lot::Mutex;

/// The set of peers that are partitioned from this instance.
#[derive(Debug, Default)]
pub(crate) struct Partition {
    any: AtomicBool,
    peers: Mutex<BTreeSet<instance::Id>>,
}

impl Partition {
    /// Replaces the set of partitioned peers.
    pub(crate) fn set(&self, peers: BTreeSet<instance::Id>) {
        let mut current = self.peers.lock();
        self.any.store(!peers.is_empty(), Relaxed);
        *current = peers;
    }

    /// Returns whether `peer` is partitioned.
    pub(crate) fn contains(&self, peer: &instance::Id) -> bool {
        self.any.load(Relaxed) && self.peers.lock().contains(peer)
    }
}
