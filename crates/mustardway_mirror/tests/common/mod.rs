//! Instances, a platform and the links between them.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use mustardway_mirror::message::Message;
use mustardway_mirror::node::{Action, Answer, Event, Failure, Node, Query};
use mustardway_mirror::publication::{
    Change, Configuration, Item, Key, Registration, Repeat, Route, Share, Update,
};
use mustardway_mirror::topology::Topology;
use mustardway_types::revision::Number;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, instance, target};

/// Time between two steps of the clock, and the delay of every message and call.
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

/// A target that stays cold for so many milliseconds.
pub fn put_cold(number: u64, millis: u64) -> Change {
    let Change::Put(Item::Target(registration)) = put(number, false) else {
        unreachable!("a target")
    };
    Change::Put(Item::Target(Registration { cold: Span::millis(millis), ..registration }))
}

pub fn configuration(version: u64) -> Change {
    let configuration = Configuration { version, ..Configuration::default() };
    Change::Put(Item::Configuration(Arc::new(configuration)))
}

/// A configuration with `routes` routes.
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

/// What is published, with its changes.
#[derive(Default)]
pub struct Platform {
    pub number: u64,
    pub log: Vec<Update>,
    pub items: BTreeMap<Key, Update>,
    /// Changes up to this number are no longer known.
    pub forgotten: u64,
    pub calls: usize,
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

    pub fn answer(&mut self, query: Query) -> Result<Answer, Failure> {
        self.calls += 1;
        let number = Number(self.number);
        match query {
            Query::Full => Ok(Answer::Full(number, self.items.values().cloned().collect())),
            Query::Since { after, .. } if after.0 < self.forgotten => Err(Failure::Forgotten),
            Query::Since { after, .. } => {
                let changes = self.log.iter().filter(|update| update.number > after);
                Ok(Answer::Since(number, changes.cloned().collect()))
            }
        }
    }
}

/// One instance.
pub struct Host {
    pub node: Node,
    pub domain: usize,
    pub running: bool,
    /// Everything it was told of changes, in order.
    pub changes: Vec<Change>,
    /// Targets that it was told of that departed before its start.
    pub departed: BTreeSet<target::Id>,
}

enum Parcel {
    Message { from: usize, message: Message },
    Call(Query),
    Answer(Result<Answer, Failure>),
}

/// Instances, the platform and the links between them.
pub struct Fleet {
    pub now: Instant,
    pub platform: Platform,
    pub hosts: Vec<Host>,
    /// Instances that the platform does not answer.
    pub refused: BTreeSet<usize>,
    /// Failure domains that are cut off from the others and the platform.
    pub cut: BTreeSet<usize>,
    /// Bytes sent by each instance.
    pub sent: BTreeMap<usize, usize>,
    parcels: Vec<(Instant, usize, Parcel)>,
}

