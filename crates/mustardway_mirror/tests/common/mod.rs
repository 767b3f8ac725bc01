//! A simulated fleet of instances with a platform and the links between them.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use mustardway_mirror::message::{Message, Push};
use mustardway_mirror::node::{Action, Answer, Event, Failure, Node, Query, Ticket};
use mustardway_mirror::publication::{
    Change, Configuration, Item, Key, Registration, Repeat, Route, Share, Update,
};
use mustardway_mirror::topology::Topology;
use mustardway_types::revision::{Era, Number, Version};
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, instance, target};

/// Step of the simulated clock and delay of every message and call.
pub const STEP: Span = Span::millis(10);

pub fn instance(number: usize) -> instance::Id {
    format!("i-{number:03}").parse().expect("well formed")
}

pub fn domain(number: usize) -> domain::Name {
    format!("d-{number}").parse().expect("well formed")
}

pub fn target(number: u64) -> target::Id {
    format!("t-{number:08x}").parse().expect("well formed")
}

pub fn version(era: u64, number: u64) -> Version {
    Version { era: Era(era), number: Number(number) }
}

pub fn put(number: u64, leaving: bool) -> Change {
    Change::Put(Item::Target(Registration {
        id: target(number),
        key: number,
        service: "orders".parse().expect("well formed"),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 8_000),
        domain: domain(0),
        slots: 2,
        leaving,
        cold: Span::ZERO,
        born: None,
    }))
}

/// Returns a registration that stays cold for `millis` milliseconds.
pub fn put_cold(number: u64, millis: u64) -> Change {
    let Change::Put(Item::Target(registration)) = put(number, false) else {
        unreachable!("put returns a target")
    };
    Change::Put(Item::Target(Registration { cold: Span::millis(millis), ..registration }))
}

pub fn configuration(version: u64) -> Change {
    let configuration = Configuration { version, ..Configuration::default() };
    Change::Put(Item::Configuration(Arc::new(configuration)))
}

/// Returns a configuration with `routes` routes.
pub fn configuration_with(version: u64, routes: u16) -> Change {
    let mut configuration = Configuration { version, ..Configuration::default() };
    for port in 0..routes {
        configuration.routes.push(Route {
            name: "r".into(),
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
            shares: vec![Share { service: "orders".parse().expect("well formed"), weight: 1 }],
            repeat: Repeat::Free,
            urgency: 0,
            aim: Span::millis(100),
            limit: Span::seconds(1),
        });
    }
    Change::Put(Item::Configuration(Arc::new(configuration)))
}

/// Answers the read in flight of an instance.
pub fn answer(node: &mut Node, now: Instant, answer: Result<Answer, Failure>) -> Vec<Action> {
    let ticket = node.reading().expect("a read is in flight");
    let mut actions = Vec::new();
    node.handle(now, Event::Answer(ticket, answer), &mut actions);
    actions
}

/// A simulated platform with its published items and their changes.
#[derive(Default)]
pub struct Platform {
    pub era: u64,
    pub number: u64,
    pub log: Vec<Update>,
    pub items: BTreeMap<Key, Update>,
    /// Changes up to this number are no longer in the log.
    pub compacted: u64,
    pub calls: usize,
    /// Number of answered queries for everything.
    pub full_reads: usize,
    /// Maximum number of bytes of changes that an instance takes in one answer.
    pub changes_max: Option<usize>,
}

impl Platform {
    pub fn publish(&mut self, change: Change) {
        self.number += 1;
        let update = Update { number: Number(self.number), change };
        match &update.change {
            Change::Put(item) => {
                self.items.insert(item.key(), update.clone());
            }
            Change::Removed(key) => {
                self.items.remove(key);
            }
        }
        self.log.push(update);
    }

    /// Restores the state as of `number`, which begins a new era.
    pub fn restore(&mut self, number: u64) {
        let kept: Vec<_> =
            self.log.iter().filter(|update| update.number.0 <= number).cloned().collect();
        *self = Platform { era: self.era + 1, calls: self.calls, ..Platform::default() };
        for update in kept {
            self.publish(update.change);
        }
    }

    pub fn answer(&mut self, query: Query) -> Result<Answer, Failure> {
        self.calls += 1;
        self.full_reads += usize::from(query == Query::Full);
        let version = version(self.era, self.number);
        match query {
            Query::Full => Ok(Answer::Full(version, self.items.values().cloned().collect())),
            Query::Since { after, .. } if after.0 < self.compacted || after.0 > self.number => {
                Err(Failure::Forgotten)
            }
            Query::Since { after, .. } => {
                let changes = self.log.iter().filter(|update| update.number > after);
                let answer = Answer::Since(version, changes.cloned().collect());
                match self.changes_max.is_some_and(|most| answer_bytes(&answer) > most) {
                    true => Err(Failure::TooLarge),
                    false => Ok(answer),
                }
            }
        }
    }
}

