//! A simulated fleet: delivers messages between replicas and answers their reads
//! in place of the platform.

#![allow(dead_code)]

mod platform;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use compact_str::CompactString;
use mustardway_spread::action::Action;
use mustardway_spread::event::Event;
use mustardway_spread::message::Message;
use mustardway_spread::platform::{Answer, Content, Failure};
use mustardway_spread::readers::READERS_PER_DOMAIN;
use mustardway_spread::replica::Replica;
use mustardway_spread::report;
use mustardway_spread::set::{Files, Set};
use mustardway_spread::settings::Settings;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{hash, instance, revision};
use platform::Platform;
use prost::Message as _;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Time between two ticks of a replica.
pub const TICK: Span = Span::millis(50);
/// Time between two heartbeats of a host.
pub const HEARTBEAT: Span = Span::millis(250);
/// Time until an answer of the platform arrives.
pub const ANSWER_DELAY: Span = Span::millis(5);
/// Bytes of the frame length and of IP and TCP headers with timestamps, counted
/// for each message.
pub const OVERHEAD: u64 = 56;

pub fn id(index: usize) -> instance::Id {
    format!("i-{index:04}").parse().expect("well formed")
}

pub fn digest(files: &Files) -> revision::Digest {
    let mut value = 0;
    for (name, content) in files {
        value = hash::mix(value, hash::seeded(1, name.as_bytes()));
        value = hash::mix(value, hash::seeded(2, content));
    }
    revision::Digest(value)
}

/// Returns the files of a revision, which differ in a few places between numbers.
pub fn files(number: u64) -> Files {
    let mut files = Files::new();
    for index in 0..20u64 {
        let name = CompactString::from(format!("{index:02}-service.ini"));
        let version = if number % 20 == index { number } else { 0 };
        let text = format!("[service]\nversion = {version}\n{}", "; filler\n".repeat(40));
        files.insert(name, Arc::from(text.as_bytes()));
    }
    if number.is_multiple_of(2) {
        files
            .insert(CompactString::from("99-even.ini"), Arc::from(number.to_be_bytes().as_slice()));
    }
    files
}

pub fn set(number: u64) -> Set {
    let files = files(number);
    Set { number: revision::Number(number), digest: digest(&files), files }
}

pub fn answer(number: u64) -> Answer {
    Answer { number: revision::Number(number), content: Content::Whole(files(number)) }
}

pub fn replica(index: usize, seed: u64, now: Instant) -> Replica {
    Replica::new(Settings::new(id(index), seed), Box::new(digest), now)
}

/// A replica and the state that the simulation keeps for it. `history` holds the
/// numbers of the accepted revisions.
pub struct Host {
    pub replica: Replica,
    pub running: bool,
    pub neighbours: Vec<usize>,
    pub platform_reachable: bool,
    pub sent: u64,
    pub bytes: u64,
    pub reports: Vec<report::Kind>,
    pub history: Vec<u64>,
    next_tick: Instant,
    next_heartbeat: Instant,
}

enum Delivery {
    Message { from: usize, message: Message },
    PeerRevision { from: usize, number: revision::Number, digest: revision::Digest, age: Span },
    Platform(Result<Answer, Failure>),
}

/// Replicas, the links between them and the platform. Messages between hosts on
/// different `sides` are lost; revisions in `rejected` are refused by all hosts.
pub struct Fleet {
    pub now: Instant,
    pub hosts: Vec<Host>,
    pub platform: Platform,
    pub loss: f64,
    pub duplication: f64,
    pub delay: (Span, Span),
    pub sides: Vec<u8>,
    pub rejected: BTreeSet<u64>,
    pub corrupt_senders: BTreeSet<usize>,
    pub rng: Pcg32,
    in_flight: BTreeMap<(Instant, u64), (usize, Delivery)>,
    last_delivery: u64,
}

impl Fleet {
    /// Creates `count` replicas in `domains` failure domains, with the readers of each
    /// domain, one verifier, and neighbours on rings as membership chooses them.
    pub fn new(count: usize, domains: usize, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let now = Instant(1_000_000);
        let mut hosts = Vec::new();
        for index in 0..count {
            hosts.push(Host {
                replica: replica(index, seed * 10_000 + index as u64, now),
                running: true,
                neighbours: Vec::new(),
                platform_reachable: true,
                sent: 0,
                bytes: 0,
                reports: Vec::new(),
                history: Vec::new(),
                next_tick: now + Span(rng.random_range(0..TICK.0)),
                next_heartbeat: now + Span(rng.random_range(0..HEARTBEAT.0)),
            });
        }
        let mut fleet = Fleet {
            now,
            hosts,
            platform: Platform::new(1, files(1)),
            loss: 0.0,
            duplication: 0.0,
            delay: (Span(300), Span(700)),
            sides: vec![0; count],
            rejected: BTreeSet::new(),
            corrupt_senders: BTreeSet::new(),
            rng,
            in_flight: BTreeMap::new(),
            last_delivery: 0,
        };
        fleet.connect_hosts(domains);
        fleet
    }

