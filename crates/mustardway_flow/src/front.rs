//! The state machine of one instance of the packet front: packets and events in,
//! verdicts and actions out.

mod contested;
mod established;
mod load;
mod open;
mod probing;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use compact_str::CompactString;
use mustardway_load::{message as load_message, node as load_node, topology};
use mustardway_mirror::publication::{Change, Departure};
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, instance, target};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;

use crate::backlog::Backlog;
use crate::contested::Registry;
use crate::contested::message as contested_message;
use crate::demand::Demand;
use crate::directory::Directory;
use crate::health::Outcome;
use crate::load::Load;
use crate::note::{DropReason, Note, ResetReason, Wait};
use crate::opening::Queue;
use crate::packet::{Flow, Packet, Reset};
use crate::placement::{Policy, Score, WEIGHTS};
use crate::reachability::Reachability;
use crate::responsiveness::Responsiveness;
use crate::table::{Record, Stage, Table};
use crate::token::Token;

/// Age of the published state up to which an instance trusts that something absent
/// from it does not exist: the shortest time within which a change has to be in force
/// (3 s).
const FRESHNESS_MAX: Span = Span::seconds(3);

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward the packet to a target.
    Forward {
        /// Number that identifies the target on the wire.
        key: u64,
        /// Address at which the target receives packets.
        address: SocketAddrV4,
        /// Token to write into the packet.
        token: Token,
    },
    /// Reset the packet's flow.
    Reset(Reset),
    /// Drop the packet.
    Drop(DropReason),
    /// Hold the packet until [`Action::Resume`].
    Hold,
}

/// An input to the state machine other than a packet.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed. Sent at least every 50 ms.
    Tick,
    /// The published state has changed.
    Published(Vec<Change>),
    /// These targets were unregistered before this instance started.
    Departed(Vec<Departure>),
    /// The platform last confirmed the published state at this time.
    Confirmed(Instant),
    /// The set of instances has changed.
    Peers {
        /// All known instances, live or not, including this one.
        known: Vec<instance::Id>,
        /// Live instances in this one's failure domain, including this one.
        neighbours: Vec<instance::Id>,
        /// One live instance in each other failure domain.
        relays: Vec<instance::Id>,
    },
    /// The process did not run for a while. Packets that were received meanwhile
    /// follow.
    Paused,
    /// All packets that were received so far have been handled.
    BacklogCleared,
    /// Packets that were received wait while other events are handled.
    BacklogRemains,
    /// The connection of a probe of a target was established. Its outcome follows.
    ProbeConnected(target::Id),
    /// A probe of a target has finished.
    Probed(target::Id, Outcome),
    /// A peer in the same failure domain reports the health of a target.
    PeerReport {
        /// The peer.
        from: instance::Id,
        /// The target.
        target: target::Id,
        /// Whether the target is lost; otherwise it answers again.
        is_lost: bool,
    },
    /// A peer sent a message about contested flows.
    Contested {
        /// The peer.
        from: instance::Id,
        /// The message.
        message: contested_message::Message,
    },
    /// A peer sent load estimates or what they are made from.
    Load {
        /// The peer.
        from: instance::Id,
        /// The message.
        message: load_message::Message,
    },
    /// The peers with which load estimates are exchanged have changed.
    LoadTopology(topology::Topology),
}

/// An output of the state machine other than a verdict.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Reset a flow.
    Reset(Reset),
    /// Decide again on all packets that are held, in the order of their arrival.
    Resume,
    /// Probe a target.
    Probe(Probe),
    /// Report the health of a target to the peers in the same failure domain.
    TellPeers {
        /// The target.
        target: target::Id,
        /// Whether the target is lost; otherwise it answers again.
        is_lost: bool,
    },
    /// Send a message about contested flows to a peer.
    SendContested {
        /// The peer.
        to: instance::Id,
        /// The message.
        message: contested_message::Message,
    },
    /// Send load estimates, or what they are made from, to a peer.
    SendLoad {
        /// The peer.
        to: instance::Id,
        /// The message.
        message: load_message::Message,
    },
    /// Log a decision.
    Note(Note),
    /// Record how long a caller waited.
    Waited(Wait),
}

