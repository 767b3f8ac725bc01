//! Opening packets that wait for the caller's next packet.
//!
//! A target answers an opening packet at once, and the caller then sends its next
//! packet. If that packet does not arrive, the target was silent or has reset the
//! flow, neither of which this instance can see. This guards against the load of
//! callers that retry at a service some of whose targets have just ended.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use mustardway_types::time::{Instant, Span};
use rustc_hash::FxHashMap;

use crate::packet::Flow;

/// Time within which the caller's next packet arrives: a round trip to the caller and
/// one to another region (46 ms), plus a margin.
pub const FOLLOW_UP_TIMEOUT: Span = Span::millis(60);
/// Time after which the next opening packet of the same caller counts as a retry: a
/// round trip inside a region, plus a margin.
const RETRY_AGE_MIN: Span = Span::millis(15);
/// Maximum number of opening packets that are kept.
const QUEUE_MAX: usize = 4_096;

/// An opening packet that was forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opening {
    /// Flow that the packet opens.
    pub flow: Flow,
    /// Time at which the flow was placed.
    pub placed: Instant,
}

/// Opening packets that wait for the caller's next packet, oldest first.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: VecDeque<Opening>,
    latest: FxHashMap<Ipv4Addr, Opening>,
}

impl Queue {
    /// Adds an opening packet that was forwarded, unless the queue is full.
    pub fn add(&mut self, opening: Opening) {
        if self.waiting.len() >= QUEUE_MAX {
            return;
        }
        self.waiting.push_back(opening);
        self.latest.insert(*opening.flow.caller.ip(), opening);
    }

    /// Removes and returns the oldest opening packet if its time is over.
    pub fn expire(&mut self, now: Instant) -> Option<Opening> {
        let first = *self.waiting.front()?;
        if now.since(first.placed) < FOLLOW_UP_TIMEOUT {
            return None;
        }
        self.waiting.pop_front();
        let caller = first.flow.caller.ip();
        if self.latest.get(caller) == Some(&first) {
            self.latest.remove(caller);
        }
        Some(first)
    }

    /// Returns the latest opening packet of `caller`, if one that arrives now may be
    /// a retry of it.
    pub fn retried_by(&self, caller: Ipv4Addr, now: Instant) -> Option<Opening> {
        let latest = self.latest.get(&caller)?;
        (now.since(latest.placed) >= RETRY_AGE_MIN).then_some(*latest)
    }
}
