//! How long packets may have waited at this instance before they are handled.
//!
//! An instance that stalls, or works off a backlog, handles packets late. Their times then
//! show nothing about targets, and callers may have replaced them by copies. The wait of
//! one packet is not known, but no packet has waited since before the latest time at which
//! none was there.

use mustardway_types::time::{Instant, Span};

/// Time between two ticks, or wait of a packet, from which an instance has stalled: twice the
/// longest interval of the ticks.
const STALL_MIN: Span = Span::millis(100);
/// Number of ticks without a packet after which no packet waits: packets that waited at the
/// first one are handled before the second.
const IDLE_TICKS_MIN: u32 = 2;

/// The packets that may wait.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    /// Time of the latest tick.
    last_tick: Instant,
    /// Latest time at which no packet waited.
    cleared: Instant,
    /// Whether packets may have waited since then.
    may_wait: bool,
    /// Whether a packet was handled since the latest tick.
    has_handled_packet: bool,
    /// Number of ticks that came in time one after the other without a packet.
    idle_ticks: u32,
}

impl Backlog {
    /// Records that a packet is handled.
    pub(crate) fn record_packet(&mut self) {
        self.has_handled_packet = true;
    }

    /// Records that no packet waits now.
    pub(crate) fn clear(&mut self, now: Instant) {
        self.may_wait = false;
        self.cleared = now;
    }

    /// Records that packets wait.
    pub(crate) fn remain(&mut self) {
        self.may_wait = true;
    }

    /// Records a tick. Packets may wait after a stall and while nothing is configured, until
    /// the backlog is cleared or no packet is handled between two ticks that come in time.
    pub(crate) fn tick(&mut self, is_configured: bool, now: Instant) {
        let is_first = self.last_tick == Instant::default();
        let has_stalled = now.since(self.last_tick) >= STALL_MIN && !is_first;
        let is_idle = is_configured && !has_stalled && !self.has_handled_packet;
        self.idle_ticks = if is_idle { self.idle_ticks + 1 } else { 0 };
        let may_wait = has_stalled || !is_configured || self.may_wait;
        self.may_wait = may_wait && self.idle_ticks < IDLE_TICKS_MIN;
        if !self.may_wait || is_first {
            self.cleared = now;
        }
        self.last_tick = now;
        self.has_handled_packet = false;
    }

    /// Returns the longest time for which a packet that is handled now may have waited.
    pub(crate) fn longest_wait(&self, now: Instant) -> Span {
        match self.last_tick == Instant::default() {
            true => Span::ZERO,
            false => now.since(self.cleared),
        }
    }

    /// Returns whether the packets that are handled now may have waited for so long that
    /// their times show nothing about targets.
    pub(crate) fn has_stalled(&self, now: Instant) -> bool {
        now.since(self.last_tick) >= STALL_MIN || self.longest_wait(now) >= STALL_MIN
    }
}
