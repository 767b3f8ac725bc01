//! A simulated fleet: delivers messages between nodes, with delay, loss,
//! duplication and cut links.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use mustardway_membership::action::Action;
use mustardway_membership::event::Event;
use mustardway_membership::member::{Member, State};
use mustardway_membership::message::{Body, ENTRIES_MAX, Entry, Gossip, Message};
use mustardway_membership::node::Node;
use mustardway_membership::roster;
use mustardway_membership::settings::Settings;
use mustardway_types::instance;
use mustardway_types::time::{Instant, Span};
use prost::Message as _;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Time between two ticks of a node.
pub const TICK: Span = Span::millis(50);
/// Bytes of the frame length and of IP and TCP headers with timestamps, counted
/// for each message.
pub const OVERHEAD: u64 = 56;

/// A node and the state that the simulation keeps for it. `inbox` holds the
/// messages that arrive while the host is stopped.
pub struct Host {
    pub node: Node,
    pub running: bool,
    pub sent: u64,
    pub bytes: u64,
    next_tick: Instant,
    inbox: Vec<(instance::Id, Message)>,
}

/// The inbound link of a host that receives other data as well. From `start` on for
/// `fill`, it gets `load` times the data that it carries, and keeps them in order.
pub struct FullLink {
    pub host: usize,
    pub start: Instant,
    pub fill: Span,
    pub load: u64,
}

impl FullLink {
    /// Returns the time at which a message that reaches the link at `at` has passed it.
    fn passed_at(&self, at: Instant) -> Instant {
        if at < self.start {
            return at;
        }
        let filled = at.since(self.start).0.min(self.fill.0);
        at.max(self.start + Span(filled * self.load))
    }
}

/// A message that is being delivered.
struct InFlight {
    to: usize,
    from: usize,
    message: Message,
}

/// Nodes and the links between them. Messages between hosts on different `sides`
/// and over `cut_links` are lost.
pub struct Fleet {
    pub now: Instant,
    pub hosts: Vec<Host>,
    pub index: BTreeMap<instance::Id, usize>,
    pub loss: f64,
    pub duplication: f64,
    pub delay: (Span, Span),
    pub cut_links: BTreeSet<(usize, usize)>,
    pub sides: Vec<u8>,
    pub full_link: Option<FullLink>,
    pub rng: Pcg32,
    in_flight: BTreeMap<(Instant, u64), InFlight>,
    last_flight: u64,
}

pub fn id(index: usize) -> instance::Id {
    format!("i-{index:04}").parse().expect("well formed")
}

pub fn member(index: usize, domains: usize, incarnation: u64) -> Member {
    Member {
        id: id(index),
        domain: format!("zone-{}", index % domains).parse().expect("well formed"),
        address: format!("10.0.{}.{}:7000", index / 250, index % 250 + 1)
            .parse()
            .expect("well formed"),
        incarnation: instance::Incarnation(incarnation),
    }
}

pub fn entry(index: usize, domains: usize) -> roster::Entry {
    let member = member(index, domains, 0);
    roster::Entry { id: member.id, domain: member.domain, address: member.address, leaving: false }
}

pub fn full_roster(count: usize, domains: usize) -> Vec<roster::Entry> {
    (0..count).map(|index| entry(index, domains)).collect()
}

/// The full entry of a member in the incarnation of [`Fleet::started`], as gossiped
/// by a peer.
pub fn announced(index: usize, domains: usize) -> Entry {
    let member = member(index, domains, 1_000);
    let ip = match member.address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    Entry {
        id: member.id.to_string(),
        domain: member.domain.to_string(),
        ip,
        port: u32::from(member.address.port()),
        incarnation: 1_000,
        state: 0,
        raised: 0,
    }
}

impl Fleet {
    pub fn new(seed: u64) -> Self {
        Fleet {
            now: Instant(1_000_000),
            hosts: Vec::new(),
            index: BTreeMap::new(),
            loss: 0.0,
            duplication: 0.0,
            delay: (Span(300), Span(700)),
            cut_links: BTreeSet::new(),
            sides: Vec::new(),
            full_link: None,
            rng: Pcg32::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            last_flight: 0,
        }
    }

    /// Starts `count` nodes in `domains` failure domains, each with a full roster.
    pub fn started(count: usize, domains: usize, seed: u64) -> Self {
        let mut fleet = Fleet::new(seed);
        let roster = full_roster(count, domains);
        for index in 0..count {
            fleet.add(member(index, domains, 1_000), seed);
            fleet.event(index, Event::Roster(roster.clone()));
        }
        fleet
    }

    /// Starts a fleet and runs it until all nodes agree that all are live.
    pub fn settled(count: usize, domains: usize, seed: u64) -> Self {
        let mut fleet = Fleet::started(count, domains, seed);
        let settled = fleet.run_until(Span::seconds(120), Fleet::agrees);
        assert!(settled.is_some(), "no agreement after the start");
        fleet.run(Span::seconds(3));
        fleet
    }

