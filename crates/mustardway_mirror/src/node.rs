//! The state machine that keeps one instance's replica of the published state
//! current.
//!
//! A [`Node`] takes events and returns actions. It decides when to read the
//! platform, which peers to push changes to, and which peers to pull from.

mod exchange;
mod offers;
mod questions;

use displaydoc::Display;
use mustardway_types::instance;
use mustardway_types::revision::{Era, Number, Version};
use mustardway_types::time::{Instant, Span};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::departed::Tracker;
use crate::message::{self, Body, DepartedRequest, Message, Push};
use crate::node::offers::Offers;
use crate::node::questions::Questions;
use crate::publication::{Change, Departure, Update};
use crate::replica::Replica;
use crate::restoration::REWRITE_TIME;
use crate::topology::{STALENESS_LIMIT_MAX, Topology};
use crate::usage::Pushed;

/// Maximum random addition to the staleness limit, so that instances of equal
/// rank do not read at the same time.
const JITTER_MAX: Span = Span::millis(150);
/// Backoff after the first failed read. It doubles after each further failure.
const BACKOFF_MIN: Span = Span::millis(150);
/// Maximum backoff after a failed read: a platform that is available again is
/// noticed within a third of the shortest bound in which a change has to be in
/// force (3 s).
const BACKOFF_MAX: Span = Span::millis(1_000);
/// Minimum and maximum backoff of an instance of low rank in its failure domain. Others
/// push to it what they read.
const BACKOFF_RANGE_LOW_RANK: (Span, Span) = (Span::millis(1_000), Span::millis(3_000));
/// Time that an instance of low rank waits for the full state from its peers before it
/// reads that itself.
const FULL_PUSH_TIME: Span = Span::millis(700);
/// Number of instances of a failure domain that retry failed reads with the short
/// backoff. The platform may refuse some of them and answer others.
const EAGER_INSTANCES: usize = 3;
/// Time after its start within which an instance that knows no other may not be the
/// only one. All that start at once would take themselves for the reader.
const SETTLING_TIME: Span = Span::millis(3_000);
/// Time between two pulls while the replica is empty. The first pull is delayed
/// as long, because a platform that is available answers sooner.
const PULL_INTERVAL: Span = Span::millis(150);
/// Maximum time for which the platform holds a read until there is a change. The
/// long poll saves repeated reads.
const LONG_POLL_WAIT: Span = Span::millis(300);

/// A query to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Query {
    /// Query for everything that is published.
    Full,
    /// Query for the changes after a number.
    Since {
        /// Number that the changes start after.
        after: Number,
        /// Time for which the platform waits if there is no change yet.
        wait: Span,
    },
}

/// Number of a read of the platform. It tells the answers of two reads apart.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ticket(pub u64);

/// The platform's answer to a [`Query`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Everything that is published, as of the version.
    Full(Version, Vec<Update>),
    /// Changes up to the version.
    Since(Version, Vec<Update>),
}

/// Reason why the platform gave no usable answer.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Failure {
    /// the platform cannot be reached
    Unreachable,
    /// the platform did not answer in time
    Timeout,
    /// the platform refused the call
    Refused,
    /// the platform no longer has the requested changes
    Forgotten,
    /// the platform's answer is too large
    TooLarge,
    /// the platform's answer is malformed
    Nonsense,
}

impl std::error::Error for Failure {}

/// Input of a [`Node`].
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed. A tick is due at least every 50 ms.
    Tick,
    /// The answer to an [`Action::Read`]. Only that to the latest one has an effect.
    Answer(Ticket, Result<Answer, Failure>),
    /// A message arrived from a peer.
    Received {
        /// Peer that sent the message.
        from: instance::Id,
        /// The message.
        message: Message,
    },
    /// The live instances, and with them this instance's topology, have changed.
    Topology(Topology),
    /// The link to a peer broke.
    Disconnected(instance::Id),
    /// The process did not run, and the clock missed this much of the pause.
    Paused(Span),
}

/// Output of a [`Node`].
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the platform. At most one read is in flight at a time, except after a pause.
    Read(Ticket, Query),
    /// Send a message to a peer. The message may be lost.
    Send {
        /// Peer to send the message to.
        to: instance::Id,
        /// The message.
        message: Message,
    },
    /// The published state has changed.
    Changed(Vec<Change>),
    /// A peer sent changes.
    Pushed(Pushed),
    /// A peer reported targets that departed before this instance started.
    Departed(Vec<Departure>),
    /// The platform was restored from a copy, which began this era.
    Restored(Era),
    /// The published configuration has this version, which is older than the one in
    /// force.
    OlderConfiguration(u64),
    /// The platform has become available again, or unavailable.
    Platform(Result<(), Failure>),
    /// A peer sent entries that cannot be decoded.
    Undecodable {
        /// Peer that sent the entries.
        from: instance::Id,
        /// Number of entries that cannot be decoded.
        count: usize,
    },
}

