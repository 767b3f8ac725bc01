//! The decisions of one instance about its copy of the published state.

use displaydoc::Display;
use mustardway_types::instance;
use mustardway_types::revision::Number;
use mustardway_types::time::{Instant, Span};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::departed::Tracker;
use crate::message::{self, Body, DepartedRequest, Message, Pull, Push};
use crate::publication::{Change, Departure, Update};
use crate::replica::Replica;
use crate::topology::Topology;

/// Random addition to the patience, so that equal ranks do not read together.
const JITTER: Span = Span::millis(150);
/// Pause after the first failed read; doubled after each more.
const BACKOFF_MIN: Span = Span::millis(150);
/// Longest pause after a failed read: a platform that returns is noticed within
/// a third of the shortest bound (3 s).
const BACKOFF_MAX: Span = Span::millis(1_000);
/// Time between two pulls while nothing is known. The first one comes as late:
/// the platform answers sooner where it answers at all.
const PULL_INTERVAL: Span = Span::millis(150);
/// Bytes a second of whole states that are sent to peers. More would fill a
/// narrow link (10 Mbit/s) and hold up callers' packets.
const WHOLE_RATE: u64 = 128 * 1024;
/// By how much a confirmation of what is known must be later to be passed on.
const CONFIRM_STEP: Span = Span::millis(200);
/// Longest wait of the platform for a change, which spares a read its repeat.
const WAIT: Span = Span::millis(300);

/// What is asked of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Query {
    /// Everything that is published.
    Full,
    /// The changes after a number.
    Since {
        /// The number.
        after: Number,
        /// How long to wait for the first one.
        wait: Span,
    },
}

/// What the platform answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Everything that is published, as of a number.
    Full(Number, Vec<Update>),
    /// Changes up to a number.
    Since(Number, Vec<Update>),
}

/// Why the platform gave no answer.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Failure {
    /// the platform cannot be reached
    Unreachable,
    /// the platform did not answer in time
    Timeout,
    /// the platform refused the call
    Refused,
    /// the platform no longer knows the changes that were asked for
    Forgotten,
    /// the platform's answer makes no sense
    Nonsense,
}

impl std::error::Error for Failure {}

/// What one instance is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; given at least every 50 ms.
    Tick,
    /// The answer to the latest [`Action::Read`].
    Answer(Result<Answer, Failure>),
    /// A message of a peer.
    Received {
        /// The peer.
        from: instance::Id,
        /// What it says.
        message: Message,
    },
    /// The place of this instance among the live ones.
    Topology(Topology),
    /// The process did not run for this long.
    Paused(Span),
}

/// What one instance wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the platform; one read at a time.
    Read(Query),
    /// Send a message to a peer; it may be lost.
    Send {
        /// The peer.
        to: instance::Id,
        /// What to say.
        message: Message,
    },
    /// The published state has changed.
    Changed(Vec<Change>),
    /// Targets departed before this instance started.
    Departed(Vec<Departure>),
    /// The platform answers again, or no longer does.
    Platform(Result<(), Failure>),
    /// A peer sent changes that cannot be read.
    Undecodable {
        /// The peer.
        from: instance::Id,
        /// How many.
        count: usize,
    },
}

/// The decisions of one instance.
#[derive(Debug)]
pub struct Node {
    replica: Replica,
    topology: Topology,
    /// When the platform confirmed the copy, to any instance.
    confirmed: Option<Instant>,
    /// When the read that is on its way was started.
    reading: Option<Instant>,
    next_read: Instant,
    next_pull: Instant,
    /// When a whole state may be sent to a peer again.
    next_whole: Instant,
    memory: Tracker,
    backoff: Span,
    jitter: Span,
    is_forgotten: bool,
    has_failed: bool,
    rng: Pcg32,
}

impl Node {
    /// An instance that knows nothing yet.
    pub fn new(seed: u64, now: Instant) -> Self {
        Node {
            replica: Replica::default(),
            topology: Topology::default(),
            confirmed: None,
            reading: None,
            next_read: now,
            next_pull: now + PULL_INTERVAL,
            next_whole: now,
            memory: Tracker::default(),
            backoff: BACKOFF_MIN,
            jitter: Span::ZERO,
            is_forgotten: false,
            has_failed: false,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// The published state as known here.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Time since the platform confirmed the copy; none before the first time.
    pub fn age(&self, now: Instant) -> Option<Span> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Answer(answer) => self.take_answer(answer, now, actions),
            Event::Received { from, message } => self.receive(from, message, now, actions),
            Event::Topology(topology) => self.topology = topology,
            Event::Paused(span) => self.pause(span, now),
        }
        self.read(now, actions);
        self.pull(now, actions);
        self.recall(now, actions);
    }

