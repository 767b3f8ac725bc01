//! Targets whose registrations vanished a short while ago.
//!
//! Callers may still send packets of flows to them. An instance that has just
//! started finds them nowhere in the published state, so it asks a peer. This
//! answers the load after many instances and targets were lost together: callers
//! whose targets are gone are told so at once, not when their time is over.

use std::collections::VecDeque;

use mustardway_types::instance;
use mustardway_types::time::{Instant, Span};
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::message;
use crate::publication::{Departure, Registration};

/// How long one is remembered: longer than a flow may last (60 s).
pub const RETENTION: Span = Span::seconds(75);
/// Most that are remembered: 100 bytes each in a message, 50 KB together.
const COUNT_MAX: usize = 512;
/// Peers that are asked who departed before the start, at most.
const QUESTIONS: usize = 8;
/// Time between two questions: one is answered within a round trip between
/// regions (40 ms).
const QUESTION_INTERVAL: Span = Span::millis(100);
/// A peer that has known the published state for this long was not restarted
/// together with this instance.
const LONG_KNOWN: Span = Span::seconds(10);

/// What one instance remembers of departed targets, and whom it has asked.
#[derive(Debug, Default)]
pub struct Memory {
    entries: VecDeque<(Instant, Registration)>,
    /// When the published state was first known.
    known_since: Option<Instant>,
    /// Peers that were asked.
    asked: Vec<instance::Id>,
    next_question: Instant,
    /// A peer has told what happened before this instance started.
    is_told: bool,
}

impl Memory {
    /// The published state is known as of `now`, and `removed` are no longer in it.
    pub fn learn(&mut self, removed: Vec<Registration>, now: Instant) {
        self.known_since.get_or_insert(now);
        for registration in removed {
            self.entries.retain(|(_, known)| known.id != registration.id);
            if self.entries.len() == COUNT_MAX {
                self.entries.pop_front();
            }
            self.entries.push_back((now, registration));
        }
    }

    /// The one of `peers` to be asked now, if any. Questions end once a peer has
    /// answered that has known the published state for longer than a restart takes.
    pub fn next_question(
        &mut self,
        mut peers: Vec<&instance::Id>,
        rng: &mut Pcg32,
        now: Instant,
    ) -> Option<instance::Id> {
        let is_over = self.is_told || self.asked.len() >= QUESTIONS;
        if is_over || self.known_since.is_none() || now < self.next_question {
            return None;
        }
        peers.retain(|peer| !self.asked.contains(*peer));
        if peers.is_empty() {
            return None;
        }
        let to = peers.swap_remove(rng.random_range(0..peers.len())).clone();
        self.asked.push(to.clone());
        self.next_question = now + QUESTION_INTERVAL;
        Some(to)
    }

    /// What to tell an instance that asks; none before anything is known.
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

    /// Takes an answer: the departures, and how many could not be read.
    pub fn take(&mut self, answer: &message::Departed) -> (Vec<Departure>, usize) {
        self.is_told |= Span::millis(answer.known_millis) >= LONG_KNOWN;
        answer.decode()
    }
}