/// A health check of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// The target.
    pub target: target::Id,
    /// Address at which the target answers health checks.
    pub address: SocketAddrV4,
    /// Path of the health check.
    pub path: CompactString,
}

/// The state of one instance.
#[derive(Debug)]
pub struct Front {
    me: instance::Id,
    home: domain::Name,
    directory: Directory,
    table: Table,
    known: Vec<instance::Id>,
    /// Live instances in this one's failure domain, including this one. They receive
    /// packets of the same callers.
    neighbours: Vec<instance::Id>,
    /// One live instance in each other failure domain.
    relays: Vec<instance::Id>,
    confirmed: Option<Instant>,
    /// Time at which a flow's packets first carried an unknown token.
    unknown_tokens: FxHashMap<Flow, Instant>,
    openings: Queue,
    contested: Registry,
    /// Whether a packet was held since the last [`Action::Resume`].
    has_held: bool,
    /// Whether peers that were asked after a start or a pause may still tell the holders of
    /// flows that opened before.
    is_catching_up: bool,
    /// Directory indexes of targets that are suspected or lost and that this instance
    /// probes.
    unhealthy: BTreeSet<usize>,
    /// Directory indexes of targets that a peer reported lost, with the latest peer that
    /// did.
    reported: BTreeMap<usize, instance::Id>,
    reachability: Reachability,
    /// Number of probes whose outcome is pending.
    probes_in_flight: usize,
    responsiveness: Responsiveness,
    /// Time of the latest reference probe.
    reference_probed: Instant,
    /// Whether the packets being handled were received while the process did not run.
    is_clearing_backlog: bool,
    backlog: Backlog,
    /// Time at which the latest pause and the handling of its packets ended.
    resumed: Instant,
    demand: Demand,
    /// Time since which less than half of the demand can be placed.
    unmet_since: Option<Instant>,
    next_sweep: Instant,
    policy: Box<dyn Policy>,
    /// Shared load estimates, if they are used.
    load: Option<Box<Load>>,
    rng: Pcg32,
}