/// State machine of one instance.
#[derive(Debug)]
pub struct Node {
    replica: Replica,
    topology: Topology,
    /// Latest time at which the platform confirmed the replica's state to any
    /// instance.
    confirmed: Option<Instant>,
    started: Instant,
    /// The read in flight and its start time.
    reading: Option<(Ticket, Instant)>,
    last_ticket: Ticket,
    next_read: Instant,
    next_pull: Instant,
    /// Earliest time at which a full state may be sent to a peer again.
    next_full_state: Instant,
    departed: Tracker,
    offers: Offers,
    questions: Questions,
    backoff: Span,
    jitter: Span,
    /// Whether the platform no longer has the changes after the replica's number.
    needs_full_read: bool,
    /// End of the time in which a restored platform is published to again.
    restore_ends: Option<Instant>,
    /// Version of the older configuration that was last reported.
    older_configuration: Option<u64>,
    /// Whether reads have failed since the platform last answered.
    has_read_failed: bool,
    rng: Pcg32,
}

impl Node {
    /// Creates a node with an empty replica.
    pub fn new(seed: u64, now: Instant) -> Self {
        Node {
            replica: Replica::default(),
            topology: Topology::default(),
            confirmed: None,
            started: now,
            reading: None,
            last_ticket: Ticket::default(),
            next_read: now,
            next_pull: now + PULL_INTERVAL,
            next_full_state: now,
            departed: Tracker::default(),
            offers: Offers::default(),
            questions: Questions::default(),
            backoff: BACKOFF_MIN,
            jitter: Span::ZERO,
            needs_full_read: false,
            restore_ends: None,
            older_configuration: None,
            has_read_failed: false,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Returns the replica of the published state.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the ticket of the read in flight.
    pub fn reading(&self) -> Option<Ticket> {
        self.reading.map(|(ticket, _)| ticket)
    }

    /// Returns the time since the platform last confirmed the replica's state, or
    /// `None` before the first confirmation.
    pub fn age(&self, now: Instant) -> Option<Span> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Answer(ticket, answer) => self.take_answer(ticket, answer, now, actions),
            Event::Received { from, message } => self.receive(from, message, now, actions),
            Event::Topology(topology) => {
                self.offers.forget_lost_peers(&topology.others(), now);
                self.topology = topology;
            }
            Event::Disconnected(peer) => self.offers.forget_peer(&peer, now),
            Event::Paused(span) => self.take_pause(span, now),
        }
        self.finish_restore_if_due(now, actions);
        self.pull_noticed(now, actions);
        self.read_if_due(now, actions);
        self.pull_if_empty(now, actions);
        self.request_departed(now, actions);
    }

    /// Adds the time that the clock missed to the replica's age and reads without
    /// backoff. The answer to a read from before the pause shows the state as it was then.
    fn take_pause(&mut self, span: Span, now: Instant) {
        self.confirmed = self.confirmed.map(|at| at - span);
        self.replica.skip_pause(span);
        self.reading = None;
        self.questions.forget(now);
        self.next_read = now;
        self.backoff = BACKOFF_MIN;
    }

