//! A harness around one instance with a few targets, and packets to send to it.

#![allow(dead_code)]

pub mod load;

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use mustardway_flow::contested::message::{Body, Holders};
use mustardway_flow::front::{Action, Event, Front, Verdict};
use mustardway_flow::health::{Outcome, Status};
use mustardway_flow::packet::{Flags, Packet, Reset};
use mustardway_flow::token::Token;
use mustardway_mirror::publication::{
    Change, Configuration, Item, Key, Registration, Repeat, Route, Service, Share,
};
use mustardway_types::time::{Instant, Span};
use mustardway_types::{instance, target};

/// Failure domain of the instance.
pub const HOME: &str = "home";
/// Another failure domain.
pub const AWAY: &str = "away";

/// Time after which a probe without an answer is silent.
pub const PROBE_TIMEOUT: Span = Span::millis(100);
/// Time between two ticks.
pub const TICK_MILLIS: u64 = 50;

/// An instance, its clock and its pending actions.
pub struct Harness {
    pub front: Front,
    pub now: Instant,
    pub actions: Vec<Action>,
    /// Probes in flight that get no answer, with the times at which they were sent.
    pub unanswered_probes: VecDeque<(Instant, target::Id)>,
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

/// Returns a configuration in which requests on route 1 may be repeated, requests on
/// route 2 may not, and routes 3 and 4 lead to other services.
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
    let port = u16::try_from(number).expect("the number fits in 16 bits");
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

/// Returns the names of `count` instances, the harness's own first.
pub fn instances(count: usize) -> Vec<instance::Id> {
    (1..=count).map(|number| format!("i-{number}").parse().expect("well formed")).collect()
}

/// Returns the name of a peer of the harness's own instance.
pub fn peer(number: usize) -> instance::Id {
    instances(number + 1).swap_remove(number)
}

pub fn put(registration: Registration) -> Change {
    Change::Put(Item::Target(registration))
}

impl Harness {
    /// Creates an instance without published state.
    pub fn empty(seed: u64) -> Self {
        Harness::empty_with_name("i-1".parse().expect("well formed"), seed)
    }

    fn empty_with_name(me: instance::Id, seed: u64) -> Self {
        let home = HOME.parse().expect("well formed");
        let now = Instant::default() + Span::seconds(3_600);
        let front = Front::new(me, home, seed);
        Harness { front, now, actions: Vec::new(), unanswered_probes: VecDeque::new() }
    }

    /// Creates an instance with `local` targets in its failure domain and `remote`
    /// targets in another one, all of the service of routes 1 and 2.
    pub fn new(local: u64, remote: u64) -> Self {
        Harness::with_seed(1, local, remote)
    }

    /// Creates an instance like [`Harness::new`] with another random seed.
    pub fn with_seed(seed: u64, local: u64, remote: u64) -> Self {
        Harness::empty(seed).with_targets(local, remote)
    }

    /// Creates an instance like [`Harness::new`] with another name.
    pub fn with_name(me: instance::Id, local: u64, remote: u64) -> Self {
        Harness::empty_with_name(me, 1).with_targets(local, remote)
    }

    fn with_targets(self, local: u64, remote: u64) -> Self {
        let mut harness = self;
        harness.configure(configuration(1));
        for number in 1..=local {
            harness.publish(put(registration(number, "orders", HOME)));
        }
        for number in local + 1..=local + remote {
            harness.publish(put(registration(number, "orders", AWAY)));
        }
        harness
    }

    pub fn configure(&mut self, configuration: Configuration) {
        self.publish(Change::Put(Item::Configuration(Arc::new(configuration))));
    }

    pub fn publish(&mut self, change: Change) {
        self.handle(Event::Published(vec![change]));
        self.handle(Event::Confirmed(self.now));
    }

    pub fn unregister(&mut self, number: u64) {
        self.publish(Change::Removed(Key::Target(id(number))));
    }

    /// Sets the number of live instances in the failure domain of the instance.
    pub fn set_neighbours(&mut self, count: usize) {
        self.handle(Event::Peers {
            known: instances(count),
            neighbours: instances(count),
            relays: Vec::new(),
        });
        self.answer_questions();
    }

    /// Lets the peers that are asked for contested flows answer that they know none.
    fn answer_questions(&mut self) {
        let mut asked = Vec::new();
        for action in &self.actions {
            if let Action::SendContested { to, message } = action
                && matches!(message.body, Some(Body::Request(_)))
            {
                asked.push(to.clone());
            }
        }
        for from in asked {
            let holders = Holders { is_complete: true, ..Holders::default() };
            self.handle(Event::Contested { from, message: Body::Answer(holders).into() });
        }
    }

    pub fn handle(&mut self, event: Event) {
        self.front.handle(self.now, event, &mut self.actions);
    }

    pub fn finish_probe(&mut self, number: u64, outcome: Outcome) {
        self.confirm_responsiveness();
        self.finish_unconfirmed_probe(number, outcome);
    }

    /// Lets a target of another service answer its caller and a reference probe
    /// quickly, so that the instance knows that it responds in time.
    pub fn confirm_responsiveness(&mut self) {
        self.publish(put(registration(99, "pulse", "elsewhere")));
        let from = 50_000 + (self.now.0 / 1_000 % 9_000) as u16;
        self.send(&opening(from, 4, 0));
        self.now = self.now + Span::millis(2);
        self.send(&acknowledgement(from, 4, 99));
        self.advance(50);
        self.answer_reference_probes();
    }

