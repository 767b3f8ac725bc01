//! The decisions of one instance.

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

/// Greatest number of peers whose revision is remembered.
const SOURCES_MAX: usize = 128;
/// Age that is told while the platform has never confirmed a revision.
const NEVER: Span = Span::seconds(86_400);

/// The decisions of one instance about its revision.
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
    pub(crate) distrusted: Option<Distrust>,
    pub(crate) whole: bool,
    pub(crate) reading: Reading,
    pub(crate) confirmed: Option<Instant>,
    pub(crate) counts: Counts,
    pub(crate) live: usize,
    pub(crate) heard: Option<Instant>,
    started: Instant,
    pub(crate) ready: bool,
}

/// What a peer is known to have in force.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Source {
    pub(crate) number: revision::Number,
    pub(crate) digest: revision::Digest,
    pub(crate) conflict_told: bool,
}

/// A peer whose latest transfer has failed.
#[derive(Debug, Clone)]
pub(crate) struct Distrust {
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
    /// An instance that begins its life `now` with nothing in force.
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
            distrusted: None,
            whole: false,
            reading,
            confirmed: None,
            counts: Counts::default(),
            live: 1,
            heard: None,
            started: now,
            ready: false,
            settings,
        }
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.expire_transfer(now),
            Event::Platform(answer) => self.take_platform(answer, now, actions),
            Event::Received { from, message } => self.receive(&from, message, now, actions),
            Event::PeerRevision { from, number, digest, age } => {
                self.hear(&from, number, digest, age, now, actions);
            }
            Event::Neighbours(ids) => self.take_neighbours(ids),
            Event::LiveCount(count) => self.live = count,
            Event::Reader(reader) => self.reading.set_reader(reader, now),
            Event::Verdict { number, accepted } => {
                self.take_verdict(number, accepted, now, actions);
            }
        }
        self.start_read(now, actions);
        self.start_pull(now, actions);
        self.ready |= self.has_joined(now);
    }

    /// The revision in force.
    pub fn in_force(&self) -> &Set {
        &self.in_force
    }

    /// Whether the highest revision among platform and peers is in force.
    /// Once true it stays true.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.ready || self.has_joined(now)
    }

    /// Time since the platform confirmed the revision in force to any instance.
    pub fn age(&self, now: Instant) -> Span {
        self.confirmed.map_or(NEVER, |confirmed| now.since(confirmed))
    }

    /// Whether this instance is a reader of the platform.
    pub fn is_reader(&self) -> bool {
        self.reading.is_reader()
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Notes that the platform has confirmed the revision in force at `at`.
    pub(crate) fn confirm(&mut self, at: Instant) {
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
                let age = Span::millis(offer.age_millis.min(NEVER.as_millis()));
                self.hear(from, number, digest, age, now, actions);
            }
            Some(Body::Pull(pull)) => self.serve(from, &pull, actions),
            Some(Body::Part(part)) => self.take_part(from, &part, now, actions),
            None => self.counts.malformed += 1,
        }
    }

    fn take_neighbours(&mut self, ids: Vec<instance::Id>) {
        self.sources.retain(|id, _| ids.contains(id));
        self.neighbours = ids;
    }

    /// Whether the revision in force is the highest that is known of.
    fn has_joined(&self, now: Instant) -> bool {
        let waited = now.since(self.started) >= self.settings.join_wait;
        let platform = self.reading.has_settled() || self.is_confirmed(now) || waited;
        let peers = !self.sources.is_empty() || waited;
        self.in_force.number.0 > 0 && platform && peers && self.best_source().is_none()
    }

    /// Takes what a peer has in force.
    pub(crate) fn hear(
        &mut self,
        from: &instance::Id,
        number: revision::Number,
        digest: revision::Digest,
        age: Span,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.heard = Some(now);
        self.note_source(from, number, digest);
        if number != self.in_force.number || number.0 == 0 {
            return;
        }
        if digest != self.in_force.digest {
            self.tell_conflict(from, actions);
            return;
        }
        if age.0 <= now.0 {
            self.confirm(now - age);
        }
    }

    /// Remembers what a peer has in force.
    pub(crate) fn note_source(
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
        let conflict_told = same.is_some_and(|known| known.conflict_told);
        self.sources.insert(from.clone(), Source { number, digest, conflict_told });
    }
}