/// Returns the size of an answer of the platform, which holds changes as text.
fn answer_bytes(answer: &Answer) -> usize {
    const TEXT_PER_ENCODED: usize = 6;
    let (Answer::Full(_, updates) | Answer::Since(_, updates)) = answer;
    let version = Version::default();
    TEXT_PER_ENCODED * Push::new(version, version, 0, updates).size()
}

/// A simulated instance.
pub struct Host {
    pub node: Node,
    pub domain: usize,
    pub running: bool,
    /// All reported changes, in order.
    pub changes: Vec<Change>,
    /// Reported targets that departed before the instance started.
    pub departed: BTreeSet<target::Id>,
    /// Reported eras of restored platforms.
    pub eras: Vec<Era>,
}

enum Delivery {
    Message { from: usize, message: Message },
    Call(Ticket, Query),
    Answer(Ticket, Result<Answer, Failure>),
}

/// The links of the instances. Each carries one message after the other.
#[derive(Default)]
struct Links {
    /// Bytes per second in each direction, or `None` for no limit.
    bytes_per_second: Option<u64>,
    outbound_idle_at: BTreeMap<usize, Instant>,
    inbound_idle_at: BTreeMap<usize, Instant>,
}

impl Links {
    /// Returns the time at which `bytes` that an instance sends have left its link.
    fn send(&mut self, from: usize, bytes: usize, now: Instant) -> Instant {
        let time = self.transmit_time(bytes);
        let idle_at = self.outbound_idle_at.entry(from).or_default();
        *idle_at = (*idle_at).max(now) + time;
        *idle_at
    }

    /// Returns the time at which `bytes` that reach the link of an instance at `at` have
    /// passed it.
    fn receive(&mut self, to: usize, bytes: usize, at: Instant) -> Instant {
        let time = self.transmit_time(bytes);
        let idle_at = self.inbound_idle_at.entry(to).or_default();
        *idle_at = (*idle_at).max(at) + time;
        *idle_at
    }

    fn transmit_time(&self, bytes: usize) -> Span {
        let micros = |rate| Span(bytes as u64 * 1_000_000 / rate);
        self.bytes_per_second.map_or(Span::ZERO, micros)
    }
}

/// A fleet of simulated instances, the platform and the links between them.
pub struct Fleet {
    pub now: Instant,
    pub platform: Platform,
    pub hosts: Vec<Host>,
    /// Instances that get no answer from the platform.
    pub denied: BTreeSet<usize>,
    /// Failure domains that can reach neither the others nor the platform.
    pub partitioned: BTreeSet<usize>,
    /// Number of bytes that each instance has sent.
    pub sent: BTreeMap<usize, usize>,
    /// Number of bytes that each instance has received from the others.
    pub received: BTreeMap<usize, usize>,
    links: Links,
    deliveries: Vec<(Instant, usize, Delivery)>,
}

impl Fleet {
    /// Creates `count` instances in `domains` failure domains, all of which know
    /// each other.
    pub fn new(count: usize, domains: usize) -> Self {
        let now = Instant::default() + Span::seconds(3_600);
        let mut hosts = Vec::new();
        for number in 0..count {
            let node = Node::new(number as u64 + 1, now);
            hosts.push(Host {
                node,
                domain: number % domains,
                running: true,
                changes: Vec::new(),
                departed: BTreeSet::new(),
                eras: Vec::new(),
            });
        }
        let mut fleet = Fleet {
            now,
            platform: Platform::default(),
            hosts,
            denied: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            sent: BTreeMap::new(),
            received: BTreeMap::new(),
            links: Links::default(),
            deliveries: Vec::new(),
        };
        fleet.platform.publish(configuration(1));
        fleet.update_topologies();
        fleet
    }

    /// Limits the links of all instances to `bytes_per_second` in each direction.
    pub fn limit_links(&mut self, bytes_per_second: u64) {
        self.links.bytes_per_second = Some(bytes_per_second);
    }

    /// Publishes a configuration with `routes` routes, whose version follows the
    /// published one.
    pub fn publish_next_configuration(&mut self, routes: u16) {
        let published = self.platform.items.get(&Key::Configuration);
        let version = published.map_or(0, |update| match &update.change {
            Change::Put(Item::Configuration(configuration)) => configuration.version,
            _ => unreachable!("the item is a configuration"),
        });
        self.platform.publish(configuration_with(version + 1, routes));
    }

    /// Updates the topology of every instance from the running and reachable ones.
    pub fn update_topologies(&mut self) {
        let names: Vec<_> = (0..self.hosts.len()).map(instance).collect();
        let domains: Vec<_> = self.hosts.iter().map(|host| domain(host.domain)).collect();
        for number in 0..self.hosts.len() {
            let live = (0..names.len()).filter(|other| self.hosts[*other].running);
            let live = live.filter(|other| self.is_linked(number, *other));
            let live = live.map(|other| (&names[other], &domains[other]));
            let topology = Topology::new(&names[number], &domains[number], live);
            self.handle_event(number, Event::Topology(topology));
        }
    }

