//! A fleet of nodes in memory. Messages arrive after a fixed delay, and targets answer
//! requests at a fixed rate through random instances.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use mustardway_load::key;
use mustardway_load::message::Message;
use mustardway_load::node::{Action, Event, Node};
use mustardway_load::sample::{Answer, Sample};
use mustardway_load::topology::Topology;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, instance, target};
use prost::Message as _;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Time between two ticks of a node.
pub const TICK: Span = Span::millis(10);
/// Time that a message is under way.
pub const DELAY: Span = Span::millis(2);
/// Mean time of a request at a target of usual speed.
pub const BASE: Span = Span::millis(20);
/// Requests per second and target.
pub const RATE: f64 = 14.0;

/// A target. `slow` multiplies its times; `short` is the share of its answers that are short.
/// The requests to a target that is full do not find a free slot.
#[derive(Debug, Clone, Copy)]
pub struct Target {
    pub key: key::Target,
    pub slow: f64,
    pub short: f64,
    pub is_full: bool,
}

/// An instance. `factor` multiplies the times that it measures.
pub struct Member {
    pub id: instance::Id,
    pub domain: domain::Name,
    pub node: Node,
    pub factor: f64,
    pub is_up: bool,
    pub is_paused: bool,
    /// Whether its build drops all messages of this crate.
    pub is_old: bool,
    pub sent_bytes: u64,
    pub received_bytes: u64,
}

struct InFlight {
    at: Instant,
    from: usize,
    to: instance::Id,
    message: Message,
}

/// The fleet.
pub struct Fleet {
    pub now: Instant,
    pub members: Vec<Member>,
    pub targets: Vec<Target>,
    /// Number of the failure domain that is cut off, if one is.
    pub cut: Option<usize>,
    /// Bytes that framing adds to each message.
    pub framing: u64,
    /// Requests per second and target.
    pub rate: f64,
    /// Number of requests so far.
    pub requests: u64,
    /// Work of a request, relative to the usual.
    pub work: f64,
    /// Number of routes with requests.
    pub routes: u16,
    in_flight: Vec<InFlight>,
    due: f64,
    rng: Pcg32,
}

/// The route of which the tests look at the load.
pub fn route() -> key::Route {
    numbered_route(0)
}

fn numbered_route(number: u16) -> key::Route {
    key::Route::of(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80 + number))
}

pub fn id(index: usize) -> instance::Id {
    format!("instance-{index}").parse().expect("valid text")
}

pub fn domain_name(index: usize) -> domain::Name {
    format!("zone-{index}").parse().expect("valid text")
}

pub fn target_key(index: usize, born: u64) -> key::Target {
    let id: target::Id = format!("target-{index}").parse().expect("valid text");
    key::Target::of(&id, Some(born))
}

impl Fleet {
    /// Creates a fleet in which all instances know each other.
    pub fn new(instances: usize, domains: usize, targets: usize) -> Self {
        let mut fleet = Fleet {
            now: Instant(1_000_000),
            members: Vec::new(),
            targets: Vec::new(),
            cut: None,
            framing: 60,
            rate: RATE,
            requests: 0,
            work: 1.0,
            routes: 1,
            in_flight: Vec::new(),
            due: 0.0,
            rng: Pcg32::seed_from_u64(7),
        };
        for index in 0..instances {
            fleet.join(index, index % domains);
        }
        for index in 0..targets {
            let key = target_key(index, 1);
            fleet.targets.push(Target { key, slow: 1.0, short: 0.0, is_full: false });
        }
        fleet.update_topologies();
        fleet
    }

    /// Starts the random choices anew from `seed`.
    pub fn reseed(&mut self, seed: u64) {
        self.rng = Pcg32::seed_from_u64(seed);
    }

    /// Adds an instance, which is alone at first.
    pub fn join(&mut self, index: usize, domain: usize) -> usize {
        self.members.push(Member {
            id: id(index),
            domain: domain_name(domain),
            node: Node::new(&id(index), self.now),
            factor: 1.0,
            is_up: true,
            is_paused: false,
            is_old: false,
            sent_bytes: 0,
            received_bytes: 0,
        });
        self.members.len() - 1
    }

    /// Tells each instance which others it can reach.
    pub fn update_topologies(&mut self) {
        for index in 0..self.members.len() {
            self.update_topology(index, &BTreeSet::new());
        }
    }

    /// Tells one instance which others it can reach, without those in `unknown`.
    pub fn update_topology(&mut self, index: usize, unknown: &BTreeSet<usize>) {
        let mut live = Vec::new();
        for (other, member) in self.members.iter().enumerate() {
            if member.is_up && !self.is_cut(index, other) && !unknown.contains(&other) {
                live.push((&member.id, &member.domain));
            }
        }
        let member = &self.members[index];
        let topology = Topology::new(&member.id, &member.domain, live);
        self.pass(index, Event::Topology(topology));
    }

