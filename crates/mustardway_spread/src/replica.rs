//! The state machine of one instance.

use std::collections::BTreeMap;
use std::fmt;

use mustardway_types::instance;
use mustardway_types::revision;
use mustardway_types::time::{Instant, Span};
use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::action::Action;
use crate::adoption::Adoption;
use crate::delta::History;
use crate::event::Event;
use crate::message::{Body, Message};
use crate::reading::Reading;
use crate::report::Counts;
use crate::set::{Digester, Set};
use crate::settings::Settings;
use crate::transfer::Transfer;

/// Greatest number of peers whose revisions are remembered.
const SOURCES_MAX: usize = 128;
/// Age that is announced while the platform has never confirmed a revision.
const NEVER_CONFIRMED_AGE: Span = Span::seconds(86_400);

/// The configuration of one instance and the revisions of its peers.
pub struct Replica {
    pub(crate) settings: Settings,
    pub(crate) digester: Box<dyn Digester>,
    pub(crate) rng: Pcg32,
    pub(crate) in_force: Set,
    pub(crate) history: History,
    pub(crate) adoption: Adoption,
    pub(crate) sources: BTreeMap<instance::Id, Source>,
    pub(crate) neighbours: Vec<instance::Id>,
    pub(crate) transfer: Option<Transfer>,
    pub(crate) excluded_source: Option<ExcludedSource>,
    pub(crate) request_whole: bool,
    pub(crate) reading: Reading,
    pub(crate) confirmed: Option<Instant>,
    pub(crate) counts: Counts,
    pub(crate) live: usize,
    pub(crate) last_heard: Option<Instant>,
    started: Instant,
    pub(crate) ready: bool,
}

/// The revision that a peer has in force, as last announced.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Source {
    pub(crate) number: revision::Number,
    pub(crate) digest: revision::Digest,
    pub(crate) conflict_reported: bool,
}

/// A peer that is not pulled from until a given time, since its latest transfer has
/// failed.
#[derive(Debug, Clone)]
pub(crate) struct ExcludedSource {
    pub(crate) id: instance::Id,
    pub(crate) until: Instant,
}

impl fmt::Debug for Replica {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Replica")
            .field("me", &self.settings.me)
            .field("number", &self.in_force.number)
            .field("digest", &self.in_force.digest)
            .field("counts", &self.counts)
            .finish_non_exhaustive()
    }
}

impl Replica {
    /// Creates the state of an instance that starts `now` with no revision in force.
    pub fn new(settings: Settings, digester: Box<dyn Digester>, now: Instant) -> Self {
        let mut rng = Pcg32::seed_from_u64(settings.seed);
        let reading = Reading::new(&settings, &mut rng, now);
        Replica {
            digester,
            rng,
            in_force: Set::default(),
            history: History::default(),
            adoption: Adoption::default(),
            sources: BTreeMap::new(),
            neighbours: Vec::new(),
            transfer: None,
            excluded_source: None,
            request_whole: false,
            reading,
            confirmed: None,
            counts: Counts::default(),
            live: 1,
            last_heard: None,
            started: now,
            ready: false,
            settings,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.expire_transfer(now),
            Event::Platform(answer) => self.handle_read_result(answer, now, actions),
            Event::Received { from, message } => self.receive(&from, message, now, actions),
            Event::PeerRevision { from, number, digest, age } => {
                self.record_peer_revision(&from, number, digest, age, now, actions);
            }
            Event::Neighbours(ids) => self.set_neighbours(ids),
            Event::LiveCount(count) => self.live = count,
            Event::Reader(reader) => self.reading.set_reader(reader, now),
            Event::Verifier(verifier) => self.reading.set_verifier(verifier),
            Event::Verdict { number, accepted } => {
                self.handle_verdict(number, accepted, now, actions);
            }
        }
        self.start_read(now, actions);
        self.start_pull(now, actions);
        self.ready |= self.has_joined(now);
    }

    /// Returns the revision in force.
    pub fn in_force(&self) -> &Set {
        &self.in_force
    }

    /// Returns whether the instance has joined: the greatest revision known from the
    /// platform and the peers was in force at some time. Once true it stays true.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.ready || self.has_joined(now)
    }

    /// Returns the time since the platform last confirmed the revision in force to
    /// any instance.
    pub fn age(&self, now: Instant) -> Span {
        self.confirmed.map_or(NEVER_CONFIRMED_AGE, |confirmed| now.since(confirmed))
    }

    /// Returns whether this instance is a reader of the platform.
    pub fn is_reader(&self) -> bool {
        self.reading.is_reader()
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Records that the platform confirmed the revision in force at `at`.
    pub(crate) fn record_confirmation(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    fn receive(
        &mut self,
        from: &instance::Id,
        message: Message,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        match message.body {
            Some(Body::Offer(offer)) => {
                let number = revision::Number(offer.number);
                let digest = revision::Digest(offer.digest);
                let age = Span::millis(offer.age_millis.min(NEVER_CONFIRMED_AGE.as_millis()));
                self.record_peer_revision(from, number, digest, age, now, actions);
            }
            Some(Body::Pull(pull)) => self.send_revision(from, &pull, actions),
            Some(Body::Part(part)) => self.handle_part(from, &part, now, actions),
            None => self.counts.malformed += 1,
        }
    }

    fn set_neighbours(&mut self, ids: Vec<instance::Id>) {
        self.sources.retain(|id, _| ids.contains(id));
        self.neighbours = ids;
    }

    /// Returns whether the revision in force is the greatest known one. Until
    /// `join_wait` has passed, this requires that a read has completed or the
    /// revision is confirmed, and that a peer has announced its revision.
    fn has_joined(&self, now: Instant) -> bool {
        let waited = now.since(self.started) >= self.settings.join_wait;
        let platform = self.reading.has_completed_read() || self.is_confirmed(now) || waited;
        let peers = !self.sources.is_empty() || waited;
        self.in_force.number.0 > 0 && platform && peers && self.greatest_offered().is_none()
    }

    /// Handles the announcement of the revision that a peer has in force. The peer's
    /// confirmation counts if its revision is the one in force here.
    pub(crate) fn record_peer_revision(
        &mut self,
        from: &instance::Id,
        number: revision::Number,
        digest: revision::Digest,
        age: Span,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.last_heard = Some(now);
        self.remember_source(from, number, digest);
        if number != self.in_force.number || number.0 == 0 {
            return;
        }
        if digest != self.in_force.digest {
            self.report_peer_conflict(from, actions);
            return;
        }
        if age.0 <= now.0 {
            self.record_confirmation(now - age);
        }
    }

    /// Remembers the revision that a peer has in force. A new peer is ignored while
    /// `SOURCES_MAX` are remembered.
    pub(crate) fn remember_source(
        &mut self,
        from: &instance::Id,
        number: revision::Number,
        digest: revision::Digest,
    ) {
        let known = self.sources.get(from);
        if known.is_none() && self.sources.len() >= SOURCES_MAX {
            return;
        }
        let same = known.filter(|known| known.number == number && known.digest == digest);
        let conflict_reported = same.is_some_and(|known| known.conflict_reported);
        self.sources.insert(from.clone(), Source { number, digest, conflict_reported });
    }
}