    /// Creates a fleet and runs it until revision 1 is in force everywhere.
    pub fn settled(count: usize, domains: usize, seed: u64) -> Self {
        let mut fleet = Fleet::new(count, domains, seed);
        let settled = fleet.run_until(Span::seconds(10), |fleet| fleet.all_at(1));
        assert!(settled.is_some(), "revision 1 is not in force everywhere");
        fleet.run(Span::seconds(2));
        fleet
    }

    fn connect_hosts(&mut self, domains: usize) {
        let count = self.hosts.len();
        let mut links = vec![BTreeSet::new(); count];
        let mut ring: Vec<usize> = (0..count).collect();
        shuffle(&mut ring, &mut self.rng);
        for position in 0..count {
            connect(&mut links, ring[position], ring[(position + 1) % count]);
        }
        for domain in 0..domains {
            let mut inside: Vec<usize> = (domain..count).step_by(domains).collect();
            shuffle(&mut inside, &mut self.rng);
            for position in 0..inside.len() {
                for step in 1..=2 {
                    connect(&mut links, inside[position], inside[(position + step) % inside.len()]);
                }
            }
            for &reader in inside.iter().take(READERS_PER_DOMAIN) {
                self.event(reader, Event::Reader(true));
            }
            if domain == 0 {
                self.event(inside[0], Event::Verifier(true));
            }
        }
        for (index, peers) in links.into_iter().enumerate() {
            let ids = peers.iter().map(|peer| id(*peer)).collect();
            self.hosts[index].neighbours = peers.into_iter().collect();
            self.event(index, Event::Neighbours(ids));
            self.event(index, Event::LiveCount(count));
        }
    }

    pub fn publish(&mut self, number: u64) {
        self.publish_files(number, files(number));
    }

    pub fn publish_files(&mut self, number: u64, files: Files) {
        self.platform.number = number;
        self.platform.files = files;
        self.end_waiting_reads();
    }

    /// Cuts one replica off from the platform, including its open calls.
    pub fn cut_platform(&mut self, index: usize) {
        self.hosts[index].platform_reachable = false;
        if self.platform.drop_calls(index) {
            self.deliver_later(index, ANSWER_DELAY, Delivery::Platform(Err(Failure::Unreachable)));
        }
    }

    /// Makes the platform fail, or answer again if `failure` is `None`.
    pub fn fail_platform(&mut self, failure: Option<Failure>) {
        self.platform.failure = failure;
        self.end_waiting_reads();
    }

    pub fn restart(&mut self, index: usize, seed: u64) {
        let reader = self.hosts[index].replica.is_reader();
        let peers = self.hosts[index].neighbours.iter().map(|peer| id(*peer)).collect();
        let host = &mut self.hosts[index];
        host.replica = replica(index, seed, self.now);
        host.running = true;
        host.history.clear();
        host.next_tick = self.now;
        self.platform.drop_calls(index);
        self.in_flight.retain(|_, (to, _)| *to != index);
        self.event(index, Event::Reader(reader));
        self.event(index, Event::Neighbours(peers));
        self.event(index, Event::LiveCount(self.hosts.len()));
    }

    pub fn event(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.hosts[index].replica.handle(self.now, event, &mut actions);
        for action in actions {
            self.apply_action(index, action);
        }
    }

    fn apply_action(&mut self, index: usize, action: Action) {
        match action {
            Action::Read { after, wait } => self.read(index, after.0, wait),
            Action::Send { to, message } => self.send(index, &to, message),
            Action::Propose(set) => {
                let accepted = !self.rejected.contains(&set.number.0);
                self.event(index, Event::Verdict { number: set.number, accepted });
                if accepted {
                    self.hosts[index].history.push(set.number.0);
                }
            }
            Action::Report(kind) => self.hosts[index].reports.push(kind),
        }
    }

    fn read(&mut self, index: usize, after: u64, wait: Span) {
        if !self.hosts[index].platform_reachable {
            self.platform.calls += 1;
            self.deliver_later(index, ANSWER_DELAY, Delivery::Platform(Err(Failure::Unreachable)));
            return;
        }
        if let Some((host, answer)) = self.platform.read(index, after, wait, self.now) {
            self.deliver_later(host, ANSWER_DELAY, Delivery::Platform(answer));
        }
    }