    fn is_linked(&self, first: usize, second: usize) -> bool {
        let (first, second) = (self.hosts[first].domain, self.hosts[second].domain);
        first == second
            || !(self.partitioned.contains(&first) || self.partitioned.contains(&second))
    }

    /// Returns the instance with fleet rank 0, which reads the platform.
    pub fn reader(&self) -> usize {
        let rank = |number: &usize| {
            let names: Vec<_> = (0..self.hosts.len()).map(instance).collect();
            let home = domain(0);
            let live = names.iter().map(|name| (name, &home));
            Topology::new(&names[*number], &home, live).fleet_rank
        };
        (0..self.hosts.len()).min_by_key(rank).expect("there are instances")
    }

    /// Restarts an instance with an empty replica.
    pub fn restart(&mut self, number: usize) {
        self.hosts[number].node = Node::new(number as u64 + 1_000, self.now);
        self.hosts[number].running = true;
        self.hosts[number].changes.clear();
        self.hosts[number].departed.clear();
        self.update_topologies();
    }

    pub fn handle_event(&mut self, number: usize, event: Event) {
        if !self.hosts[number].running {
            return;
        }
        let mut actions = Vec::new();
        self.hosts[number].node.handle(self.now, event, &mut actions);
        let at = self.now + STEP;
        for action in actions {
            match action {
                Action::Read(ticket, query) => {
                    self.deliveries.push((at, number, Delivery::Call(ticket, query)));
                }
                Action::Send { to, message } => {
                    let bytes = prost::Message::encoded_len(&message);
                    *self.sent.entry(number).or_default() += bytes;
                    let index = (0..self.hosts.len()).find(|other| instance(*other) == to);
                    let to = index.expect("the instance exists");
                    *self.received.entry(to).or_default() += bytes;
                    let sent = self.links.send(number, bytes, self.now);
                    let at = self.links.receive(to, bytes, sent + STEP);
                    self.deliveries.push((at, to, Delivery::Message { from: number, message }));
                }
                Action::Changed(changes) => self.hosts[number].changes.extend(changes),
                Action::Departed(departures) => {
                    let names = departures.into_iter().map(|it| it.registration.id);
                    self.hosts[number].departed.extend(names);
                }
                Action::Restored(era) => self.hosts[number].eras.push(era),
                Action::Platform(_)
                | Action::Pushed(_)
                | Action::Undecodable { .. }
                | Action::OlderConfiguration(_) => {}
            }
        }
    }

    /// Advances the simulation by `millis` milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + Span::millis(millis);
        while self.now < end {
            self.now = self.now + STEP;
            let now = self.now;
            let (due, later) =
                std::mem::take(&mut self.deliveries).into_iter().partition(|(at, ..)| *at <= now);
            self.deliveries = later;
            for (_, number, delivery) in due {
                self.deliver(number, delivery);
            }
            for number in 0..self.hosts.len() {
                self.handle_event(number, Event::Tick);
            }
        }
    }

    fn deliver(&mut self, number: usize, delivery: Delivery) {
        match delivery {
            Delivery::Message { from, message } => {
                if self.is_linked(from, number) {
                    self.handle_event(number, Event::Received { from: instance(from), message });
                }
            }
            Delivery::Call(ticket, query) => {
                let is_partitioned = self.partitioned.contains(&self.hosts[number].domain);
                let answer = if is_partitioned || self.denied.contains(&number) {
                    self.platform.calls += 1;
                    Err(Failure::Timeout)
                } else {
                    self.platform.answer(query)
                };
                let bytes = answer.as_ref().map_or(0, answer_bytes);
                let at = self.links.receive(number, bytes, self.now + STEP);
                self.deliveries.push((at, number, Delivery::Answer(ticket, answer)));
            }
            Delivery::Answer(ticket, answer) => {
                self.handle_event(number, Event::Answer(ticket, answer));
            }
        }
    }

    /// Returns the age of the oldest replica among the running instances.
    pub fn oldest(&self) -> Span {
        let running = self.hosts.iter().filter(|host| host.running);
        let ages = running.map(|host| host.node.age(self.now).unwrap_or(Span(u64::MAX)));
        ages.max().expect("there are instances")
    }

    /// Returns whether an instance's replica equals the published state.
    pub fn is_current(&self, number: usize) -> bool {
        let replica = self.hosts[number].node.replica();
        let known: Vec<_> = replica.items().cloned().collect();
        let published = self.platform.items.values().map(|update| match &update.change {
            Change::Put(item) => item.clone(),
            Change::Removed(_) => unreachable!("items holds no removals"),
        });
        known == published.collect::<Vec<_>>()
    }
}
