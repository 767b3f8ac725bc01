//! The task that owns the state machines: it routes packets, events and timer ticks
//! to them and carries out the actions that they return.

mod messages;
mod packets;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mustardway_flow::front::{self, Front};
use mustardway_load::topology as load_topology;
use mustardway_membership::{action, event, member, node, roster};
use mustardway_mirror::node as mirror;
use mustardway_mirror::topology;
use mustardway_peer::mesh::Mesh;
use mustardway_peer::send::Priority;
use mustardway_types::clock::Clock;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, instance};
use slog::Logger;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use crate::adapter::Adapter;
use crate::input::Input;
use crate::load::{self, Document};
use crate::metrics::{Metrics, gauge_value};
use crate::pause::Detector;
use crate::peers::{CONTESTED, LOAD, MEMBERSHIP, MIRROR};
use crate::probes;
use crate::report::Report;

/// Interval of the timer that drives the state machines.
pub const TICK_INTERVAL: Span = Span::millis(50);
/// Size of the receive buffer: envelope, header and 1,200 bytes of data, with a
/// margin.
const DATAGRAM_MAX_BYTES: usize = 2_048;

/// Sockets, state and configuration that a dispatcher is created from.
pub struct Context {
    /// Monotonic clock.
    pub clock: Clock,
    /// Name of this instance among its peers.
    pub id: instance::Id,
    /// Failure domain of this instance.
    pub domain: domain::Name,
    /// UDP socket for packets.
    pub socket: UdpSocket,
    /// Links to the peers.
    pub mesh: Mesh,
    /// Membership state machine.
    pub membership: node::Node,
    /// Implementations for the platform.
    pub adapter: Adapter,
    /// Sends events to the dispatcher; cloned for spawned tasks.
    pub inputs: mpsc::Sender<Input>,
    /// Metrics of this instance.
    pub metrics: Arc<Metrics>,
    /// Logger of this instance.
    pub logger: Logger,
    /// What load estimates are used for.
    pub load: mustardway_flow::load::Settings,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// The state machines of one instance with everything that they act on.
pub struct Dispatcher {
    context: Context,
    front: Front,
    mirror: mirror::Node,
    report: Report,
    pause_detector: Detector,
    /// Version of the member list from which `peers` and the rank were computed.
    members_version: Option<u64>,
    /// Live peers and the addresses at which they listen.
    peers: BTreeMap<instance::Id, SocketAddr>,
    /// Live instances in the same failure domain, this one included.
    domain_instances: Vec<instance::Id>,
    /// Time at which the load is published next.
    next_load: Instant,
    load_documents: watch::Sender<Arc<Document>>,
    /// Time at which the latest packet arrived.
    last_packet_at: Instant,
    buffer: Vec<u8>,
    /// Held packets, the oldest first.
    held: Vec<Vec<u8>>,
}

impl Dispatcher {
    /// Creates a dispatcher; its timers start now.
    pub fn new(context: Context) -> Self {
        let now = context.clock.now();
        Dispatcher {
            front: Front::new(context.id.clone(), context.domain.clone(), context.seed)
                .with_load(context.load, now),
            mirror: mirror::Node::new(context.seed, now),
            report: Report::new(context.logger.clone(), Arc::clone(&context.metrics)),
            pause_detector: Detector::new(now),
            members_version: None,
            peers: BTreeMap::new(),
            domain_instances: Vec::new(),
            next_load: now,
            load_documents: watch::Sender::default(),
            last_packet_at: now,
            buffer: vec![0; DATAGRAM_MAX_BYTES],
            held: Vec::new(),
            context,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.context.clock.now()
    }

    /// Returns whether a configuration is in force, so that packets can be handled.
    pub fn is_configured(&self) -> bool {
        self.front.is_configured()
    }

    /// Returns whether the routers should send new flows to this instance.
    pub fn is_ready(&self) -> bool {
        self.front.is_ready()
    }

    /// Returns the load as a document that is replaced once a second.
    pub fn load_documents(&self) -> load::Receiver {
        self.load_documents.subscribe()
    }

    /// Returns the time since the latest packet arrived.
    pub fn time_since_packet(&self) -> Span {
        self.now().since(self.last_packet_at)
    }

    /// Waits until the packet socket is readable.
    ///
    /// # Errors
    /// When the socket fails.
    pub async fn readable(&self) -> std::io::Result<()> {
        self.context.socket.readable().await
    }

    /// Checks for a pause of the process and drives the timers of all state machines.
    pub fn tick(&mut self) {
        let now = self.now();
        let delay = self.pause_detector.time_since_tick(now).saturating_sub(TICK_INTERVAL);
        self.report.observe_tick_delay(delay, now);
        if let Some((paused, missed)) = self.pause_detector.tick(now) {
            self.report.metrics().pauses.inc();
            slog::warn!(self.context.logger, "the process did not run";
                "for" => %paused, "missed_by_clock" => %missed);
            self.handle_mirror_event(mirror::Event::Paused(missed), now);
            self.handle_front_event(front::Event::Paused, now);
        }
        self.handle_membership_event(event::Event::Tick, now);
        self.handle_mirror_event(mirror::Event::Tick, now);
        self.handle_front_event(front::Event::Tick, now);
        self.report.tick(now);
        self.update_gauges(now);
        self.publish_load(now);
    }

    /// Updates the metrics and the document of the load, once per `load::INTERVAL`.
    fn publish_load(&mut self, now: Instant) {
        if now < self.next_load {
            return;
        }
        self.next_load = now + load::INTERVAL;
        if let Some(load) = self.front.load() {
            self.report.metrics().load.update(load, now);
        }
        let document = Document::new(&self.front, self.context.load, now);
        self.load_documents.send_replace(Arc::new(document));
    }

    /// Updates the gauges.
    fn update_gauges(&self, now: Instant) {
        let metrics = self.report.metrics();
        metrics.flows.set(gauge_value(self.front.table().len()));
        metrics.live_instances.set(gauge_value(self.peers.len() + 1));
        metrics.ready.set(i64::from(self.is_ready()));
        if let Some(age) = self.mirror.age(now) {
            metrics.published_age.set(age.as_seconds());
        }
        metrics.published_era.set(gauge_value(self.mirror.replica().version().era.0));
        metrics.count_peer_traffic(self.context.mesh.counters());
    }

    /// Replaces the seeds, the peers whose addresses are configured.
    pub fn set_seeds(&mut self, seeds: Vec<roster::Entry>) {
        let now = self.now();
        self.handle_membership_event(event::Event::Roster(seeds), now);
    }

    /// Handles an event that another task sent.
    pub fn handle_input(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Frame { from, kind, body } => self.handle_frame(&from, kind, body, now),
            Input::LinkDown(id) => {
                self.handle_mirror_event(mirror::Event::Disconnected(id.clone()), now);
                self.handle_membership_event(event::Event::LinkDown(id), now);
            }
            Input::Answer(ticket, answer, took) => {
                self.context.metrics.observe_platform_call(&answer, took);
                self.handle_mirror_event(mirror::Event::Answer(ticket, answer), now);
            }
            Input::ProbeConnected(target) => {
                self.handle_front_event(front::Event::ProbeConnected(target), now);
            }
            Input::Probed(target, outcome) => {
                self.report.log_probe(&target, outcome, now);
                self.handle_front_event(front::Event::Probed(target, outcome), now);
            }
        }
    }