    /// Starts a fleet whose nodes get the entries of all nodes before the first
    /// tick.
    pub fn warm(count: usize, domains: usize, seed: u64) -> Self {
        let mut fleet = Fleet::started(count, domains, seed);
        let mut messages = Vec::new();
        for chunk in (0..count).collect::<Vec<_>>().chunks(ENTRIES_MAX) {
            let entries = chunk.iter().map(|index| announced(*index, domains)).collect();
            messages.push(Message { body: Some(Body::Gossip(Gossip { entries })) });
        }
        for index in 0..count {
            for message in &messages {
                let from = id((index + 1) % count);
                fleet.event(index, Event::Received { from, message: message.clone() });
            }
        }
        fleet.run(Span::seconds(5));
        assert!(fleet.agrees(), "no agreement after a warm start");
        fleet
    }

    pub fn add(&mut self, member: Member, seed: u64) -> usize {
        let index = self.hosts.len();
        self.index.insert(member.id.clone(), index);
        let next_tick = self.now + Span(self.rng.random_range(0..TICK.0));
        let node = Node::new(Settings::new(member, seed + index as u64), self.now);
        let inbox = Vec::new();
        self.hosts.push(Host { node, running: true, sent: 0, bytes: 0, next_tick, inbox });
        self.sides.push(0);
        index
    }

    pub fn restart(&mut self, index: usize, member: Member, seed: u64) {
        let host = &mut self.hosts[index];
        host.node = Node::new(Settings::new(member, seed), self.now);
        host.running = true;
        host.inbox.clear();
        host.next_tick = self.now;
    }

    pub fn event(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.hosts[index].node.handle(self.now, event, &mut actions);
        self.apply_actions(index, actions);
    }

    /// Stops a host. Messages that arrive are kept in case it is resumed.
    pub fn stop(&mut self, index: usize) {
        self.hosts[index].running = false;
    }

    /// Resumes a stopped host. It handles the messages that have arrived before its
    /// next tick.
    pub fn resume(&mut self, index: usize) {
        self.hosts[index].running = true;
        self.hosts[index].next_tick = self.now;
        for (from, message) in std::mem::take(&mut self.hosts[index].inbox) {
            self.event(index, Event::Received { from, message });
        }
    }

    pub fn cut_link(&mut self, first: usize, second: usize) {
        self.cut_links.insert((first, second));
        self.cut_links.insert((second, first));
    }

    fn apply_actions(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { to, message, .. } = action else { continue };
            self.hosts[from].sent += 1;
            self.hosts[from].bytes += message.encoded_len() as u64 + OVERHEAD;
            let Some(&to) = self.index.get(&to) else { continue };
            if self.sides[from] != self.sides[to] || self.cut_links.contains(&(from, to)) {
                continue;
            }
            self.deliver_later(from, to, &message);
        }
    }

    fn deliver_later(&mut self, from: usize, to: usize, message: &Message) {
        let copies = 1 + usize::from(self.rng.random_bool(self.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = Span(self.rng.random_range(self.delay.0.0..=self.delay.1.0));
            self.last_flight += 1;
            let flight = InFlight { to, from, message: message.clone() };
            let at = match &self.full_link {
                Some(link) if link.host == to => link.passed_at(self.now + delay),
                _ => self.now + delay,
            };
            self.in_flight.insert((at, self.last_flight), flight);
        }
    }

    /// Runs the fleet for `span`.
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
        let mut ticks: Vec<(Instant, usize)> = Vec::new();
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
        }
        self.deliver(until);
        self.now = until;
    }

    fn deliver(&mut self, until: Instant) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > until {
                return;
            }
            let ((at, _), flight) = entry.remove_entry();
            self.now = self.now.max(at);
            let from = self.hosts[flight.from].node.me().member.id.clone();
            let host = &mut self.hosts[flight.to];
            if !host.running {
                host.inbox.push((from, flight.message));
                continue;
            }
            self.event(flight.to, Event::Received { from, message: flight.message });
        }
    }

    pub fn running(&self) -> impl Iterator<Item = (usize, &Host)> {
        self.hosts.iter().enumerate().filter(|(_, host)| host.running)
    }

    pub fn sees(&self, viewer: usize, subject: usize) -> Option<State> {
        self.hosts[viewer].node.state(&id(subject))
    }

    pub fn sees_live(&self, viewer: usize, subject: usize) -> bool {
        self.sees(viewer, subject).is_some_and(State::is_live)
    }

    /// Returns whether the live list of every running host is exactly the running
    /// hosts.
    pub fn agrees(&self) -> bool {
        let mut running: Vec<&instance::Id> = Vec::new();
        for (_, host) in self.running() {
            running.push(&host.node.me().member.id);
        }
        running.sort();
        for (_, host) in self.running() {
            let live = host.node.live().map(|record| &record.member.id);
            if !live.eq(running.iter().copied()) {
                return false;
            }
        }
        true
    }

    /// Returns whether no running host other than `subject` has `subject` on its
    /// live list.
    pub fn all_see_dead(&self, subject: usize) -> bool {
        self.running().all(|(viewer, _)| viewer == subject || !self.sees_live(viewer, subject))
    }
}
