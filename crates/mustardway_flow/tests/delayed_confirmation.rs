//! A peer's confirmation of the published state that waited behind other data on a full
//! link does not make an older state count as current.

mod common;

use std::sync::Arc;

use assert_matches::assert_matches;
use common::{
    HOME, Harness, acknowledgement, configuration, instances, opening, put, registration, route,
};
use mustardway_flow::front::{Event, Verdict};
use mustardway_mirror::message::{Body, Push};
use mustardway_mirror::node::Event as MirrorEvent;
use mustardway_mirror::node::{Action, Answer, Node};
use mustardway_mirror::publication::{Change, Item, Repeat, Update};
use mustardway_mirror::topology::Topology;
use mustardway_types::domain;
use mustardway_types::revision::{Era, Number, Version};
use mustardway_types::time::{Instant, Span};

const TICK_MILLIS: u64 = 50;
/// Time that the full send queue of one link (4 MiB) takes on a link of 10 Mbit/s.
const LINK_DELAY: Span = Span::millis(3_355);
/// Time within which a change has to be in force on a site with narrow links.
const IN_FORCE_MAX: Span = Span::millis(5_000);
/// Time between two retransmissions of a caller, in ticks.
const RETRANSMIT_TICKS: u64 = 4;

fn version(number: u64) -> Version {
    Version { era: Era(0), number: Number(number) }
}

/// A peer's confirmation of the state with the number 1, sent at once after the
/// platform's.
fn confirmation() -> Push {
    Push::new(version(1), version(1), 0, &[])
}

/// An instance with its replica. Its reads of the platform get no answer.
struct Instance {
    harness: Harness,
    mirror: Node,
    started: Instant,
}

impl Instance {
    /// Creates an instance that knows the state with the number 1, as of now.
    fn new() -> Self {
        let mut harness = Harness::empty(1);
        let mut mirror = Node::new(1, harness.now);
        let names = instances(2);
        let home: domain::Name = HOME.parse().expect("well formed");
        let topology = Topology::new(&names[0], &home, names.iter().map(|name| (name, &home)));
        mirror.handle(harness.now, MirrorEvent::Topology(topology), &mut Vec::new());
        harness.handle(Event::Peers {
            known: names.clone(),
            neighbours: names,
            relays: Vec::new(),
        });
        let changes = [
            Change::Put(Item::Configuration(Arc::new(configuration(1)))),
            put(registration(1, "orders", HOME)),
        ];
        let updates = changes.into_iter().map(|change| Update { number: Number(1), change });
        let answer = Answer::Full(version(1), updates.collect());
        let started = harness.now;
        let mut instance = Instance { harness, mirror, started };
        let ticket = instance.mirror.reading().expect("a read is in flight");
        instance.handle(MirrorEvent::Answer(ticket, Ok(answer)));
        instance
    }

    fn handle(&mut self, event: MirrorEvent) {
        let now = self.harness.now;
        let mut actions = Vec::new();
        self.mirror.handle(now, event, &mut actions);
        if let Some(age) = self.mirror.age(now) {
            self.harness.handle(Event::Confirmed(now - age));
        }
        for action in actions {
            if let Action::Changed(changes) = action {
                self.harness.handle(Event::Published(changes));
            }
        }
    }

    fn receive(&mut self, push: Push) {
        let from = instances(2).remove(1);
        self.handle(MirrorEvent::Received { from, message: Body::Push(push).into() });
    }

    fn elapsed(&self) -> Span {
        self.harness.now.since(self.started)
    }

    /// Advances the clock to `end` after the start. The confirmation that was sent at
    /// the start arrives after [`LINK_DELAY`]. `send` is called for each retransmission.
    fn advance(&mut self, end: Span, mut send: impl FnMut(&mut Harness)) {
        let mut ticks = 0;
        let mut has_arrived = self.elapsed() >= LINK_DELAY;
        while self.elapsed() < end {
            self.harness.now = self.harness.now + Span::millis(TICK_MILLIS);
            self.handle(MirrorEvent::Tick);
            self.harness.handle(Event::Tick);
            if !has_arrived && self.elapsed() >= LINK_DELAY {
                has_arrived = true;
                self.receive(confirmation());
            }
            ticks += 1;
            if ticks % RETRANSMIT_TICKS == 0 {
                send(&mut self.harness);
            }
        }
    }
}

/// The target was registered 100 ms after the start, and another instance has placed the
/// flow there. The message with the registration follows on the full link.
#[test]
fn open_flow_of_a_new_target_is_not_reset() {
    const TARGET: u64 = 2;
    let mut instance = Instance::new();
    instance.advance(Span::millis(200), |_| ());
    let mut verdicts = Vec::new();
    instance.advance(Span::millis(100) + LINK_DELAY, |harness| {
        verdicts.push(harness.send(&acknowledgement(1, 1, TARGET)));
    });
    for verdict in verdicts {
        assert_matches!(verdict, Verdict::Drop(_));
    }
    let change = put(registration(TARGET, "orders", HOME));
    instance.receive(Push::new(version(1), version(2), 0, &[Update { number: Number(2), change }]));
    let verdict = instance.harness.send(&acknowledgement(1, 1, TARGET));
    assert_matches!(verdict, Verdict::Forward { key: TARGET, .. });
}

/// The route was added 100 ms after the start and is in force everywhere else.
#[test]
fn opening_packet_of_a_new_route_is_not_reset() {
    const ROUTE: u8 = 9;
    let mut instance = Instance::new();
    instance.advance(Span::millis(100) + IN_FORCE_MAX, |_| ());
    let verdict = instance.harness.send(&opening(1, ROUTE, 0));
    assert_matches!(verdict, Verdict::Drop(_));
    let mut changed = configuration(2);
    changed.routes.push(route(ROUTE, "orders", Repeat::Free));
    let change = Change::Put(Item::Configuration(Arc::new(changed)));
    instance.receive(Push::new(version(1), version(2), 0, &[Update { number: Number(2), change }]));
    let verdict = instance.harness.send(&opening(1, ROUTE, 1));
    assert_matches!(verdict, Verdict::Forward { .. });
}
