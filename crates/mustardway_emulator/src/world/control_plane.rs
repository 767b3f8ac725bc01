//! Traffic of the instances between each other and with the platform, and the
//! execution of the actions that their state machines request.

use mustardway_flow::front::{self, Action};
use mustardway_flow::health::Outcome;
use mustardway_load::topology as load_topology;
use mustardway_membership::{action, event, member};
use mustardway_mirror::node::{self as mirror, Answer, Failure, Query};
use mustardway_mirror::topology::Topology;
use mustardway_types::target;
use mustardway_types::time::Span;

use rand::RngExt;

use super::{Call, Event, TICK_INTERVAL, World};
use crate::arrival::{Arrival, Deadline};
use crate::defect::Defect;
use crate::host::{self, Frame};
use crate::network::Partition;
use crate::platform;

/// Response time of the platform.
const PLATFORM_DELAY: Span = Span::millis(4);
/// Interval at which the platform checks whether a call that it holds has an answer.
const HOLD_STEP: Span = Span::millis(10);
/// Time within which the platform has to begin its answer, in addition to the time that
/// it is asked to wait.
const PLATFORM_TIMEOUT: Span = Span::millis(800);
/// Time within which the answer has to arrive, from its beginning.
const ANSWER_TIMEOUT: Span = Span::millis(6_700);

impl World {
    /// Ticks an instance. The tick of a paused instance is deferred until it resumes.
    pub(super) fn tick(&mut self, host: usize, incarnation: u32) {
        if !self.hosts[host].alive || self.hosts[host].incarnation != incarnation {
            return;
        }
        let frozen_until = self.hosts[host].frozen_until;
        if self.now < frozen_until {
            self.queue.add(frozen_until, Event::Tick { host, incarnation });
            return;
        }
        self.deliver_to_membership(host, event::Event::Tick);
        self.deliver_to_mirror(host, mirror::Event::Tick);
        self.deliver_to_front(host, front::Event::Tick);
        self.queue.add(self.now + TICK_INTERVAL, Event::Tick { host, incarnation });
    }

    /// Delivers a message from another instance.
    pub(super) fn receive_frame(&mut self, from: usize, to: usize, frame: Frame) {
        if !self.hosts[to].runs(self.now) {
            return;
        }
        let from = host::id(from);
        match frame {
            Frame::Membership(message) => {
                self.deliver_to_membership(to, event::Event::Received { from, message });
            }
            Frame::Mirror(message) => {
                self.deliver_to_mirror(to, mirror::Event::Received { from, message });
            }
            Frame::Load(message) => {
                self.deliver_to_front(to, front::Event::Load { from, message });
            }
            Frame::Contested(message) => {
                self.deliver_to_front(to, front::Event::Contested { from, message });
            }
            Frame::PeerReport { target, is_lost } => {
                self.deliver_to_front(to, front::Event::PeerReport { from, target, is_lost });
            }
        }
    }

    /// Handles a query at the platform, which was `asked` now or before: schedules its
    /// answer, or holds it while there is no change and time to wait.
    pub(super) fn call_platform(&mut self, call: Call) {
        let Call { host, query, asked, .. } = call;
        let platform = self.site.domains.len();
        let domain = self.hosts[host].domain;
        let partition = self.network.partition(domain, platform);
        let answer = match partition {
            None => self.platform.answer(host, query),
            Some(Partition::Refuses) => Err(Failure::Unreachable),
            Some(Partition::Silent) => Err(Failure::Timeout),
        };
        let wait = match query {
            Query::Full => Span::ZERO,
            Query::Since { wait, .. } => wait,
        };
        if self.now < asked + wait
            && matches!(&answer, Ok(Answer::Since(_, changes)) if changes.is_empty())
        {
            self.queue.add(self.now + HOLD_STEP, Event::PlatformCall(call));
            return;
        }
        let took = PLATFORM_DELAY + self.platform.delay;
        let is_lost = self.platform.loss > 0.0 && self.rng.random_bool(self.platform.loss);
        let answered_at = self.now + took;
        let begins_by = asked + wait + PLATFORM_TIMEOUT;
        let failure = Event::PlatformAnswer(call, Err(Failure::Timeout));
        if is_lost || answered_at >= begins_by || answer == Err(Failure::Timeout) {
            self.queue.add(begins_by, failure);
            return;
        }
        let timeout = Deadline { at: answered_at + ANSWER_TIMEOUT, event: failure };
        let bytes = platform::answer_bytes(&answer);
        let event = Event::PlatformAnswer(call, answer);
        let arrival = Arrival { host, bytes, event, deadline: Some(timeout) };
        self.queue.add(answered_at, Event::Arrival(Box::new(arrival)));
    }