    /// What was believed before a pause is as old as the pause.
    fn pause(&mut self, span: Span, now: Instant) {
        self.confirmed = self.confirmed.map(|at| at - span);
        self.reading = None;
        self.next_read = now;
        self.backoff = BACKOFF_MIN;
    }

    fn read(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.reading.is_some() || now < self.next_read {
            return;
        }
        let patience = self.topology.staleness_limit() + self.jitter;
        if self.age(now).is_some_and(|age| age < patience) {
            return;
        }
        let number = self.replica.number();
        let query = match number.0 == 0 || self.is_forgotten {
            true => Query::Full,
            false => Query::Since { after: number, wait: WAIT },
        };
        self.reading = Some(now);
        self.jitter = Span(self.rng.random_range(0..=JITTER.0));
        actions.push(Action::Read(query));
    }

    fn take_answer(
        &mut self,
        answer: Result<Answer, Failure>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(since) = self.reading.take() else { return };
        let answer = match answer {
            Ok(answer) => answer,
            Err(failure) => return self.fail(failure, now, actions),
        };
        self.backoff = BACKOFF_MIN;
        self.is_forgotten = false;
        if self.has_failed {
            self.has_failed = false;
            actions.push(Action::Platform(Ok(())));
        }
        let from = self.replica.number();
        let to = match &answer {
            Answer::Full(number, _) | Answer::Since(number, _) => *number,
        };
        if to < from {
            // Older than what is known: it is asked again a little later.
            self.next_read = now + BACKOFF_MIN;
            return;
        }
        let news = match answer {
            Answer::Full(number, items) => self.replica.apply_full_state(number, items),
            Answer::Since(number, changes) => self.replica.apply_changes(number, changes),
        };
        // The answer may have been given at any time since the call.
        self.confirm(since);
        self.learn(news, now, actions);
        // An instance that knew nothing has no news for others.
        if from.0 > 0 {
            self.push(from, now, actions);
        }
    }

    fn fail(&mut self, failure: Failure, now: Instant, actions: &mut Vec<Action>) {
        if failure == Failure::Forgotten {
            self.is_forgotten = true;
            return;
        }
        let jitter = Span(self.rng.random_range(0..=self.backoff.0 / 2));
        self.next_read = now + self.backoff + jitter;
        self.backoff = Span(BACKOFF_MAX.0.min(self.backoff.0 * 2));
        if !self.has_failed {
            self.has_failed = true;
            actions.push(Action::Platform(Err(failure)));
        }
        self.pull_from_any(actions);
    }

    /// Notes what the copy has just learnt.
    fn learn(&mut self, news: Vec<Change>, now: Instant, actions: &mut Vec<Action>) {
        self.memory.record_removed(self.replica.take_removed(), now);
        if !news.is_empty() {
            actions.push(Action::Changed(news));
        }
    }

    fn confirm(&mut self, at: Instant) {
        self.confirmed = Some(self.confirmed.map_or(at, |known| known.max(at)));
    }

    /// Tells peers what is newer than `from`.
    fn push(&self, from: Number, now: Instant, actions: &mut Vec<Action>) {
        let Some(age) = self.age(now) else { return };
        let push = self.changes_after(from, age);
        for to in &self.topology.relays {
            let message = Body::Push(Push { relay: true, ..push.clone() }).into();
            actions.push(Action::Send { to: to.clone(), message });
        }
        if let Some(me) = &self.topology.me {
            self.pass_on(&push, me, actions);
        }
    }

    /// Sends what `root` brought into this failure domain down its tree.
    fn pass_on(&self, push: &Push, root: &instance::Id, actions: &mut Vec<Action>) {
        for to in self.topology.children(root) {
            let push = Push { relay: true, root: root.to_string(), ..push.clone() };
            actions.push(Action::Send { to: to.clone(), message: Body::Push(push).into() });
        }
    }

    fn changes_after(&self, from: Number, age: Span) -> Push {
        let to = self.replica.number();
        let millis = age.as_millis();
        match self.replica.changes_after(from) {
            Some(changes) => Push::new(from, to, millis, &changes),
            None => Push::new(Number(0), to, millis, &self.replica.full_state()),
        }
    }