impl Fleet {
    /// Instances in `domains` failure domains, all of which know each other.
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
            });
        }
        let mut fleet = Fleet {
            now,
            platform: Platform::default(),
            hosts,
            refused: BTreeSet::new(),
            cut: BTreeSet::new(),
            sent: BTreeMap::new(),
            parcels: Vec::new(),
        };
        fleet.platform.publish(configuration(1));
        fleet.settle();
        fleet
    }

    /// Tells every instance who lives.
    pub fn settle(&mut self) {
        let names: Vec<_> = (0..self.hosts.len()).map(instance).collect();
        let domains: Vec<_> = self.hosts.iter().map(|host| domain(host.domain)).collect();
        for number in 0..self.hosts.len() {
            let live = (0..names.len()).filter(|other| self.hosts[*other].running);
            let live = live.filter(|other| self.is_linked(number, *other));
            let live = live.map(|other| (&names[other], &domains[other]));
            let topology = Topology::new(&names[number], &domains[number], live);
            self.tell(number, Event::Topology(topology));
        }
    }

    fn is_linked(&self, first: usize, second: usize) -> bool {
        let (first, second) = (self.hosts[first].domain, self.hosts[second].domain);
        first == second || !(self.cut.contains(&first) || self.cut.contains(&second))
    }

    /// The instance that reads for all.
    pub fn reader(&self) -> usize {
        let rank = |number: &usize| {
            let names: Vec<_> = (0..self.hosts.len()).map(instance).collect();
            let home = domain(0);
            let live = names.iter().map(|name| (name, &home));
            Topology::new(&names[*number], &home, live).fleet_rank
        };
        (0..self.hosts.len()).min_by_key(rank).expect("there are instances")
    }

    /// Starts an instance anew that knows nothing.
    pub fn restart(&mut self, number: usize) {
        self.hosts[number].node = Node::new(number as u64 + 1_000, self.now);
        self.hosts[number].running = true;
        self.hosts[number].changes.clear();
        self.hosts[number].departed.clear();
        self.settle();
    }

    pub fn tell(&mut self, number: usize, event: Event) {
        if !self.hosts[number].running {
            return;
        }
        let mut actions = Vec::new();
        self.hosts[number].node.handle(self.now, event, &mut actions);
        let at = self.now + STEP;
        for action in actions {
            match action {
                Action::Read(query) => self.parcels.push((at, number, Parcel::Call(query))),
                Action::Send { to, message } => {
                    let bytes = prost::Message::encoded_len(&message);
                    *self.sent.entry(number).or_default() += bytes;
                    let names = (0..self.hosts.len()).find(|other| instance(*other) == to);
                    let to = names.expect("a known instance");
                    self.parcels.push((at, to, Parcel::Message { from: number, message }));
                }
                Action::Changed(changes) => self.hosts[number].changes.extend(changes),
                Action::Departed(departures) => {
                    let names = departures.into_iter().map(|it| it.registration.id);
                    self.hosts[number].departed.extend(names);
                }
                Action::Platform(_) | Action::Undecodable { .. } => {}
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + Span::millis(millis);
        while self.now < end {
            self.now = self.now + STEP;
            let now = self.now;
            let (due, later) =
                std::mem::take(&mut self.parcels).into_iter().partition(|(at, ..)| *at <= now);
            self.parcels = later;
            for (_, number, parcel) in due {
                self.deliver(number, parcel);
            }
            for number in 0..self.hosts.len() {
                self.tell(number, Event::Tick);
            }
        }
    }

    fn deliver(&mut self, number: usize, parcel: Parcel) {
        match parcel {
            Parcel::Message { from, message } => {
                if self.is_linked(from, number) {
                    self.tell(number, Event::Received { from: instance(from), message });
                }
            }
            Parcel::Call(query) => {
                let is_cut = self.cut.contains(&self.hosts[number].domain);
                let answer = if is_cut || self.refused.contains(&number) {
                    self.platform.calls += 1;
                    Err(Failure::Timeout)
                } else {
                    self.platform.answer(query)
                };
                self.parcels.push((self.now + STEP, number, Parcel::Answer(answer)));
            }
            Parcel::Answer(answer) => self.tell(number, Event::Answer(answer)),
        }
    }

    /// Age of the oldest copy among the running instances.
    pub fn oldest(&self) -> Span {
        let running = self.hosts.iter().filter(|host| host.running);
        let ages = running.map(|host| host.node.age(self.now).unwrap_or(Span(u64::MAX)));
        ages.max().expect("there are instances")
    }

    /// Whether an instance knows exactly what is published.
    pub fn is_current(&self, number: usize) -> bool {
        let copy = self.hosts[number].node.replica();
        let known: Vec<_> = copy.items().cloned().collect();
        let published = self.platform.items.values().map(|update| match &update.change {
            Change::Put(item) => item.clone(),
            Change::Removed(_) => unreachable!("removed items are not kept"),
        });
        known == published.collect::<Vec<_>>()
    }
}
