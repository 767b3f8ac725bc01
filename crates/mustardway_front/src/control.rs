//! The task that owns the decisions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use mustardway_flow::front::{self, Front, Verdict};
use mustardway_membership::{action, event, member, message as membership_message, node, roster};
use mustardway_mirror::node as mirror;
use mustardway_mirror::{message as mirror_message, place};
use mustardway_peer::frame::Kind;
use mustardway_peer::link::Peer;
use mustardway_peer::mesh::Mesh;
use mustardway_peer::send::Priority;
use mustardway_types::clock::Clock;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, instance, target};
use prost::Message;
use slog::Logger;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::adapter::Adapter;
use crate::input::Input;
use crate::metrics::Metrics;
use crate::pause::Watch;
use crate::peers::{MEMBERSHIP, MIRROR, RUMOUR, Rumour};
use crate::report::Report;

/// Packets that are read before other work gets its turn.
const BATCH: usize = 64;
/// Room for one datagram: envelope, head and 1,200 bytes of data, with a margin.
const DATAGRAM_MAX: usize = 2_048;

/// What the task works with.
pub struct Parts {
    /// The clock.
    pub clock: Clock,
    /// Name of this instance among its peers.
    pub me: instance::Id,
    /// Failure domain that it lives in.
    pub home: domain::Name,
    /// Where packets come in.
    pub socket: UdpSocket,
    /// Links to other instances.
    pub mesh: Mesh,
    /// Who lives.
    pub membership: node::Node,
    /// What an adapter brings.
    pub ports: Adapter,
    /// Ways to tell the task something.
    pub inputs: mpsc::Sender<Input>,
    /// What it counts.
    pub metrics: Arc<Metrics>,
    /// Where it logs.
    pub logger: Logger,
    /// Seed of every random choice.
    pub seed: u64,
}

/// The state of the task.
pub struct Control {
    parts: Parts,
    front: Front,
    mirror: mirror::Node,
    report: Report,
    watch: Watch,
    /// Version of the live list that places were worked out for.
    version: Option<u64>,
    /// Live peers and where they listen.
    peers: BTreeMap<instance::Id, SocketAddr>,
    /// Live instances in the same failure domain, this one among them.
    neighbours: Vec<instance::Id>,
    /// When the latest packet came in.
    packet_at: Instant,
    buffer: Vec<u8>,
}

impl Control {
    /// A task that starts now.
    pub fn new(parts: Parts) -> Self {
        let now = parts.clock.now();
        Control {
            front: Front::new(parts.me.clone(), parts.home.clone(), parts.seed),
            mirror: mirror::Node::new(parts.seed, now),
            report: Report::new(parts.logger.clone(), Arc::clone(&parts.metrics)),
            watch: Watch::new(now),
            version: None,
            peers: BTreeMap::new(),
            neighbours: Vec::new(),
            packet_at: now,
            buffer: vec![0; DATAGRAM_MAX],
            parts,
        }
    }

    /// The time now.
    pub fn now(&self) -> Instant {
        self.parts.clock.now()
    }

    /// Whether packets can be taken.
    pub fn is_configured(&self) -> bool {
        self.front.is_configured()
    }

    /// Whether the routers do well to send new flows here.
    pub fn is_ready(&self) -> bool {
        self.front.is_ready()
    }

    /// Time since the latest packet came in.
    pub fn quiet(&self) -> Span {
        self.now().since(self.packet_at)
    }

    /// Waits until a packet can be read.
    ///
    /// # Errors
    /// When the socket fails.
    pub async fn readable(&self) -> std::io::Result<()> {
        self.parts.socket.readable().await
    }

    /// Time has passed.
    pub fn tick(&mut self) {
        let now = self.now();
        if let Some((paused, missed)) = self.watch.tick(now) {
            self.report.metrics().pauses.inc();
            slog::warn!(self.parts.logger, "the process did not run";
                "for" => %paused, "missed_by_clock" => %missed);
            self.tell_mirror(mirror::Event::Paused(missed), now);
            self.tell_front(front::Event::Paused, now);
        }
        self.tell_membership(event::Event::Tick, now);
        self.tell_mirror(mirror::Event::Tick, now);
        self.tell_front(front::Event::Tick, now);
        self.report.tick(now);
        self.measure(now);
    }

    /// Sets the levels among the metrics.
    fn measure(&self, now: Instant) {
        let metrics = self.report.metrics();
        metrics.flows.set(level(self.front.table().len()));
        metrics.instances.set(level(self.peers.len() + 1));
        metrics.ready.set(i64::from(self.is_ready()));
        if let Some(age) = self.mirror.age(now) {
            metrics.age.set(age.as_seconds());
        }
    }

    /// Peers of which the addresses are known have changed.
    pub fn seed(&mut self, seeds: Vec<roster::Entry>) {
        let now = self.now();
        self.tell_membership(event::Event::Roster(seeds), now);
    }

