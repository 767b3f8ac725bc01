//! Contested flows: flows whose opening packet was sent to several targets.
//!
//! Each of these targets may answer. The caller acknowledges the first answer, which
//! opens the flow, but it sends the token of the answer that it received last, which may
//! come seconds later. An instance that did not see the flow open would follow that token
//! to a target that does not hold the flow and resets it. The instance that saw it open
//! therefore tells its peers which target is the holder, and one that has just started
//! asks them.

pub mod message;

use std::collections::VecDeque;

use mustardway_types::instance;
use mustardway_types::time::{Instant, Span};
use rustc_hash::FxHashMap;

use crate::contested::message::{Entry, Holders};
use crate::packet::{Flow, Packet};
use crate::token::Token;

/// Time for which the holder of a flow is known: as long as a flow may last.
const RETENTION: Span = Span::seconds(60);
/// Maximum number of contested flows that are known.
const HOLDERS_MAX: usize = 1_024;
/// Bytes per second that announcements to all peers together may take: half of what an
/// instance may send for control.
const ANNOUNCED_BYTES_PER_SECOND: u64 = 14 * 1_024;
/// Maximum number of flows in one announcement.
const ANNOUNCED_MAX: usize = 32;
/// Maximum number of peers that are asked after a start.
const REQUESTS_MAX: usize = 4;
/// Number of peers that are asked at once after a start.
const REQUESTS_AT_ONCE: usize = 2;
/// Time between two of the requests that follow.
const REQUEST_INTERVAL: Span = Span::millis(100);
/// Number of bytes that a caller sends on one flow at most. A packet further from the
/// opening packet belongs to another flow of the same addresses.
const SENT_MAX_BYTES: u32 = 1 << 24;

/// The target that holds a contested flow.
#[derive(Debug, Clone, Copy)]
struct Holder {
    token: Token,
    /// Sequence number of the opening packet.
    opening: u32,
    opened: Instant,
}

/// The contested flows that one instance knows.
#[derive(Debug, Default)]
pub struct Registry {
    holders: FxHashMap<Flow, Holder>,
    /// Flows whose holders the peers have not been told.
    unannounced: VecDeque<Flow>,
    next_announcement: Instant,
    /// Time since which this instance has heard all announcements.
    listening_since: Option<Instant>,
    /// Peers that were asked for the flows from before that.
    asked: Vec<instance::Id>,
    next_request: Instant,
    /// Whether a peer that knew all contested flows has answered.
    is_complete: bool,
}

impl Registry {
    /// Returns the token of the target that holds the flow of a packet, if it is a known
    /// contested flow.
    pub fn holder(&self, packet: &Packet) -> Option<Token> {
        let holder = self.holders.get(&packet.flow())?;
        let sent = packet.sequence.wrapping_sub(holder.opening);
        (sent < SENT_MAX_BYTES).then_some(holder.token)
    }

    /// Returns the sequence number of the opening packet of a contested flow.
    pub fn opening_of(&self, flow: &Flow) -> Option<u32> {
        self.holders.get(flow).map(|holder| holder.opening)
    }

    /// Records that this instance saw a contested flow open, to tell the peers. Returns
    /// whether that was not known.
    pub fn record(&mut self, flow: Flow, token: Token, opening: u32, now: Instant) -> bool {
        let is_new = self.insert(flow, Holder { token, opening, opened: now });
        if is_new && self.unannounced.len() < HOLDERS_MAX {
            self.unannounced.push_back(flow);
        }
        is_new
    }

    /// Forgets a flow whose addresses are used by a new one.
    pub fn forget(&mut self, flow: &Flow) {
        self.holders.remove(flow);
    }

    /// Records what a peer has told, and returns the entries that were not known.
    pub fn merge(&mut self, entries: &[Entry], now: Instant) -> Vec<Entry> {
        let mut new = Vec::new();
        for entry in entries {
            let age = Span::millis(u64::from(entry.age_millis));
            let holder =
                Holder { token: Token(entry.token), opening: entry.opening, opened: now - age };
            if age < RETENTION && self.insert(entry.flow(), holder) {
                new.push(*entry);
            }
        }
        new
    }