    /// Delivers the platform's answer to the instance that asked.
    pub(super) fn platform_answered(&mut self, call: Call, answer: Result<Answer, Failure>) {
        let Call { host, incarnation, ticket, .. } = call;
        if self.hosts[host].alive && self.hosts[host].incarnation == incarnation {
            self.report.platform_timeouts += u32::from(answer == Err(Failure::Timeout));
            self.deliver_to_mirror(host, mirror::Event::Answer(ticket, answer));
        }
    }

    /// Delivers the outcome of a probe to the instance that sent it.
    pub(super) fn probe_finished(
        &mut self,
        host: usize,
        incarnation: u32,
        id: target::Id,
        outcome: Outcome,
    ) {
        if self.hosts[host].alive && self.hosts[host].incarnation == incarnation {
            let outcome = self.defect.alter_outcome(outcome);
            if self.defect == Defect::TrustsSilence && outcome == Outcome::Silent {
                self.deliver_to_front(host, front::Event::ProbeConnected(id.clone()));
            }
            self.deliver_to_front(host, front::Event::Probed(id, outcome));
        }
    }

    /// Lets a running instance tell its peers that it has left, as it does at the end of a
    /// graceful stop.
    pub(crate) fn leave(&mut self, host: usize) {
        if self.hosts[host].runs(self.now) {
            self.deliver_to_membership(host, event::Event::Left);
        }
    }

    /// Passes an event to the membership of an instance and sends the messages that it
    /// requests.
    fn deliver_to_membership(&mut self, host: usize, event: event::Event) {
        let mut actions = Vec::new();
        self.hosts[host].membership.handle(self.now, event, &mut actions);
        for action in actions {
            if let action::Action::Send { to, message, .. } = action
                && let Some(to) = host::index(&to)
            {
                self.send_frame(host, to, Frame::Membership(message));
            }
        }
        self.update_topology(host);
    }

    /// Recomputes the topology of an instance if its member list has changed.
    fn update_topology(&mut self, host: usize) {
        let instance = &mut self.hosts[host];
        let version = instance.membership.version();
        if instance.topology_version == Some(version) {
            return;
        }
        instance.topology_version = Some(version);
        let mut known = Vec::new();
        let mut live = Vec::new();
        for record in instance.membership.members() {
            if record.state == member::State::Left {
                continue;
            }
            known.push(record.member.id.clone());
            if record.state.is_live() {
                live.push((&record.member.id, &record.member.domain));
            }
        }
        let (me, domain) = (&instance.id, &self.domain_names[instance.domain]);
        let load_topology = load_topology::Topology::new(me, domain, live.iter().copied());
        let topology = Topology::new(me, domain, live);
        instance.neighbours.clone_from(&topology.neighbours);
        let relays = topology.relays.iter().map(|relay| relay.id.clone()).collect();
        let neighbours = instance.neighbours.clone();
        self.deliver_to_mirror(host, mirror::Event::Topology(topology));
        self.deliver_to_front(host, front::Event::Peers { known, neighbours, relays });
        if self.site.is_load_shared {
            self.deliver_to_front(host, front::Event::LoadTopology(load_topology));
        }
    }

