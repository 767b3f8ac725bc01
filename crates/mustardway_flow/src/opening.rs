//! Opening packets that wait for the caller's next packet.
//!
//! A target answers an opening packet at once, and the caller then sends its next
//! packet. Where that does not come, the target was silent or has reset the flow,
//! which this instance cannot see. This answers the load of callers that try
//! again at a service some of whose targets have just ended.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use mustardway_types::time::{Instant, Span};
use rustc_hash::FxHashMap;

use crate::packet::Flow;

/// Time in which the caller's next packet comes: a round trip to the caller and
/// one to another region (46 ms), with a margin.
pub const FOLLOW_UP_TIMEOUT: Span = Span::millis(60);
/// Time after which the same caller's next opening packet counts as a repeat: a
/// round trip inside a region, with a margin.
const RETRY_AGE_MIN: Span = Span::millis(15);
/// Opening packets that are remembered, at most.
const QUEUE_MAX: usize = 4_096;

/// An opening packet that was sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opening {
    /// Its flow.
    pub flow: Flow,
    /// When it was placed.
    pub placed: Instant,
}

/// Opening packets that wait for the caller's next packet.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: VecDeque<Opening>,
    latest: FxHashMap<Ipv4Addr, Opening>,
}

impl Queue {
    /// Remembers an opening packet that was sent on.
    pub fn add(&mut self, opening: Opening) {
        if self.waiting.len() >= QUEUE_MAX {
            return;
        }
        self.waiting.push_back(opening);
        self.latest.insert(*opening.flow.caller.ip(), opening);
    }

    /// The next opening packet whose time is over.
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

    /// The opening packet that `caller` may be repeating by another one.
    pub fn retried_by(&self, caller: Ipv4Addr, now: Instant) -> Option<Opening> {
        let latest = self.latest.get(&caller)?;
        (now.since(latest.placed) >= RETRY_AGE_MIN).then_some(*latest)
    }
}
