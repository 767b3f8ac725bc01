//! The links by peer address, and the addresses in connect backoff.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mustardway_types::time;

use crate::link::{Direction, Link, Peer};

/// Number of kept backoffs from which expired ones are removed before each insert.
const BACKOFF_CLEANUP_THRESHOLD: usize = 4_096;

/// Backoff state of an address that could not be reached.
#[derive(Debug)]
struct Backoff {
    /// Time until which no connection is attempted.
    until: time::Instant,
    /// Backoff after the last failure, without jitter.
    wait: time::Span,
}

/// The links and backoffs by peer address.
#[derive(Debug, Default)]
pub(crate) struct Table {
    links: HashMap<SocketAddr, Arc<Link>>,
    backoffs: HashMap<SocketAddr, Backoff>,
    pub(crate) closing: bool,
}

impl Table {
    /// Returns the link to `peer`. Closes and removes a link to another instance at the
    /// same address.
    pub(crate) fn get(&mut self, peer: &Peer) -> Option<Arc<Link>> {
        let link = self.links.get(&peer.address)?;
        if link.peer.id == peer.id {
            return Some(Arc::clone(link));
        }
        let other = self.links.remove(&peer.address)?;
        other.queue.close_and_discard();
        None
    }

    /// Returns whether `address` is in backoff at `now`.
    pub(crate) fn in_backoff(&self, address: SocketAddr, now: time::Instant) -> bool {
        self.backoffs.get(&address).is_some_and(|backoff| now < backoff.until)
    }

    /// Adds an outbound link.
    pub(crate) fn insert(&mut self, link: &Arc<Link>) {
        self.links.insert(link.peer.address, Arc::clone(link));
    }

    /// Adds an inbound link, unless an outbound link to the peer is connected. Frames
    /// queued in a replaced link are still sent over that link.
    pub(crate) fn insert_inbound(&mut self, link: &Arc<Link>) {
        self.backoffs.remove(&link.peer.address);
        let current = self.get(&link.peer);
        if current
            .is_some_and(|current| current.direction == Direction::Outbound && current.is_open())
        {
            return;
        }
        self.insert(link);
    }

    /// Removes `link` if it is the current link of its address.
    pub(crate) fn remove(&mut self, link: &Link) {
        let address = link.peer.address;
        if self.links.get(&address).is_some_and(|current| current.number == link.number) {
            self.links.remove(&address);
        }
    }

    /// Clears the backoff of an address after a successful connect.
    pub(crate) fn clear_backoff(&mut self, address: SocketAddr) {
        self.backoffs.remove(&address);
    }

    /// Doubles the backoff of an address within `bounds` after a failed connect;
    /// `jitter` is from 0 to 1.
    pub(crate) fn extend_backoff(
        &mut self,
        address: SocketAddr,
        now: time::Instant,
        bounds: (time::Span, time::Span),
        jitter: f64,
    ) {
        let (min, max) = bounds;
        if self.backoffs.len() >= BACKOFF_CLEANUP_THRESHOLD {
            self.backoffs.retain(|_, backoff| now < backoff.until);
        }
        let last = self.backoffs.get(&address).map_or(time::Span::ZERO, |backoff| backoff.wait);
        let wait = time::Span((last.0 * 2).clamp(min.0, max.0));
        let jittered = time::Span((wait.0 as f64 * (0.5 + jitter / 2.0)) as u64);
        self.backoffs.insert(address, Backoff { until: now + jittered, wait });
    }
}
