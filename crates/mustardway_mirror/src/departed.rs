//! Targets whose registrations were recently removed.
//!
//! Callers may still send packets of flows to such a target. An instance that
//! has just started does not find it in the published state and asks a peer.
//! This matters after many instances and targets were lost together: callers
//! whose targets are gone are told so at once instead of waiting for a timeout.

use std::collections::VecDeque;

use mustardway_types::instance;
use mustardway_types::time::{Instant, Span};
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::message;
use crate::publication::{Departure, Registration};

/// Time for which a departed target is remembered: longer than a flow may last
/// (60 s).
pub const RETENTION: Span = Span::seconds(75);
/// Maximum number of departed targets that are remembered. Each takes 100 bytes
/// in a message, so all together take 50 KB.
const ENTRIES_MAX: usize = 512;
/// Maximum number of peers that are asked for the targets that departed before
/// this instance started.
const REQUESTS_MAX: usize = 8;
/// Time between two requests. A request is answered within a round trip between
/// regions (40 ms).
const REQUEST_INTERVAL: Span = Span::millis(100);
/// A peer that has known the published state for this long was not restarted
/// together with this instance.
const ESTABLISHED_AGE: Span = Span::seconds(10);

/// Departed targets known to one instance, and the peers that it has asked for
/// more.
#[derive(Debug, Default)]
pub struct Tracker {
    entries: VecDeque<(Instant, Registration)>,
    /// When the published state was first known.
    known_since: Option<Instant>,
    /// Peers that a request was sent to.
    asked: Vec<instance::Id>,
    next_request: Instant,
    /// Whether a peer that was not restarted with this instance has answered.
    is_complete: bool,
}

impl Tracker {
    /// Records that the published state is known as of `now` and that the
    /// `removed` registrations are no longer part of it.
    pub fn record_removed(&mut self, removed: Vec<Registration>, now: Instant) {
        self.known_since.get_or_insert(now);
        for registration in removed {
            self.entries.retain(|(_, known)| known.id != registration.id);
            if self.entries.len() == ENTRIES_MAX {
                self.entries.pop_front();
            }
            self.entries.push_back((now, registration));
        }
    }

    /// Returns the peer to send a request to now, if one is due.
    ///
    /// Requests end once a peer has answered that has known the published state
    /// for longer than a restart takes.
    pub fn next_request(
        &mut self,
        mut peers: Vec<&instance::Id>,
        rng: &mut Pcg32,
        now: Instant,
    ) -> Option<instance::Id> {
        let is_over = self.is_complete || self.asked.len() >= REQUESTS_MAX;
        if is_over || self.known_since.is_none() || now < self.next_request {
            return None;
        }
        peers.retain(|peer| !self.asked.contains(*peer));
        if peers.is_empty() {
            return None;
        }
        let to = peers.swap_remove(rng.random_range(0..peers.len())).clone();
        self.asked.push(to.clone());
        self.next_request = now + REQUEST_INTERVAL;
        Some(to)
    }

    /// Returns the answer to a request, or `None` while the published state is
    /// not known.
    pub fn answer(&self, now: Instant) -> Option<message::Departed> {
        let known = now.since(self.known_since?);
        let mut departures = Vec::new();
        for (at, registration) in &self.entries {
            let age = now.since(*at);
            if age < RETENTION {
                departures.push(Departure { registration: registration.clone(), age });
            }
        }
        Some(message::Departed::new(known, &departures))
    }

    /// Takes a peer's answer and returns its departures and the number of entries
    /// that could not be decoded.
    pub fn take_answer(&mut self, answer: &message::Departed) -> (Vec<Departure>, usize) {
        self.is_complete |= Span::millis(answer.known_millis) >= ESTABLISHED_AGE;
        answer.decode()
    }
}