    /// Announces to the peers that this instance is about to leave.
    pub fn announce_leave(&mut self) {
        let now = self.now();
        self.handle_membership_event(event::Event::Leave, now);
    }

    /// Announces to the peers that this instance has left, and closes the links within
    /// `deadline`.
    pub async fn close(&mut self, deadline: Span) {
        let now = self.now();
        self.handle_membership_event(event::Event::Left, now);
        self.context.mesh.close(deadline).await;
    }

    fn handle_membership_event(&mut self, event: event::Event, now: Instant) {
        let mut actions = Vec::new();
        self.context.membership.handle(now, event, &mut actions);
        for action in actions {
            match action {
                action::Action::Send { to, address, message } => {
                    self.send_message(&to, address, Priority::Control, MEMBERSHIP, &message);
                }
                // The peers exchange the age of the published state in the messages of
                // the mirror.
                action::Action::Changed | action::Action::PeerRevision { .. } => {}
            }
        }
        self.update_live_peers(now);
    }

    /// Recomputes the live peers and the rank of this instance if the member list has
    /// changed.
    fn update_live_peers(&mut self, now: Instant) {
        let version = self.context.membership.version();
        if self.members_version == Some(version) {
            return;
        }
        self.members_version = Some(version);
        let mut known = Vec::new();
        let mut live = Vec::new();
        self.peers.clear();
        for record in self.context.membership.members() {
            if record.state == member::State::Left {
                continue;
            }
            let member = &record.member;
            known.push(member.id.clone());
            if !record.state.is_live() {
                continue;
            }
            live.push((&member.id, &member.domain));
            if member.id != self.context.id {
                self.peers.insert(member.id.clone(), member.address);
            }
        }
        let (me, domain) = (&self.context.id, &self.context.domain);
        let load_topology = load_topology::Topology::new(me, domain, live.iter().copied());
        let topology = topology::Topology::new(me, domain, live);
        slog::debug!(self.context.logger, "live instances changed"; "live" => self.peers.len() + 1,
            "known" => known.len(), "rank" => topology.fleet_rank);
        self.domain_instances.clone_from(&topology.neighbours);
        let relays = topology.relays.iter().map(|relay| relay.id.clone()).collect();
        self.handle_mirror_event(mirror::Event::Topology(topology), now);
        let neighbours = self.domain_instances.clone();
        self.handle_front_event(front::Event::Peers { known, neighbours, relays }, now);
        self.handle_front_event(front::Event::LoadTopology(load_topology), now);
    }