    /// Reads the platform if the replica is older than the staleness limit.
    fn read_if_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.reading.is_some() || now < self.next_read || self.offers.holds_reads(now) {
            return;
        }
        let is_settling = now.since(self.started) < SETTLING_TIME;
        let limit = match is_settling && self.topology.others().is_empty() {
            true => STALENESS_LIMIT_MAX,
            false => self.topology.staleness_limit(),
        };
        let limit = limit + self.jitter;
        if self.age(now).is_some_and(|age| age < limit) {
            return;
        }
        let version = self.replica.version();
        let query = match version.is_empty() || self.needs_full_read {
            true => Query::Full,
            false => Query::Since { after: version.number, wait: LONG_POLL_WAIT },
        };
        self.last_ticket.0 += 1;
        self.reading = Some((self.last_ticket, now));
        self.jitter = Span(self.rng.random_range(0..=JITTER_MAX.0));
        actions.push(Action::Read(self.last_ticket, query));
    }

    fn take_answer(
        &mut self,
        ticket: Ticket,
        answer: Result<Answer, Failure>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let reading = self.reading.take_if(|(latest, _)| *latest == ticket);
        let Some((_, since)) = reading else { return };
        let answer = match answer {
            Ok(answer) => answer,
            Err(failure) => return self.take_failure(failure, now, actions),
        };
        self.backoff = BACKOFF_MIN;
        self.needs_full_read = false;
        if self.has_read_failed {
            self.has_read_failed = false;
            actions.push(Action::Platform(Ok(())));
        }
        let from = self.replica.version();
        let to = match &answer {
            Answer::Full(version, _) | Answer::Since(version, _) => *version,
        };
        if to < from {
            // The answer is older than the replica, so the read is repeated later.
            self.next_read = now + BACKOFF_MIN;
            return;
        }
        let (applied, restored) = match answer {
            Answer::Full(_, items) if to.era > from.era => {
                let restored = self.replica.restore(to, items, now);
                self.enter_era(from, now, actions);
                (restored.effective, Some(restored.updates))
            }
            Answer::Since(..) if to.era > from.era => {
                // Numbers of the new era do not continue those of the replica.
                self.needs_full_read = true;
                return;
            }
            Answer::Full(_, items) => (self.replica.apply_full_state(to.number, items, now), None),
            Answer::Since(_, changes) => {
                (self.replica.apply_changes(to.number, changes, now), None)
            }
        };
        // The platform may have produced the answer at any time since the call.
        self.confirm(since);
        self.report_changes(applied, now, actions);
        self.settle_offers(None, now, actions);
        // The first state of an instance that has just started is known to the others.
        if from.is_empty() {
            return;
        }
        let Some(age) = self.age(now) else { return };
        let push = match restored {
            Some(updates) => {
                let push = Push::new(from, to, age.as_millis(), &updates);
                self.offers.keep_difference(&push);
                push
            }
            None => self.push_after(from, age, now),
        };
        self.push_changes(&push, now, actions);
    }

    /// Reports that the platform was restored since the version `from`.
    fn enter_era(&mut self, from: Version, now: Instant, actions: &mut Vec<Action>) {
        if !from.is_empty() {
            self.restore_ends = Some(now + REWRITE_TIME);
            actions.push(Action::Restored(self.replica.version().era));
        }
    }

    fn finish_restore_if_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.restore_ends.is_some_and(|at| now >= at) {
            self.restore_ends = None;
            self.offers.forget_difference();
            let changes = self.replica.finish_restore();
            self.report_changes(changes, now, actions);
        }
    }

    fn take_failure(&mut self, failure: Failure, now: Instant, actions: &mut Vec<Action>) {
        let is_eager = self.topology.domain_rank < EAGER_INSTANCES;
        // The whole state comes in pages. The changes after the same number would only be
        // more in the next answer.
        let was_full = self.needs_full_read || self.replica.version().is_empty();
        if failure == Failure::Forgotten || failure == Failure::TooLarge && !was_full {
            self.needs_full_read = true;
            if !is_eager {
                self.next_read = now + FULL_PUSH_TIME + self.jitter;
            }
            return;
        }
        let (shortest, longest) =
            if is_eager { (BACKOFF_MIN, BACKOFF_MAX) } else { BACKOFF_RANGE_LOW_RANK };
        self.backoff = self.backoff.max(shortest);
        let jitter = Span(self.rng.random_range(0..=self.backoff.0 / 2));
        self.next_read = now + self.backoff + jitter;
        self.backoff = Span(longest.0.min(self.backoff.0 * 2));
        if !self.has_read_failed {
            self.has_read_failed = true;
            actions.push(Action::Platform(Err(failure)));
        }
        self.pull_from_random_peer(now, actions);
    }

    /// Reports the changes that the replica has just applied.
    fn report_changes(&mut self, changes: Vec<Change>, now: Instant, actions: &mut Vec<Action>) {
        self.departed.record_removed(self.replica.take_removed(), now);
        if !changes.is_empty() {
            actions.push(Action::Changed(changes));
        }
        let older = self.replica.older_configuration();
        if self.older_configuration != older {
            self.older_configuration = older;
            actions.extend(older.map(Action::OlderConfiguration));
        }
    }

    fn confirm(&mut self, at: Instant) {
        self.confirmed = Some(self.confirmed.map_or(at, |known| known.max(at)));
    }

    /// Requests the targets that departed before this instance started, if a
    /// request is due.
    fn request_departed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let peers = self.topology.others();
        if let Some(to) = self.departed.next_request(peers, &mut self.rng, now) {
            actions.push(Action::Send {
                to,
                message: Body::DepartedRequest(DepartedRequest {}).into(),
            });
        }
    }

    fn answer_departed_request(&self, from: instance::Id, now: Instant, actions: &mut Vec<Action>) {
        if let Some(departed) = self.departed.answer(now) {
            actions.push(Action::Send { to: from, message: Body::Departed(departed).into() });
        }
    }

    fn take_departed(
        &mut self,
        from: instance::Id,
        departed: &message::Departed,
        actions: &mut Vec<Action>,
    ) {
        let (departures, undecodable) = self.departed.take_answer(departed);
        if undecodable > 0 {
            actions.push(Action::Undecodable { from, count: undecodable });
        }
        if !departures.is_empty() {
            actions.push(Action::Departed(departures));
        }
    }
}
