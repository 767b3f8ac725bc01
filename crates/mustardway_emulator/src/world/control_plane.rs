//! Instances among each other, with the platform and with probes.

use mustardway_flow::front::{self, Action};
use mustardway_flow::health::Outcome;
use mustardway_membership::{action, event, member};
use mustardway_mirror::node::{self as mirror, Answer, Failure, Query};
use mustardway_mirror::topology::Topology;
use mustardway_types::target;
use mustardway_types::time::Span;

use rand::RngExt;

use super::{Event, TICK, World};
use crate::host::{self, Frame};
use crate::network::Barrier;

/// Time of the platform for an answer.
const PLATFORM: Span = Span::millis(4);
/// Time after which a call to the platform is given up.
const PATIENCE: Span = Span::millis(800);

impl World {
    pub(super) fn tick(&mut self, host: usize, life: u32) {
        if !self.hosts[host].alive || self.hosts[host].life != life {
            return;
        }
        let frozen_until = self.hosts[host].frozen_until;
        if self.now < frozen_until {
            self.queue.add(frozen_until, Event::Tick { host, life });
            return;
        }
        self.tell_membership(host, event::Event::Tick);
        self.tell_mirror(host, mirror::Event::Tick);
        self.tell_front(host, front::Event::Tick);
        self.queue.add(self.now + TICK, Event::Tick { host, life });
    }

    pub(super) fn frame(&mut self, from: usize, to: usize, frame: Frame) {
        if !self.hosts[to].runs(self.now) {
            return;
        }
        let from = host::id(from);
        match frame {
            Frame::Membership(message) => {
                self.tell_membership(to, event::Event::Received { from, message });
            }
            Frame::Mirror(message) => {
                self.tell_mirror(to, mirror::Event::Received { from, message });
            }
            Frame::Rumour { target, is_lost } => {
                self.tell_front(to, front::Event::PeerReport { target, is_lost });
            }
        }
    }

    pub(super) fn call(&mut self, host: usize, life: u32, ask: Query) {
        self.report.calls += 1;
        let platform = self.site.domains.len();
        let domain = self.hosts[host].domain;
        let barrier = self.network.barrier(domain, platform);
        let answer = match barrier {
            None => self.platform.answer(host, ask),
            Some(Barrier::Refuses) => Err(Failure::Unreachable),
            Some(Barrier::Silent) => Err(Failure::Timeout),
        };
        let took = PLATFORM + self.platform.delay;
        let is_lost = self.platform.loss > 0.0 && self.rng.random_bool(self.platform.loss);
        let answer = if is_lost || took >= PATIENCE { Err(Failure::Timeout) } else { answer };
        let after = if answer == Err(Failure::Timeout) { PATIENCE } else { took };
        self.queue.add(self.now + after, Event::Answer { host, life, answer });
    }

    pub(super) fn answer(&mut self, host: usize, life: u32, answer: Result<Answer, Failure>) {
        if self.hosts[host].alive && self.hosts[host].life == life {
            self.tell_mirror(host, mirror::Event::Answer(answer));
        }
    }

    pub(super) fn probed(&mut self, host: usize, life: u32, id: target::Id, outcome: Outcome) {
        if self.hosts[host].alive && self.hosts[host].life == life {
            let outcome = self.defect.outcome(outcome);
            self.tell_front(host, front::Event::Probed(id, outcome));
        }
    }

    fn tell_membership(&mut self, host: usize, event: event::Event) {
        let mut actions = Vec::new();
        self.hosts[host].membership.handle(self.now, event, &mut actions);
        for action in actions {
            if let action::Action::Send { to, message, .. } = action
                && let Some(to) = host::index(&to)
            {
                self.send_frame(host, to, Frame::Membership(message));
            }
        }
        self.settle(host);
    }

    /// Works out the place of an instance where its live list has changed.
    fn settle(&mut self, host: usize) {
        let own = &mut self.hosts[host];
        let version = own.membership.version();
        if own.version == Some(version) {
            return;
        }
        own.version = Some(version);
        let mut known = Vec::new();
        let mut live = Vec::new();
        for record in own.membership.members() {
            if record.state == member::State::Left {
                continue;
            }
            known.push(record.member.id.clone());
            if record.state.is_live() {
                live.push((&record.member.id, &record.member.domain));
            }
        }
        let topology = Topology::new(&own.id, &self.domain_names[own.domain], live);
        own.neighbours.clone_from(&topology.neighbours);
        let domain_instances = own.neighbours.len();
        self.tell_mirror(host, mirror::Event::Topology(topology));
        self.tell_front(host, front::Event::Peers { known, domain_instances });
    }

    fn tell_mirror(&mut self, host: usize, event: mirror::Event) {
        let mut actions = Vec::new();
        self.hosts[host].mirror.handle(self.now, event, &mut actions);
        let life = self.hosts[host].life;
        for action in actions {
            match action {
                mirror::Action::Read(ask) => {
                    let at = self.now + self.network.delay(0, 1);
                    self.queue.add(at, Event::Call { host, life, ask });
                }
                mirror::Action::Send { to, message } => {
                    if let Some(to) = host::index(&to) {
                        self.send_frame(host, to, Frame::Mirror(message));
                    }
                }
                mirror::Action::Changed(changes) => {
                    let changes = self.defect.changes(changes, &self.service_names);
                    self.tell_front(host, front::Event::Published(changes));
                }
                mirror::Action::Departed(departures) => {
                    self.tell_front(host, front::Event::Departed(departures));
                }
                // Only logged by an instance.
                mirror::Action::Platform(_) | mirror::Action::Undecodable { .. } => {}
            }
        }
    }

    fn tell_front(&mut self, host: usize, event: front::Event) {
        let now = self.now;
        let mut actions = Vec::new();
        let own = &mut self.hosts[host];
        if let Some(age) = own.mirror.age(now) {
            own.front.handle(now, front::Event::Confirmed(now - age), &mut actions);
        }
        own.front.handle(now, event, &mut actions);
        self.act(host, actions);
    }

    /// Does what the packet front of an instance wants done.
    pub(super) fn act(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Reset(reset) => {
                    if let Some(flow) = self.by_caller.get(&reset.flow.caller).copied() {
                        self.reset(host, flow);
                    }
                }
                Action::Probe(probe) => {
                    let target = self.servers.iter().position(|it| it.id == probe.target);
                    if let Some(target) = target {
                        self.send_probe(host, target);
                    }
                }
                Action::TellPeers { target, is_lost } => {
                    for to in self.hosts[host].neighbours.clone() {
                        if let Some(to) = host::index(&to).filter(|to| *to != host) {
                            let frame = Frame::Rumour { target: target.clone(), is_lost };
                            self.send_frame(host, to, frame);
                        }
                    }
                }
                Action::Waited(_) => {}
                Action::Note(note) => {
                    let at = self.now.since(self.traffic);
                    if let Some(listener) = &mut self.listener {
                        listener(at, &self.hosts[host].id, &note);
                    }
                }
            }
        }
    }

    fn send_frame(&mut self, from: usize, to: usize, frame: Frame) {
        if to >= self.hosts.len() {
            // A seed that does not exist.
            return;
        }
        let bytes = frame.bytes();
        self.report.bytes += bytes as u64;
        let leaves = self.hosts[from].link.send(bytes, self.now);
        let (first, second) = (self.hosts[from].domain, self.hosts[to].domain);
        if self.network.barrier(first, second).is_some() {
            return;
        }
        let at = leaves + self.network.delay(first, second);
        self.queue.add(at, Event::Frame { from, to, frame });
    }
}
