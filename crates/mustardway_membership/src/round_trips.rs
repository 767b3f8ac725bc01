//! Whether this instance itself hears its peers in time.
//!
//! If an instance's inbound link is full, it hears all peers late and less and less
//! often. Messages still arrive, so it is not cut off, but silence then says nothing
//! about a peer. An instance therefore declares a contact dead only if a heartbeat that
//! it sent recently was answered.

use std::collections::VecDeque;

use mustardway_types::time::Instant;

/// Greatest number of rounds of heartbeats whose times are kept: those of twice the
/// lease, with a margin.
const ROUNDS_MAX: usize = 16;

/// Sequence numbers of this instance's heartbeats and the times at which they were sent.
#[derive(Debug, Default)]
pub(crate) struct RoundTrips {
    /// First sequence number and time of each round of heartbeats, oldest first.
    rounds: VecDeque<(u64, Instant)>,
    /// Time at which the latest heartbeat that was answered was sent.
    answered: Option<Instant>,
}

impl RoundTrips {
    /// Records that heartbeats are sent from `sequence` on.
    pub(crate) fn record_round(&mut self, sequence: u64, now: Instant) {
        if self.rounds.len() == ROUNDS_MAX {
            self.rounds.pop_front();
        }
        self.rounds.push_back((sequence, now));
    }

    /// Records that a peer has answered the heartbeat with the sequence number `echo`.
    pub(crate) fn record_echo(&mut self, echo: u64) {
        let mut rounds = self.rounds.iter().rev();
        let round = rounds.find(|(sequence, _)| *sequence <= echo);
        self.answered = self.answered.max(round.map(|(_, sent)| *sent));
    }

    /// Returns whether a heartbeat that was sent at `since` or later was answered.
    pub(crate) fn is_answered_since(&self, since: Instant) -> bool {
        self.answered.is_some_and(|sent| sent >= since)
    }
}
