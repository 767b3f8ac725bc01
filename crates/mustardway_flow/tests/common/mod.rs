//! One instance with a few targets, and packets to it.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use mustardway_flow::front::{Action, Event, Front, Verdict};
use mustardway_flow::health::{Outcome, Status};
use mustardway_flow::packet::{Flags, Packet, Reset};
use mustardway_flow::token::Token;
use mustardway_mirror::publication::{
    Change, Configuration, Item, Key, Registration, Repeat, Route, Service, Share,
};
use mustardway_types::target;
use mustardway_types::time::{Instant, Span};

/// Where the instance of these tests lives.
pub const HOME: &str = "home";
/// Another failure domain.
pub const AWAY: &str = "away";

/// An instance, its clock and what it wanted done.
pub struct Host {
    pub front: Front,
    pub now: Instant,
    pub actions: Vec<Action>,
}

pub fn id(number: u64) -> target::Id {
    format!("t-{number:08x}").parse().expect("well formed")
}

pub fn route_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443)
}

pub fn caller(number: u16) -> SocketAddrV4 {
    let [high, low] = number.to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(100, 64, high, low), 40_000)
}

pub fn route(number: u8, service: &str, repeat: Repeat) -> Route {
    Route {
        name: "r".into(),
        address: route_address(number),
        shares: vec![Share { service: service.parse().expect("well formed"), weight: 1 }],
        repeat,
        urgency: 1,
        aim: Span::millis(100),
        limit: Span::seconds(1),
    }
}

/// Route 1 may be repeated, route 2 may not, routes 3 and 4 lead to other services.
pub fn configuration(version: u64) -> Configuration {
    let service = |name: &str| Service {
        name: name.parse().expect("well formed"),
        health: "/health".into(),
        cold_rate: None,
    };
    Configuration {
        version,
        routes: vec![
            route(1, "orders", Repeat::Free),
            route(2, "orders", Repeat::Once),
            route(3, "files", Repeat::Free),
            route(4, "pulse", Repeat::Free),
        ],
        services: vec![service("orders"), service("files")],
        idle: Span::seconds(15),
    }
}

pub fn registration(number: u64, service: &str, domain: &str) -> Registration {
    let port = u16::try_from(number).expect("small");
    Registration {
        id: id(number),
        key: number,
        service: service.parse().expect("well formed"),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 8_000 + port),
        domain: domain.parse().expect("well formed"),
        slots: 4,
        leaving: false,
        cold: Span::ZERO,
        born: Some(1),
    }
}

pub fn put(registration: Registration) -> Change {
    Change::Put(Item::Target(registration))
}

impl Host {
    /// An instance without any published state.
    pub fn empty(seed: u64) -> Self {
        let me = "i-1".parse().expect("well formed");
        let home = HOME.parse().expect("well formed");
        let now = Instant::default() + Span::seconds(3_600);
        Host { front: Front::new(me, home, seed), now, actions: Vec::new() }
    }

    /// An instance with `local` targets at home and `remote` ones away, all of
    /// the service of routes 1 and 2.
    pub fn new(local: u64, remote: u64) -> Self {
        Host::with_seed(1, local, remote)
    }

    /// The same with random choices of its own.
    pub fn with_seed(seed: u64, local: u64, remote: u64) -> Self {
        let mut host = Host::empty(seed);
        host.configure(configuration(1));
        for number in 1..=local {
            host.publish(put(registration(number, "orders", HOME)));
        }
        for number in local + 1..=local + remote {
            host.publish(put(registration(number, "orders", AWAY)));
        }
        host
    }

    pub fn configure(&mut self, configuration: Configuration) {
        self.publish(Change::Put(Item::Configuration(Arc::new(configuration))));
    }

    pub fn publish(&mut self, change: Change) {
        self.tell(Event::Published(vec![change]));
        self.tell(Event::Confirmed(self.now));
    }

    pub fn unregister(&mut self, number: u64) {
        self.publish(Change::Removed(Key::Target(id(number))));
    }

    pub fn tell(&mut self, event: Event) {
        self.front.handle(self.now, event, &mut self.actions);
    }

    pub fn probed(&mut self, number: u64, outcome: Outcome) {
        self.exchange();
        self.probed_blindly(number, outcome);
    }

    /// Lets a caller of another service hear its target, and that target answer a
    /// probe quickly, so that the instance knows that it is quick itself.
    pub fn exchange(&mut self) {
        self.publish(put(registration(99, "pulse", "elsewhere")));
        let from = 50_000 + (self.now.0 / 1_000 % 9_000) as u16;
        self.send(&opening(from, 4, 0));
        self.now = self.now + Span::millis(2);
        self.send(&packet(from, 4, 99));
        self.wait(50);
        self.answer_references();
    }

