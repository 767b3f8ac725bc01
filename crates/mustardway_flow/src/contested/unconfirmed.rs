//! Flows whose packets wait until it is agreed which target holds them.
//!
//! Any peer may get the next packet of a contested flow. The first packet, which opens the
//! flow at its holder, therefore waits until all peers in the failure domain know the
//! holder. Packets also wait while peers may still tell the holder of their flow.

use std::collections::BTreeSet;

use mustardway_types::instance;
use mustardway_types::time::{Instant, Span};
use rustc_hash::FxHashMap;

use crate::packet::Flow;

/// Longest time for which packets of a flow wait. Callers retransmit after 200 ms.
const WAIT_MAX: Span = Span::millis(150);
/// Time after which the end of a wait is forgotten, so that the flow may wait again.
const RETENTION: Span = Span::seconds(2);

/// The wait of one flow.
#[derive(Debug)]
struct Wait {
    deadline: Instant,
    /// Number of the announcement of the holder, and the peers that have not confirmed it.
    announcement: Option<(u64, BTreeSet<instance::Id>)>,
    /// Whether the end of the wait was noticed.
    has_ended: bool,
}

impl Wait {
    fn is_over(&self, now: Instant) -> bool {
        now >= self.deadline || self.announcement.as_ref().is_some_and(|(_, it)| it.is_empty())
    }
}

/// The flows whose packets wait, or have waited lately.
#[derive(Debug, Default)]
pub(super) struct Unconfirmed {
    waits: FxHashMap<Flow, Wait>,
    last_number: u64,
}

impl Unconfirmed {
    /// Lets the packets of a flow wait from now on, unless they have waited lately.
    pub(super) fn add(&mut self, flow: Flow, now: Instant) {
        let deadline = now + WAIT_MAX;
        let wait = Wait { deadline, announcement: None, has_ended: false };
        self.waits.entry(flow).or_insert(wait);
    }

    /// Lets the packets of a flow wait again, since its holder has become known now.
    pub(super) fn restart(&mut self, flow: Flow, now: Instant) {
        self.waits.remove(&flow);
        self.add(flow, now);
    }

    /// Returns whether packets of a flow have to wait.
    pub(super) fn contains(&self, flow: &Flow, now: Instant) -> bool {
        self.waits.get(flow).is_some_and(|wait| !wait.is_over(now))
    }

    /// Returns whether the packets of a flow have waited lately, and do not any more.
    pub(super) fn has_ended(&self, flow: &Flow, now: Instant) -> bool {
        self.waits.get(flow).is_some_and(|wait| wait.is_over(now))
    }

    /// Ends the wait of a flow whose holder a peer has told.
    pub(super) fn remove(&mut self, flow: &Flow, now: Instant) {
        if let Some(wait) = self.waits.get_mut(flow) {
            wait.deadline = wait.deadline.min(now);
        }
    }

    /// Records that the holders of `flows` are announced to `peers`, and returns the number
    /// of the announcement.
    pub(super) fn announce(&mut self, flows: &[Flow], peers: &[instance::Id]) -> u64 {
        self.last_number += 1;
        for flow in flows {
            let Some(wait) = self.waits.get_mut(flow) else { continue };
            wait.announcement = Some((self.last_number, peers.iter().cloned().collect()));
        }
        self.last_number
    }

    /// Records that a peer has confirmed an announcement.
    pub(super) fn confirm(&mut self, from: &instance::Id, number: u64) {
        for wait in self.waits.values_mut() {
            let announcement = wait.announcement.as_mut();
            if let Some((_, peers)) = announcement.filter(|(announced, _)| *announced == number) {
                peers.remove(from);
            }
        }
    }

    /// Waits only for peers that are live.
    pub(super) fn retain_peers(&mut self, live: &[instance::Id]) {
        for wait in self.waits.values_mut() {
            let Some((_, peers)) = &mut wait.announcement else { continue };
            peers.retain(|peer| live.contains(peer));
        }
    }

    /// Returns whether a wait has ended since the last call.
    pub(super) fn take_ended(&mut self, now: Instant) -> bool {
        let mut has_ended = false;
        for wait in self.waits.values_mut() {
            if !wait.has_ended && wait.is_over(now) {
                wait.has_ended = true;
                has_ended = true;
            }
        }
        self.waits.retain(|_, wait| now < wait.deadline + RETENTION);
        has_ended
    }
}