    /// Returns the live root of a failure domain.
    pub fn root(&self, domain: usize) -> usize {
        let is_root = |member: &Member| {
            member.is_up && member.domain == domain_name(domain) && member.node.topology().is_root()
        };
        self.members.iter().position(is_root).expect("a live root")
    }

    /// Returns an instance that has both a parent and children.
    pub fn inner(&self) -> usize {
        let is_inner = |member: &Member| {
            let topology = member.node.topology();
            !topology.is_root() && !topology.children.is_empty()
        };
        self.members.iter().position(is_inner).expect("an inner instance")
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Lets time pass until all live instances of the current build meet `condition`, and
    /// returns how long that took, or `None` after `limit`.
    pub fn run_until(&mut self, limit: Span, condition: impl Fn(&Node) -> bool) -> Option<Span> {
        let start = self.now;
        while self.now.since(start) < limit {
            if self.live().all(|member| condition(&member.node)) {
                return Some(self.now.since(start));
            }
            self.step();
        }
        None
    }

    /// Returns the live instances of the current build.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.is_up && !member.is_old)
    }

    /// Loses all messages that are under way.
    pub fn drop_messages(&mut self) {
        self.in_flight.clear();
    }

    /// Returns the number of messages that are under way.
    pub fn messages_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Passes an event to an instance and sends what it answers.
    pub fn pass(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        let member = &mut self.members[index];
        member.node.handle(self.now, event, &mut actions);
        if member.is_old {
            return;
        }
        for action in actions {
            let Action::Send { to, message } = action else { continue };
            member.sent_bytes += message.encoded_len() as u64 + self.framing;
            self.in_flight.push(InFlight { at: self.now + DELAY, from: index, to, message });
        }
    }

    fn is_cut(&self, first: usize, second: usize) -> bool {
        self.cut.map(domain_name).is_some_and(|cut| {
            (self.members[first].domain == cut) != (self.members[second].domain == cut)
        })
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        self.deliver();
        self.answer_requests();
        for index in 0..self.members.len() {
            if self.members[index].is_up && !self.members[index].is_paused {
                self.pass(index, Event::Tick);
            }
        }
    }

    fn deliver(&mut self) {
        let positions: BTreeMap<instance::Id, usize> =
            self.members.iter().enumerate().map(|(at, member)| (member.id.clone(), at)).collect();
        let mut waiting = Vec::new();
        for sent in std::mem::take(&mut self.in_flight) {
            let to = positions[&sent.to];
            let member = &self.members[to];
            if sent.at > self.now || member.is_paused {
                waiting.push(sent);
                continue;
            }
            if !member.is_up || member.is_old || self.is_cut(sent.from, to) {
                continue;
            }
            self.members[to].received_bytes += sent.message.encoded_len() as u64 + self.framing;
            let from = self.members[sent.from].id.clone();
            self.pass(to, Event::Received { from, message: sent.message });
        }
        self.in_flight.extend(waiting);
    }

    fn answer_requests(&mut self) {
        self.due += self.rate * self.targets.len() as f64 * TICK.as_seconds();
        while self.due >= 1.0 {
            self.due -= 1.0;
            let target = self.targets[self.rng.random_range(0..self.targets.len())];
            let index = self.rng.random_range(0..self.members.len());
            let is_short = self.rng.random_range(0.0..1.0) < target.short;
            let noise = self.rng.random_range(0.5..1.5);
            let member = &mut self.members[index];
            if !member.is_up || member.is_paused {
                continue;
            }
            self.requests += 1;
            let share = if is_short { 0.1 } else { 1.0 };
            let factor = self.work * noise * target.slow * share * member.factor;
            let route = numbered_route((self.requests % u64::from(self.routes)) as u16);
            member.node.record(&Sample::Requested(route));
            let mut answer = answer(target.key, route, factor);
            (answer.is_short, answer.is_unqueued) = (is_short, !target.is_full);
            member.node.record(&Sample::Answered(answer));
        }
    }

    /// Records an answer at one instance that took `factor` times as long as usual.
    pub fn answer(&mut self, index: usize, target: key::Target, factor: f64) {
        self.members[index].node.record(&Sample::Answered(answer(target, route(), factor)));
    }

    /// Returns the requests per second that an instance knows of.
    pub fn requests_known(&self, index: usize) -> f64 {
        self.members[index].node.view().route(route()).map_or(0.0, |load| load.requests)
    }

    /// Returns the requests per second of all live instances.
    pub fn requests_expected(&self) -> f64 {
        let working = self.members.iter().filter(|member| member.is_up).count();
        self.rate * self.targets.len() as f64 * working as f64 / self.members.len() as f64
    }
}

/// Returns an answer, not a short one, from a target with a free slot.
fn answer(target: key::Target, route: key::Route, factor: f64) -> Answer {
    let time = Span((BASE.0 as f64 * factor) as u64);
    Answer { target, route, time, is_unqueued: true, is_short: false }
}
