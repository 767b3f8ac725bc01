//! When this instance must not act as an owner.
//!
//! An instance that was paused acts on an old view until a peer has answered a
//! heartbeat that was sent after waking. One that hears nobody cannot tell
//! whether others have declared it dead, until it has declared them dead.

use mustardway_types::time::{Instant, Span};

use crate::node::Node;

/// An answer that is awaited.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fence {
    /// Smallest sequence number whose answer lifts it.
    sequence: u64,
    /// When it was raised.
    raised_at: Instant,
}

impl Node {
    /// Notices a pause by the gap between two ticks.
    pub(crate) fn detect_pause(&mut self, now: Instant) {
        let gap = now.since(self.last_tick);
        self.last_tick = self.last_tick.max(now);
        if gap <= Span(self.settings.lease.0 / 2) {
            return;
        }
        self.counts.pauses += 1;
        self.contacts.reset_silence(now);
        self.indirect_probes.clear();
        self.silent_since = now;
        self.next_heartbeat = now;
        self.raise_fence(now);
    }

    /// Awaits an answer to a heartbeat that is still to be sent.
    pub(crate) fn raise_fence(&mut self, now: Instant) {
        self.fence = Some(Fence { sequence: self.sequence + 1, raised_at: now });
    }

    /// Lifts the fence where `echo` answers a heartbeat sent after it.
    pub(crate) fn lift_fence_on_echo(&mut self, echo: u64) {
        let Some(fence) = self.fence else { return };
        if echo < fence.sequence || echo > self.sequence {
            return;
        }
        self.fence = None;
    }

    /// Lifts the fence where no peer has lived for a lease.
    pub(crate) fn lift_fence_when_alone(&mut self, now: Instant) {
        let Some(fence) = self.fence else { return };
        if self.table.live() > 1 || now.since(fence.raised_at) < self.settings.lease {
            return;
        }
        self.fence = None;
    }

    /// Holds all others for dead where nobody at all was heard for a lease.
    pub(crate) fn check_isolation(&mut self, now: Instant) {
        if self.table.live() <= 1 || now.since(self.silent_since) < self.settings.lease {
            return;
        }
        self.counts.isolated += 1;
        let others: Vec<_> = self.live().map(|record| record.member.id.clone()).collect();
        for id in others {
            if self.is_me(&id) {
                continue;
            }
            self.table.presume_dead(&id, now);
        }
    }
}