    /// Takes what the task is told.
    pub fn take(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Frame { from, kind, body } => self.take_frame(&from, kind, body, now),
            Input::LinkDown(id) => self.tell_membership(event::Event::LinkDown(id), now),
            Input::Answer(answer, took) => {
                self.parts.metrics.read(&answer, took);
                self.tell_mirror(mirror::Event::Answer(answer), now);
            }
            Input::Probed(target, outcome) => {
                self.report.probed(&target, outcome, now);
                self.tell_front(front::Event::Probed(target, outcome), now);
            }
        }
    }

    /// Tells peers that this instance is about to stop.
    pub fn leave(&mut self) {
        let now = self.now();
        self.tell_membership(event::Event::Leave, now);
    }

    /// Tells peers that this instance stops, and closes the links.
    pub async fn close(&mut self, deadline: Span) {
        let now = self.now();
        self.tell_membership(event::Event::Left, now);
        self.parts.mesh.close(deadline).await;
    }

    /// Reads and forwards the packets that wait, up to a batch.
    pub fn receive(&mut self) {
        let now = self.now();
        if self.watch.is_late(now) {
            // Before any packet is read that came in meanwhile.
            self.tick();
        }
        let envelope = self.parts.ports.codec.envelope_len();
        let mut actions = Vec::new();
        for _ in 0..BATCH {
            let received = self.parts.socket.try_recv_from(&mut self.buffer[envelope..]);
            let length = match received {
                Ok((length, _)) => length,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                    self.front.handle(now, front::Event::Drained, &mut actions);
                    break;
                }
                Err(error) => {
                    // An earlier datagram met a closed port.
                    slog::debug!(self.parts.logger, "reading a packet failed"; "error" => %error);
                    continue;
                }
            };
            self.packet_at = now;
            self.carry(envelope + length, now, &mut actions);
        }
        self.act(actions, now);
    }

    fn carry(&mut self, end: usize, now: Instant, actions: &mut Vec<front::Action>) {
        let codec = Arc::clone(&self.parts.ports.codec);
        let Some(packet) = codec.decode(&self.buffer[codec.envelope_len()..end]) else {
            self.report.metrics().malformed.inc();
            return;
        };
        match self.front.packet(&packet, now, actions) {
            Verdict::Forward { key, address, token } => {
                codec.address_to_target(&mut self.buffer[..end], key, token);
                self.report.metrics().forwarded.inc();
                self.send(&self.buffer[..end], address.into());
            }
            Verdict::Reset(reset) => self.reset(&reset),
            Verdict::Drop(reason) => self.report.metrics().drop_packet(reason),
        }
    }

    fn reset(&self, reset: &mustardway_flow::packet::Reset) {
        let (bytes, address) = self.parts.ports.codec.encode_reset(reset);
        self.send(&bytes, address.into());
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) {
        if let Err(error) = self.parts.socket.try_send_to(bytes, to) {
            // Lost like any packet: its sender sends it again.
            slog::debug!(self.parts.logger, "sending a packet failed"; "error" => %error);
        }
    }

    fn take_frame(&mut self, from: &instance::Id, kind: Kind, body: Bytes, now: Instant) {
        let result = match kind {
            MEMBERSHIP => membership_message::Message::decode(body).map(|message| {
                self.tell_membership(event::Event::Received { from: from.clone(), message }, now);
            }),
            MIRROR => mirror_message::Message::decode(body).map(|message| {
                self.tell_mirror(mirror::Event::Received { from: from.clone(), message }, now);
            }),
            _ => Rumour::decode(body).map(|rumour| self.take_rumour(&rumour, now)),
        };
        if let Err(error) = result {
            slog::warn!(self.parts.logger, "skipped a malformed message";
                "peer" => %from, "kind" => %kind, "error" => %error);
        }
    }

    fn take_rumour(&mut self, rumour: &Rumour, now: Instant) {
        match rumour.target.parse() {
            Ok(target) => {
                let is_lost = rumour.is_lost;
                self.tell_front(front::Event::Rumour { target, is_lost }, now);
            }
            Err(error) => {
                slog::warn!(self.parts.logger, "skipped a rumour"; "error" => %error);
            }
        }
    }

    fn tell_membership(&mut self, event: event::Event, now: Instant) {
        let mut actions = Vec::new();
        self.parts.membership.handle(now, event, &mut actions);
        for action in actions {
            match action {
                action::Action::Send { to, address, message } => {
                    self.tell(&to, address, Priority::Control, MEMBERSHIP, &message);
                }
                // Peers tell of the published state themselves.
                action::Action::Changed | action::Action::Heard { .. } => {}
            }
        }
        self.settle(now);
    }

    /// Works out the places of instances where the live list has changed.
    fn settle(&mut self, now: Instant) {
        let version = self.parts.membership.version();
        if self.version == Some(version) {
            return;
        }
        self.version = Some(version);
        let mut known = Vec::new();
        let mut live = Vec::new();
        self.peers.clear();
        for record in self.parts.membership.members() {
            if record.state == member::State::Left {
                continue;
            }
            let member = &record.member;
            known.push(member.id.clone());
            if !record.state.is_live() {
                continue;
            }
            live.push((&member.id, &member.domain));
            if member.id != self.parts.me {
                self.peers.insert(member.id.clone(), member.address);
            }
        }
        let place = place::Place::new(&self.parts.me, &self.parts.home, live);
        slog::debug!(self.parts.logger, "live list changed"; "live" => self.peers.len() + 1,
            "known" => known.len(), "rank" => place.fleet);
        self.neighbours.clone_from(&place.neighbours);
        self.tell_mirror(mirror::Event::Place(place), now);
        let sharers = self.neighbours.len();
        self.tell_front(front::Event::Peers { known, sharers }, now);
    }

    fn tell_mirror(&mut self, event: mirror::Event, now: Instant) {
        let mut actions = Vec::new();
        self.mirror.handle(now, event, &mut actions);
        for action in actions {
            self.act_mirror(action, now);
        }
    }

    fn act_mirror(&mut self, action: mirror::Action, now: Instant) {
        let logger = &self.parts.logger;
        match action {
            mirror::Action::Read(ask) => {
                let (store, inputs) =
                    (Arc::clone(&self.parts.ports.store), self.parts.inputs.clone());
                let clock = self.parts.clock;
                tokio::spawn(async move {
                    let answer = store.fetch(ask).await;
                    let took = clock.now().since(now);
                    // Only a task that has ended does not take it.
                    let _ = inputs.send(Input::Answer(answer, took)).await;
                });
            }
            mirror::Action::Send { to, message } => {
                let Some(address) = self.peers.get(&to).copied() else { return };
                self.tell(&to, address, Priority::Bulk, MIRROR, &message);
            }
            mirror::Action::Changed(changes) => {
                self.tell_front(front::Event::Published(changes), now);
            }
            mirror::Action::Departed(departures) => {
                slog::info!(logger, "targets departed before the start"; "count" => departures.len());
                self.tell_front(front::Event::Departed(departures), now);
            }
            mirror::Action::Platform(Ok(())) => slog::info!(logger, "the platform answers again"),
            mirror::Action::Platform(Err(failure)) => {
                slog::warn!(logger, "the platform does not answer"; "failure" => %failure);
            }
            mirror::Action::Unread { from, count } => {
                slog::warn!(logger, "skipped unreadable changes"; "peer" => %from, "count" => count);
            }
        }
    }

    fn tell_front(&mut self, event: front::Event, now: Instant) {
        if let Some(age) = self.mirror.age(now) {
            let confirmed = front::Event::Confirmed(now - age);
            self.front.handle(now, confirmed, &mut Vec::new());
        }
        let mut actions = Vec::new();
        self.front.handle(now, event, &mut actions);
        self.act(actions, now);
    }

    fn act(&mut self, actions: Vec<front::Action>, now: Instant) {
        for action in actions {
            match action {
                front::Action::Reset(reset) => self.reset(&reset),
                front::Action::Probe(probe) => {
                    let target = probe.target.clone();
                    let probing = self.parts.ports.prober.probe(probe);
                    let inputs = self.parts.inputs.clone();
                    tokio::spawn(async move {
                        let outcome = probing.await;
                        // Only a task that has ended does not take it.
                        let _ = inputs.send(Input::Probed(target, outcome)).await;
                    });
                }
                front::Action::Tell { target, is_lost } => self.tell_rumour(&target, is_lost),
                front::Action::Note(note) => self.report.note(&note, now),
                front::Action::Waited(wait) => self.report.metrics().wait(wait),
            }
        }
    }

    fn tell_rumour(&self, target: &target::Id, is_lost: bool) {
        let rumour = Rumour { target: target.to_string(), is_lost };
        for id in &self.neighbours {
            // This instance is not among its peers.
            let Some(address) = self.peers.get(id) else { continue };
            self.tell(id, *address, Priority::Control, RUMOUR, &rumour);
        }
    }

    fn tell(
        &self,
        to: &instance::Id,
        address: SocketAddr,
        priority: Priority,
        kind: Kind,
        message: &impl Message,
    ) {
        let peer = Peer { id: to.clone(), address };
        let body = Bytes::from(message.encode_to_vec());
        if let Err(error) = self.parts.mesh.send(&peer, priority, kind, body) {
            slog::debug!(self.parts.logger, "a message was not sent";
                "peer" => %to, "kind" => %kind, "error" => %error);
        }
    }
}

/// A level of the metrics.
fn level(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