    fn send(&mut self, from: usize, to: &instance::Id, mut message: Message) {
        let to: usize = to.as_str()[2..].parse().expect("an index");
        self.hosts[from].sent += 1;
        self.hosts[from].bytes += message.encoded_len() as u64 + OVERHEAD;
        if self.sides[from] != self.sides[to] {
            return;
        }
        if self.corrupt_senders.contains(&from) {
            corrupt(&mut message);
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = Span(self.rng.random_range(self.delay.0.0..=self.delay.1.0));
            let message = message.clone();
            self.deliver_later(to, delay, Delivery::Message { from, message });
        }
    }

    fn deliver_later(&mut self, to: usize, delay: Span, delivery: Delivery) {
        self.last_delivery += 1;
        self.in_flight.insert((self.now + delay, self.last_delivery), (to, delivery));
    }

    pub fn run(&mut self, span: Span) {
        self.run_until(span, |_| false);
    }

    /// Runs until `done` holds, at most for `span`, and returns the time it took.
    pub fn run_until(&mut self, span: Span, done: impl Fn(&Fleet) -> bool) -> Option<Span> {
        let start = self.now;
        let end = self.now + span;
        while self.now < end {
            let until = end.min(self.now + TICK);
            self.run_step(until);
            if done(self) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    fn run_step(&mut self, until: Instant) {
        let mut ticks = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            if host.running && host.next_tick < until {
                ticks.push((host.next_tick.max(self.now), index));
            }
        }
        ticks.sort();
        for (at, index) in ticks {
            self.deliver(at);
            self.now = at;
            self.hosts[index].next_tick = at + TICK;
            self.event(index, Event::Tick);
            self.heartbeat(index);
        }
        self.deliver(until);
        self.now = until;
        self.end_waiting_reads();
    }

    fn heartbeat(&mut self, index: usize) {
        if self.now < self.hosts[index].next_heartbeat {
            return;
        }
        self.hosts[index].next_heartbeat = self.now + HEARTBEAT;
        let replica = &self.hosts[index].replica;
        let (number, digest) = (replica.in_force().number, replica.in_force().digest);
        let age = replica.age(self.now);
        for peer in self.hosts[index].neighbours.clone() {
            let lost = self.rng.random_bool(self.loss);
            if lost || self.sides[index] != self.sides[peer] {
                continue;
            }
            let delay = Span(self.rng.random_range(self.delay.0.0..=self.delay.1.0));
            self.deliver_later(
                peer,
                delay,
                Delivery::PeerRevision { from: index, number, digest, age },
            );
        }
    }

    fn end_waiting_reads(&mut self) {
        for (host, answer) in self.platform.end_waiting_reads(self.now) {
            self.deliver_later(host, ANSWER_DELAY, Delivery::Platform(answer));
        }
    }

    fn deliver(&mut self, until: Instant) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > until {
                return;
            }
            let ((at, _), (to, delivery)) = entry.remove_entry();
            self.now = self.now.max(at);
            if !self.hosts[to].running {
                continue;
            }
            let event = match delivery {
                Delivery::Message { from, message } => Event::Received { from: id(from), message },
                Delivery::PeerRevision { from, number, digest, age } => {
                    Event::PeerRevision { from: id(from), number, digest, age }
                }
                Delivery::Platform(answer) => Event::Platform(answer),
            };
            self.event(to, event);
        }
    }

    pub fn revision_at(&self, index: usize) -> u64 {
        self.hosts[index].replica.in_force().number.0
    }

    /// Returns whether revision `number` is in force at every running host.
    pub fn all_at(&self, number: u64) -> bool {
        self.hosts
            .iter()
            .all(|host| !host.running || host.replica.in_force().number == revision::Number(number))
    }

    pub fn reported(&self, wanted: impl Fn(&report::Kind) -> bool) -> usize {
        self.hosts.iter().flat_map(|host| &host.reports).filter(|kind| wanted(kind)).count()
    }
}

fn shuffle(indices: &mut [usize], rng: &mut Pcg32) {
    for index in (1..indices.len()).rev() {
        indices.swap(index, rng.random_range(0..=index));
    }
}

fn connect(links: &mut [BTreeSet<usize>], first: usize, second: usize) {
    if first == second {
        return;
    }
    links[first].insert(second);
    links[second].insert(first);
}

fn corrupt(message: &mut Message) {
    use mustardway_spread::message::Body;
    let Some(Body::Part(part)) = &mut message.body else { return };
    let mut bytes = part.bytes.to_vec();
    if let Some(last) = bytes.last_mut() {
        *last ^= 1;
    }
    part.bytes = bytes.into();
}