    fn handle_mirror_event(&mut self, event: mirror::Event, now: Instant) {
        let mut actions = Vec::new();
        self.mirror.handle(now, event, &mut actions);
        for action in actions {
            self.apply_mirror_action(action, now);
        }
    }

    fn apply_mirror_action(&mut self, action: mirror::Action, now: Instant) {
        let logger = &self.context.logger;
        match action {
            mirror::Action::Read(ticket, ask) => {
                let (store, inputs) =
                    (Arc::clone(&self.context.adapter.store), self.context.inputs.clone());
                let clock = self.context.clock;
                tokio::spawn(async move {
                    let answer = store.fetch(ask).await;
                    let took = clock.now().since(now);
                    // Fails only after the dispatcher has shut down.
                    let _ = inputs.send(Input::Answer(ticket, answer, took)).await;
                });
            }
            mirror::Action::Send { to, message } => {
                let Some(address) = self.peers.get(&to).copied() else { return };
                self.send_message(&to, address, Priority::Bulk, MIRROR, &message);
            }
            mirror::Action::Changed(changes) => {
                self.handle_front_event(front::Event::Published(changes), now);
            }
            mirror::Action::Pushed(push) => self.report.log_push(&push, now),
            mirror::Action::Departed(departures) => {
                slog::info!(logger, "targets departed before the start"; "count" => departures.len());
                self.handle_front_event(front::Event::Departed(departures), now);
            }
            mirror::Action::Restored(era) => {
                slog::warn!(logger, "the platform was restored from a copy"; "era" => %era);
            }
            mirror::Action::OlderConfiguration(version) => {
                slog::warn!(logger, "kept the configuration, since the published one is older"; "published_version" => version);
            }
            mirror::Action::Platform(Ok(())) => slog::info!(logger, "the platform answers again"),
            mirror::Action::Platform(Err(failure)) => {
                slog::warn!(logger, "the platform does not answer"; "failure" => %failure);
            }
            mirror::Action::Undecodable { from, count } => {
                slog::warn!(logger, "skipped changes that cannot be decoded"; "peer" => %from, "count" => count);
            }
        }
    }

    fn handle_front_event(&mut self, event: front::Event, now: Instant) {
        if let Some(age) = self.mirror.age(now) {
            let confirmed = front::Event::Confirmed(now - age);
            self.front.handle(now, confirmed, &mut Vec::new());
        }
        let mut actions = Vec::new();
        self.front.handle(now, event, &mut actions);
        self.apply_front_actions(actions, now);
    }

    fn apply_front_actions(&mut self, actions: Vec<front::Action>, now: Instant) {
        for action in actions {
            match action {
                front::Action::Reset(reset) => self.send_reset(&reset),
                front::Action::Resume => self.resume_held(now),
                front::Action::Probe(probe) => {
                    probes::spawn(&self.context.adapter, probe, self.context.inputs.clone());
                }
                front::Action::TellPeers { target, is_lost } => {
                    self.broadcast_status(&target, is_lost);
                }
                front::Action::SendContested { to, message } => {
                    let Some(address) = self.peers.get(&to).copied() else { continue };
                    self.send_message(&to, address, Priority::Control, CONTESTED, &message);
                }
                front::Action::SendLoad { to, message } => {
                    let Some(address) = self.peers.get(&to).copied() else { continue };
                    self.send_message(&to, address, Priority::Bulk, LOAD, &message);
                }
                front::Action::Note(note) => self.report.log_decision(&note, now),
                front::Action::Waited(wait) => self.report.metrics().observe_wait(wait),
            }
        }
    }
}