    /// Passes an event to the mirror of an instance and executes the actions that it
    /// requests.
    fn deliver_to_mirror(&mut self, host: usize, event: mirror::Event) {
        let mut actions = Vec::new();
        self.hosts[host].mirror.handle(self.now, event, &mut actions);
        let incarnation = self.hosts[host].incarnation;
        for action in actions {
            match action {
                mirror::Action::Read(ticket, query) => {
                    let at = self.now + self.network.delay(0, 1);
                    self.report.platform_calls += 1;
                    let call = Call { host, incarnation, ticket, query, asked: at };
                    self.queue.add(at, Event::PlatformCall(call));
                }
                mirror::Action::Send { to, message } => {
                    if let Some(to) = host::index(&to) {
                        self.send_frame(host, to, Frame::Mirror(message));
                    }
                }
                mirror::Action::Changed(changes) => {
                    let changes = self.defect.alter_changes(changes, &self.service_names);
                    self.deliver_to_front(host, front::Event::Published(changes));
                }
                mirror::Action::Departed(departures) => {
                    self.deliver_to_front(host, front::Event::Departed(departures));
                }
                // The production process only logs these actions.
                mirror::Action::Platform(_)
                | mirror::Action::Pushed(_)
                | mirror::Action::Undecodable { .. }
                | mirror::Action::Restored(_)
                | mirror::Action::OlderConfiguration(_) => {}
            }
        }
    }

    /// Passes an event to the packet front of an instance, after the age of its published
    /// state.
    fn deliver_to_front(&mut self, host: usize, event: front::Event) {
        let now = self.now;
        let mut actions = Vec::new();
        let instance = &mut self.hosts[host];
        if let Some(age) = instance.mirror.age(now) {
            instance.front.handle(now, front::Event::Confirmed(now - age), &mut actions);
        }
        instance.front.handle(now, event, &mut actions);
        self.apply_front_actions(host, actions);
    }

    /// Executes the actions that the packet front of an instance requested.
    pub(super) fn apply_front_actions(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Reset(reset) => {
                    if let Some(flow) = self.by_caller.get(&reset.flow.caller).copied() {
                        self.send_reset(host, flow);
                    }
                }
                Action::Resume => {
                    for (flow, packet) in std::mem::take(&mut self.hosts[host].held) {
                        self.packet_at_host(host, flow, packet, false);
                    }
                }
                Action::Probe(probe) => {
                    let target = self.servers.iter().position(|server| server.id == probe.target);
                    if let Some(target) = target {
                        self.send_probe(host, target);
                    }
                }
                Action::TellPeers { target, is_lost } => {
                    for to in self.hosts[host].neighbours.clone() {
                        if let Some(to) = host::index(&to).filter(|to| *to != host) {
                            let frame = Frame::PeerReport { target: target.clone(), is_lost };
                            self.send_frame(host, to, frame);
                        }
                    }
                }
                Action::SendContested { to, message } => {
                    if let Some(to) = host::index(&to) {
                        self.send_frame(host, to, Frame::Contested(message));
                    }
                }
                Action::SendLoad { to, message } => {
                    if let Some(to) = host::index(&to) {
                        self.send_frame(host, to, Frame::Load(message));
                    }
                }
                Action::Waited(_) => {}
                Action::Note(note) => {
                    self.record_refusal(&note);
                    let at = self.now.since(self.traffic_start);
                    if let Some(listener) = &mut self.listener {
                        listener(at, &self.hosts[host].id, &note);
                    }
                }
            }
        }
    }

    /// Sends a message to another instance. A partition drops it.
    fn send_frame(&mut self, from: usize, to: usize, frame: Frame) {
        if to >= self.hosts.len() {
            // A small site has fewer instances than seeds.
            return;
        }
        let bytes = frame.bytes();
        self.report.instance_bytes += bytes as u64;
        if matches!(frame, Frame::Load(_)) && self.has_traffic() {
            self.report.load_bytes += bytes as u64;
        }
        let sent_at = self.hosts[from].outbound.send(bytes, self.now);
        let (first, second) = (self.hosts[from].domain, self.hosts[to].domain);
        if self.network.partition(first, second).is_some() {
            return;
        }
        let at = sent_at + self.network.delay(first, second);
        let event = Event::Frame { from, to, frame };
        let arrival = Arrival { host: to, bytes, event, deadline: None };
        self.queue.add(at, Event::Arrival(Box::new(arrival)));
    }
}