    /// Adds a holder unless the flow has a known one. Returns whether it was added.
    fn insert(&mut self, flow: Flow, holder: Holder) -> bool {
        let known = self.holders.get(&flow);
        // Only the first answer opens a flow.
        if known.is_some_and(|it| it.opening == holder.opening || it.opened > holder.opened) {
            return false;
        }
        if self.holders.len() >= HOLDERS_MAX {
            let oldest = self.holders.iter().min_by_key(|(flow, it)| (it.opened, **flow));
            if let Some(oldest) = oldest.map(|(flow, _)| *flow) {
                self.holders.remove(&oldest);
            }
        }
        self.holders.insert(flow, holder);
        true
    }

    /// Returns whether peers are to be told about flows now.
    pub fn is_announcement_due(&self, now: Instant) -> bool {
        !self.unannounced.is_empty() && now >= self.next_announcement
    }

    /// Takes the next announcement, which is sent to `peers` peers.
    pub fn take_announcement(&mut self, peers: usize, now: Instant) -> Vec<Entry> {
        let count = self.unannounced.len().min(ANNOUNCED_MAX);
        let mut entries = Vec::new();
        for flow in self.unannounced.drain(..count) {
            let Some(holder) = self.holders.get(&flow) else { continue };
            entries.push(encode(flow, holder, now));
        }
        let bytes = (Entry::BYTES_MAX * entries.len() * peers) as u64;
        self.next_announcement = now + Span(bytes * 1_000_000 / ANNOUNCED_BYTES_PER_SECOND);
        entries
    }

    /// Returns the answer to the request of a peer that has started.
    pub fn answer(&self, now: Instant) -> Holders {
        let has_heard_all = self.listening_since.is_some_and(|at| now.since(at) >= RETENTION);
        let mut entries = Vec::new();
        for (flow, holder) in &self.holders {
            entries.push(encode(*flow, holder, now));
        }
        Holders { entries, relay: false, is_complete: self.is_complete || has_heard_all }
    }

    /// Records that the sender of an answer knew all contested flows.
    pub fn mark_complete(&mut self) {
        self.is_complete = true;
    }

    /// Returns whether a peer is to be asked now for the flows that opened before this
    /// instance started.
    pub fn is_request_due(&mut self, now: Instant) -> bool {
        let listening_since = *self.listening_since.get_or_insert(now);
        let is_over = self.is_complete || now.since(listening_since) >= RETENTION;
        !is_over && self.asked.len() < REQUESTS_MAX && now >= self.next_request
    }

    /// Returns the peers to ask next, the first ones of `peers` that have not been asked.
    pub fn take_requests(&mut self, peers: &[instance::Id], now: Instant) -> Vec<instance::Id> {
        let count = if self.asked.is_empty() { REQUESTS_AT_ONCE } else { 1 };
        let remaining = peers.iter().filter(|id| !self.asked.contains(id));
        let chosen: Vec<_> = remaining.take(count).cloned().collect();
        if !chosen.is_empty() {
            self.next_request = now + REQUEST_INTERVAL;
            self.asked.extend(chosen.iter().cloned());
        }
        chosen
    }

    /// Asks the peers once more, since this instance may have missed announcements.
    pub fn ask_again(&mut self, now: Instant) {
        self.listening_since = Some(now);
        self.asked.clear();
        self.is_complete = false;
    }

    /// Removes flows that have ended by now.
    pub fn remove_expired(&mut self, now: Instant) {
        self.holders.retain(|_, holder| now.since(holder.opened) < RETENTION);
    }

    /// Returns the number of contested flows.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no contested flow is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}

fn encode(flow: Flow, holder: &Holder, now: Instant) -> Entry {
    Entry::new(flow, holder.token, holder.opening, now.since(holder.opened))
}