impl Front {
    /// Creates the state of the instance `me` in the failure domain `home`.
    pub fn new(me: instance::Id, home: domain::Name, seed: u64) -> Self {
        Front {
            known: vec![me.clone()],
            neighbours: vec![me.clone()],
            relays: Vec::new(),
            me,
            home,
            directory: Directory::default(),
            table: Table::default(),
            confirmed: None,
            unknown_tokens: FxHashMap::default(),
            openings: Queue::default(),
            contested: Registry::default(),
            has_held: false,
            is_catching_up: false,
            unhealthy: BTreeSet::new(),
            reported: BTreeMap::new(),
            reachability: Reachability::default(),
            probes_in_flight: 0,
            responsiveness: Responsiveness::default(),
            reference_probed: Instant::default(),
            is_clearing_backlog: false,
            backlog: Backlog::default(),
            resumed: Instant::default(),
            demand: Demand::default(),
            unmet_since: None,
            next_sweep: Instant::default(),
            policy: Box::new(Score(WEIGHTS)),
            load: None,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Replaces the load-balancing policy, to compare policies.
    #[must_use]
    pub fn with_policy(mut self, policy: Box<dyn Policy>) -> Self {
        self.policy = policy;
        self
    }

    /// Returns the published routes and targets.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the flow table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the contested flows.
    pub fn contested(&self) -> &Registry {
        &self.contested
    }

    /// Returns whether a configuration is known, without which no packet can be
    /// handled.
    pub fn is_configured(&self) -> bool {
        self.directory.is_configured()
    }

    /// Returns whether the routers should send new flows to this instance.
    pub fn is_ready(&self) -> bool {
        self.is_configured() && self.unmet_since.is_none() && !self.is_catching_up
    }

    /// Decides what to do with a caller's packet.
    pub fn packet(&mut self, packet: &Packet, now: Instant, actions: &mut Vec<Action>) -> Verdict {
        if !self.is_configured() {
            return Verdict::Drop(DropReason::Unconfigured);
        }
        self.backlog.record_packet();
        // The caller has sent copies of this packet meanwhile, and another target may
        // have answered one. If a second target answered this packet, it would
        // attract the packets of the open flow.
        if packet.flags.opens && self.is_clearing_backlog {
            return Verdict::Drop(DropReason::Stale);
        }
        if packet.flags.opens {
            return self.open_flow(packet, now, actions);
        }
        self.continue_flow(packet, now, actions)
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Published(changes) => self.apply_changes(changes, now, actions),
            Event::Departed(departures) => self.directory.restore_departed(departures, now),
            Event::Confirmed(at) => self.confirmed = Some(at),
            Event::Peers { known, neighbours, relays } => {
                self.known = known;
                let earlier = std::mem::replace(&mut self.neighbours, neighbours);
                actions.extend(self.tell_started(&earlier, now));
                self.relays = relays;
                self.contested.retain_peers(&self.neighbours);
                self.exchange_holders(now, actions);
                self.resume_held(now, actions);
            }
            Event::Paused => {
                self.is_clearing_backlog = true;
                self.contested.ask_again(now);
                self.handle_load(load_node::Event::Paused, now, actions);
            }
            Event::BacklogCleared => {
                self.backlog.clear(now);
                if std::mem::take(&mut self.is_clearing_backlog) {
                    self.resumed = now;
                }
            }
            Event::BacklogRemains => self.backlog.remain(),
            Event::ProbeConnected(target) => self.probe_connected(&target, now),
            Event::Probed(target, outcome) => self.probed(&target, outcome, now, actions),
            Event::PeerReport { from, target, is_lost } => {
                self.reported(from, &target, is_lost, now, actions);
            }
            Event::Contested { from, message } => {
                self.receive_contested(from, message, now, actions);
            }
            Event::Load { from, message } => {
                let event = load_node::Event::Received { from, message };
                self.handle_load(event, now, actions);
            }
            Event::LoadTopology(topology) => {
                self.handle_load(load_node::Event::Topology(topology), now, actions);
            }
        }
    }

    /// Returns the time since the platform confirmed the published state.
    fn age(&self, now: Instant) -> Option<Span> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Returns whether something absent from the published state can be taken not to
    /// exist.
    fn is_fresh(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < FRESHNESS_MAX)
    }

    fn forward_to(&self, index: usize, is_ambiguous: bool) -> Option<Verdict> {
        let target = self.directory.get(index)?;
        let key = target.registration.key;
        let address = target.registration.address;
        let token = if is_ambiguous { target.token.ambiguous() } else { target.token };
        Some(Verdict::Forward { key, address, token })
    }

    /// Resets the flow of `packet` and removes it from the flow table.
    fn reset(
        &mut self,
        packet: &Packet,
        reason: ResetReason,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        let flow = packet.flow();
        let record = self.untrack(&flow, now);
        let target = record.and_then(|record| self.directory.get(record.target));
        let target = target.map(|target| target.registration.id.clone());
        let age = self.age(now);
        actions.push(Action::Note(Note::Reset { flow, target, reason, age }));
        // In an opening packet the acknowledgement field counts copies. A flow that
        // is not open is reset by any sequence number.
        Verdict::Reset(Reset { flow, sequence: packet.acknowledgement })
    }

    /// Adds a flow to the flow table and counts it at its target.
    fn track(&mut self, flow: Flow, record: Record, now: Instant) {
        self.untrack(&flow, now);
        if self.table.insert(flow, record)
            && let Some(target) = self.directory.get_mut(record.target)
        {
            target.observation.flows += 1;
        }
    }

    /// Removes a flow from the flow table and from the counts of its target.
    fn untrack(&mut self, flow: &Flow, now: Instant) -> Option<Record> {
        let mut record = self.table.remove(flow)?;
        if let Some(answer) = record.measurement.take_answer(record.acknowledged) {
            self.record_answer(record.target, flow.route, &answer);
        }
        if let Some(target) = self.directory.get_mut(record.target) {
            if record.stage != Stage::Ended {
                target.observation.flows = target.observation.flows.saturating_sub(1);
            }
            if record.request_since.is_some() {
                target.observation.finish_request(now);
            }
        }
        Some(record)
    }
}