    /// Answers the reference probes, which the instance sends to healthy targets to
    /// find out whether it is slow itself.
    fn answer_reference_probes(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            let reference = match &action {
                Action::Probe(probe) if self.is_healthy(&probe.target) => probe.target.clone(),
                _ => {
                    self.actions.push(action);
                    continue;
                }
            };
            self.handle(Event::Probed(reference, Outcome::Alive));
        }
    }

    fn is_healthy(&self, target: &target::Id) -> bool {
        let directory = self.front.directory();
        let target = directory.index_of(target).and_then(|index| directory.get(index));
        target.is_some_and(|target| target.health.status(self.now) == Status::Healthy)
    }

    /// Finishes a probe like [`Harness::finish_probe`], but without a sign that the
    /// instance responds in time.
    pub fn finish_unconfirmed_probe(&mut self, number: u64, outcome: Outcome) {
        self.handle(Event::Probed(id(number), outcome));
    }

    /// Makes a target lost: its caller's request goes unanswered, and two probes end
    /// with `outcome`.
    pub fn lose_target(&mut self, number: u64, outcome: Outcome) {
        let from = 60_000 + u16::try_from(number).expect("the number fits in 16 bits");
        let route = if forwarded_to(self.send(&acknowledgement(from, 1, number))).is_some() {
            1
        } else {
            3
        };
        self.send(&acknowledgement(from, route, number));
        self.send(&request(from, route, number));
        self.advance(200);
        self.send(&request(from, route, number));
        for _ in 0..2 {
            self.finish_probe(number, outcome);
            self.advance(100);
        }
    }

    /// Advances the clock while probes of the targets for which `is_silent` holds time out
    /// and all others are answered at once. Returns the resets.
    pub fn run(&mut self, millis: u64, is_silent: impl Fn(&target::Id) -> bool) -> Vec<Reset> {
        let mut resets = Vec::new();
        for _ in 0..millis / TICK_MILLIS {
            self.advance(TICK_MILLIS);
            self.expire_probes();
            for action in self.take_actions() {
                match action {
                    Action::Probe(probe) if is_silent(&probe.target) => {
                        self.unanswered_probes.push_back((self.now, probe.target));
                    }
                    Action::Probe(probe) => {
                        self.handle(Event::Probed(probe.target, Outcome::Alive));
                    }
                    Action::Reset(reset) => resets.push(reset),
                    _ => {}
                }
            }
        }
        resets
    }

    fn expire_probes(&mut self) {
        while let Some((sent, _)) = self.unanswered_probes.front()
            && self.now.since(*sent) >= PROBE_TIMEOUT
            && let Some((_, target)) = self.unanswered_probes.pop_front()
        {
            self.handle(Event::Probed(target, Outcome::Silent));
        }
    }

    /// Advances the clock while the platform confirms the published state.
    pub fn advance(&mut self, millis: u64) {
        let end = self.now + Span::millis(millis);
        loop {
            self.now = (self.now + Span::millis(TICK_MILLIS)).min(end);
            self.handle(Event::Confirmed(self.now));
            self.handle(Event::Tick);
            if self.now == end {
                return;
            }
        }
    }

    pub fn send(&mut self, packet: &Packet) -> Verdict {
        self.front.packet(packet, self.now, &mut self.actions)
    }

    /// Opens a flow and returns the number of its target.
    pub fn open(&mut self, from: u16, route: u8) -> Option<u64> {
        forwarded_to(self.send(&opening(from, route, 0)))
    }

    /// Opens a flow and acknowledges the answer of the target.
    pub fn establish(&mut self, from: u16, route: u8) -> u64 {
        let target = self.open(from, route).expect("the flow is placed");
        self.advance(2);
        self.send(&acknowledgement(from, route, target));
        target
    }

    /// Takes the pending actions other than notes and waiting times.
    pub fn take_actions(&mut self) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.actions);
        actions.retain(|action| !matches!(action, Action::Note(_) | Action::Waited(_)));
        actions
    }

    /// Takes the pending actions and returns the targets to probe.
    pub fn take_probes(&mut self) -> Vec<target::Id> {
        let mut probes = Vec::new();
        for action in self.take_actions() {
            if let Action::Probe(probe) = action {
                probes.push(probe.target);
            }
        }
        probes
    }

    /// Takes the pending actions and returns the resets.
    pub fn take_resets(&mut self) -> Vec<Reset> {
        let mut resets = Vec::new();
        for action in self.take_actions() {
            if let Action::Reset(reset) = action {
                resets.push(reset);
            }
        }
        resets
    }
}

/// Returns an opening packet that follows `copies` copies of itself.
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

/// Returns the caller's acknowledgement that opens the flow at target `number`.
pub fn acknowledgement(from: u16, route: u8, number: u64) -> Packet {
    Packet {
        flags: Flags { acknowledges: true, ..Flags::default() },
        token: Token::of(&id(number)),
        sequence: 1_001,
        acknowledgement: 5_001,
        ..opening(from, route, 0)
    }
}

/// Returns a request on an open flow.
pub fn request(from: u16, route: u8, number: u64) -> Packet {
    Packet { length: 200, ..acknowledgement(from, route, number) }
}

/// Returns the caller's acknowledgement of the answer to [`request`].
pub fn answer_acknowledgement(from: u16, route: u8, number: u64) -> Packet {
    Packet { sequence: 1_201, acknowledgement: 7_001, ..acknowledgement(from, route, number) }
}

pub fn forwarded_to(verdict: Verdict) -> Option<u64> {
    match verdict {
        Verdict::Forward { key, .. } => Some(key),
        Verdict::Reset(_) | Verdict::Drop(_) | Verdict::Hold => None,
    }
}
