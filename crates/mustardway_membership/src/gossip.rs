//! Gossip of changes to all contacts, within a budget of bytes per second.

use std::net::SocketAddr;

use mustardway_types::instance;
use mustardway_types::time::{Instant, Span};
use prost::Message as _;

use crate::action::Action;
use crate::message::{Body, Entry, Gossip, Message};
use crate::node::Node;

/// Greatest number of entries in one pushed message.
const PUSH_ENTRIES_MAX: usize = 64;
/// Least time between two pushes to the same contact.
const PUSH_INTERVAL: Span = Span::millis(20);
/// Size of a full budget, in seconds at its rate.
const BURST_SECONDS: u64 = 1;
/// Bytes that are counted for a message in addition to its entries.
const MESSAGE_OVERHEAD_BYTES: u64 = 60;
/// Bytes of the Protocol Buffers tag and length of an entry.
const ENTRY_HEADER_BYTES: usize = 2;

/// Token bucket of the bytes that may be sent for changes and tables.
#[derive(Debug)]
pub(crate) struct Budget {
    rate: u64,
    bytes: i64,
    accrued_at: Instant,
}

impl Budget {
    /// Creates a full budget of `rate` bytes per second.
    pub(crate) fn new(rate: u64, now: Instant) -> Self {
        Budget { rate, bytes: (rate * BURST_SECONDS) as i64, accrued_at: now }
    }

    /// Returns whether another message may be sent. A message may overdraw the
    /// budget.
    pub(crate) fn has_bytes(&self) -> bool {
        self.bytes > 0
    }

    /// Fills the budget, for a last push before this instance stops.
    pub(crate) fn refill(&mut self) {
        let full = (self.rate * BURST_SECONDS) as i64;
        self.bytes = full;
    }

    /// Adds the bytes that have accrued until `now`, up to a full budget.
    pub(crate) fn accrue(&mut self, now: Instant) {
        let micros = now.since(self.accrued_at).0.min(BURST_SECONDS * 1_000_000);
        let accrued = micros * self.rate / 1_000_000;
        if accrued == 0 {
            return;
        }
        self.accrued_at = now;
        let full = (self.rate * BURST_SECONDS) as i64;
        self.bytes = full.min(self.bytes + accrued as i64);
    }

    /// Deducts the bytes of a message with these entries.
    pub(crate) fn spend(&mut self, entries: &[Entry]) {
        let mut bytes = MESSAGE_OVERHEAD_BYTES;
        for entry in entries {
            bytes += (ENTRY_HEADER_BYTES + entry.encoded_len()) as u64;
        }
        self.bytes -= bytes as i64;
    }
}

impl Node {
    /// Pushes queued changes to the contacts.
    pub(crate) fn push_changes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.budget.accrue(now);
        for (peer, contact) in self.contacts.iter_mut() {
            if contact.pending.is_empty() || now < contact.next_push || !self.budget.has_bytes() {
                continue;
            }
            contact.next_push = now + PUSH_INTERVAL;
            let mut entries = Vec::new();
            while entries.len() < PUSH_ENTRIES_MAX {
                let Some(id) = contact.pending.pop_first() else { break };
                let Some(record) = self.table.get(&id) else { continue };
                if record.presumed_dead {
                    continue;
                }
                entries.push(Entry::for_push(record));
            }
            let Some(record) = self.table.get(peer) else { continue };
            if entries.is_empty() {
                continue;
            }
            self.budget.spend(&entries);
            let body = Body::Gossip(Gossip { entries });
            actions.push(send(peer, record.member.address, body));
        }
    }

    /// Sends `body` to a known instance; does nothing if it is unknown.
    pub(crate) fn send(&self, to: &instance::Id, body: Body, actions: &mut Vec<Action>) {
        let Some(record) = self.table.get(to) else { return };
        actions.push(send(to, record.member.address, body));
    }
}

/// Returns the action that sends `body`.
pub(crate) fn send(to: &instance::Id, address: SocketAddr, body: Body) -> Action {
    Action::Send { to: to.clone(), address, message: Message::from(body) }
}