    fn receive(
        &mut self,
        from: instance::Id,
        message: Message,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        match message.body {
            Some(Body::Push(push)) => self.take_push(from, &push, now, actions),
            Some(Body::Pull(pull)) => self.answer_pull(from, &pull, now, actions),
            Some(Body::DepartedRequest(_)) => self.answer_recall(from, now, actions),
            Some(Body::Departed(departed)) => self.take_departed(from, &departed, actions),
            None => {}
        }
    }

    fn answer_pull(
        &mut self,
        from: instance::Id,
        pull: &Pull,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let have = Number(pull.have);
        let Some(age) = self.age(now) else { return };
        if have > self.replica.number() {
            return;
        }
        let is_whole = self.replica.changes_after(have).is_none();
        if is_whole && now < self.next_whole {
            // The peer asks another instance soon.
            return;
        }
        let push = self.changes_after(have, age);
        if is_whole {
            let bytes: usize = push.changes.iter().map(Vec::len).sum();
            self.next_whole = now + Span(bytes as u64 * 1_000_000 / WHOLE_RATE);
        }
        actions.push(Action::Send { to: from, message: Body::Push(push).into() });
    }

    fn take_push(
        &mut self,
        from: instance::Id,
        push: &Push,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let (first, last) = (Number(push.from), Number(push.to));
        let own = self.replica.number();
        if last < own {
            return;
        }
        if first > own {
            let message = Body::Pull(Pull { have: own.0 }).into();
            actions.push(Action::Send { to: from, message });
            return;
        }
        let at = now - Span::millis(push.age_millis);
        let is_later = last > own;
        if !is_later && self.confirmed.is_some_and(|known| at <= known + CONFIRM_STEP) {
            // Another reader has told the same; passing it on again would multiply it.
            return;
        }
        let (changes, unread) = push.decode();
        if unread > 0 {
            // A copy that lacks something must not pass for confirmed.
            actions.push(Action::Undecodable { from, count: unread });
            return;
        }
        let is_whole = first.0 == 0;
        let news = match is_whole {
            true => self.replica.apply_full_state(last, changes),
            false => self.replica.apply_changes(last, changes),
        };
        self.confirm(at);
        self.learn(news, now, actions);
        if !push.relay {
            return;
        }
        let light = Push { from: push.to, changes: Vec::new(), ..push.clone() };
        let push = if is_later { push } else { &light };
        let root = match push.root.is_empty() {
            true => self.topology.me.clone(),
            false => push.root.parse().ok(),
        };
        // A name that is none comes from a peer of another version.
        if let Some(root) = root {
            self.pass_on(push, &root, actions);
        }
    }

    /// Asks peers while nothing is known.
    fn pull(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.replica.number().0 > 0 || now < self.next_pull {
            return;
        }
        self.next_pull = now + PULL_INTERVAL;
        self.pull_from_any(actions);
    }

    /// Asks a peer who departed before this instance started, where that is due.
    fn recall(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let peers = self.topology.others();
        if let Some(to) = self.memory.next_request(peers, &mut self.rng, now) {
            actions.push(Action::Send {
                to,
                message: Body::DepartedRequest(DepartedRequest {}).into(),
            });
        }
    }

    fn answer_recall(&self, from: instance::Id, now: Instant, actions: &mut Vec<Action>) {
        if let Some(departed) = self.memory.answer(now) {
            actions.push(Action::Send { to: from, message: Body::Departed(departed).into() });
        }
    }

    fn take_departed(
        &mut self,
        from: instance::Id,
        departed: &message::Departed,
        actions: &mut Vec<Action>,
    ) {
        let (departures, unread) = self.memory.take_answer(departed);
        if unread > 0 {
            actions.push(Action::Undecodable { from, count: unread });
        }
        if !departures.is_empty() {
            actions.push(Action::Departed(departures));
        }
    }

    fn pull_from_any(&mut self, actions: &mut Vec<Action>) {
        let peers = self.topology.peers();
        if peers.is_empty() {
            return;
        }
        let to = peers[self.rng.random_range(0..peers.len())];
        let message = Body::Pull(Pull { have: self.replica.number().0 }).into();
        actions.push(Action::Send { to: to.clone(), message });
    }
}