    /// Answers the probes of targets that are trusted, which the instance sends
    /// to know whether it is quick itself.
    fn answer_references(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            let reference = match &action {
                Action::Probe(probe) if self.is_trusted(&probe.target) => probe.target.clone(),
                _ => {
                    self.actions.push(action);
                    continue;
                }
            };
            self.tell(Event::Probed(reference, Outcome::Alive));
        }
    }

    fn is_trusted(&self, target: &target::Id) -> bool {
        let directory = self.front.directory();
        let target = directory.index_of(target).and_then(|index| directory.get(index));
        target.is_some_and(|target| target.health.status(self.now) == Status::Healthy)
    }

    /// The same without a sign that the instance is quick itself.
    pub fn probed_blindly(&mut self, number: u64, outcome: Outcome) {
        self.tell(Event::Probed(id(number), outcome));
    }

    /// Lets callers find a target silent, and probes find `outcome`.
    pub fn lose(&mut self, number: u64, outcome: Outcome) {
        let from = 60_000 + u16::try_from(number).expect("small");
        let route = if target_of(self.send(&packet(from, 1, number))).is_some() { 1 } else { 3 };
        self.send(&packet(from, route, number));
        self.send(&request(from, route, number));
        self.wait(200);
        self.send(&request(from, route, number));
        for _ in 0..2 {
            self.probed(number, outcome);
            self.wait(100);
        }
    }

    /// Lets time pass, with the platform confirming all the while.
    pub fn wait(&mut self, millis: u64) {
        self.now = self.now + Span::millis(millis);
        self.tell(Event::Confirmed(self.now));
        self.tell(Event::Tick);
    }

    pub fn send(&mut self, packet: &Packet) -> Verdict {
        self.front.packet(packet, self.now, &mut self.actions)
    }

    /// Opens a flow and gives the number of its target.
    pub fn open(&mut self, from: u16, route: u8) -> Option<u64> {
        target_of(self.send(&opening(from, route, 0)))
    }

    /// Opens a flow and lets the caller show that it heard the target.
    pub fn establish(&mut self, from: u16, route: u8) -> u64 {
        let target = self.open(from, route).expect("placed");
        self.wait(2);
        self.send(&packet(from, route, target));
        target
    }

    /// Takes what was wanted, less the log.
    pub fn take(&mut self) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.actions);
        actions.retain(|action| !matches!(action, Action::Note(_) | Action::Waited(_)));
        actions
    }

    /// Takes the names of the targets that were to be probed.
    pub fn take_probes(&mut self) -> Vec<target::Id> {
        let mut probes = Vec::new();
        for action in self.take() {
            if let Action::Probe(probe) = action {
                probes.push(probe.target);
            }
        }
        probes
    }

    /// Takes the resets that were wanted.
    pub fn take_resets(&mut self) -> Vec<Reset> {
        let mut resets = Vec::new();
        for action in self.take() {
            if let Action::Reset(reset) = action {
                resets.push(reset);
            }
        }
        resets
    }
}

/// An opening packet after `copies` copies of it.
pub fn opening(from: u16, route: u8, copies: u32) -> Packet {
    Packet {
        source: caller(from),
        destination: route_address(route),
        flags: Flags { opens: true, ..Flags::default() },
        token: Token::NONE,
        sequence: 1_000,
        acknowledgement: copies,
        length: 0,
    }
}

/// The caller's acknowledgement that opens the flow at target `number`.
pub fn packet(from: u16, route: u8, number: u64) -> Packet {
    Packet {
        flags: Flags { acknowledges: true, ..Flags::default() },
        token: Token::of(&id(number)),
        sequence: 1_001,
        acknowledgement: 5_001,
        ..opening(from, route, 0)
    }
}

/// A request on an open flow.
pub fn request(from: u16, route: u8, number: u64) -> Packet {
    Packet { length: 200, ..packet(from, route, number) }
}

/// The caller's acknowledgement of the answer to [`request`].
pub fn answered(from: u16, route: u8, number: u64) -> Packet {
    Packet { sequence: 1_201, acknowledgement: 7_001, ..packet(from, route, number) }
}

pub fn target_of(verdict: Verdict) -> Option<u64> {
    match verdict {
        Verdict::Forward { key, .. } => Some(key),
        Verdict::Reset(_) | Verdict::Drop(_) => None,
    }
}
