//! Fencing: decides when this instance must not act as an owner.
//!
//! A paused instance resumes with an outdated view, so it stays fenced until a
//! peer answers a heartbeat that was sent after the pause. An instance that
//! hears no peer cannot know whether others have declared it dead, so it stays
//! fenced until it has declared them dead itself.

use mustardway_types::time::{Instant, Span};

use crate::node::Node;

/// A fence that is in place until a peer answers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fence {
    /// Smallest sequence number of a heartbeat whose answer lifts the fence.
    sequence: u64,
    /// Time at which the fence was raised.
    raised_at: Instant,
}

impl Node {
    /// Detects a pause of this instance by the time since the last event, and
    /// raises the fence after a gap of more than half a lease. The silence of all
    /// peers is counted from now, since they could not be heard in the pause.
    pub(crate) fn detect_pause(&mut self, now: Instant) {
        let gap = now.since(self.last_event);
        self.last_event = self.last_event.max(now);
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

    /// Raises the fence until a peer answers a heartbeat that is sent from now on.
    pub(crate) fn raise_fence(&mut self, now: Instant) {
        self.fence = Some(Fence { sequence: self.sequence + 1, raised_at: now });
    }

    /// Lifts the fence if `echo` answers a heartbeat sent after it was raised.
    pub(crate) fn lift_fence_on_echo(&mut self, echo: u64) {
        let Some(fence) = self.fence else { return };
        if echo < fence.sequence || echo > self.sequence {
            return;
        }
        self.fence = None;
    }

    /// Lifts the fence if no peer is live and the fence is a lease old, since
    /// nobody is left to answer.
    pub(crate) fn lift_fence_when_alone(&mut self, now: Instant) {
        let Some(fence) = self.fence else { return };
        if self.table.live() > 1 || now.since(fence.raised_at) < self.settings.lease {
            return;
        }
        self.fence = None;
    }

    /// Presumes all peers dead if none was heard for a lease.
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
