//! The decisions of one instance of the packet front, joined.

mod established;
mod open;
mod probing;

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use compact_str::CompactString;
use mustardway_mirror::publication::{Change, Departure};
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, instance, target};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;

use crate::demand::Demand;
use crate::directory::Directory;
use crate::health::Outcome;
use crate::note::{DropReason, Note, ResetReason, Wait};
use crate::opening;
use crate::packet::{Flow, Packet, Reset};
use crate::placement::{Policy, Score, WEIGHTS};
use crate::responsiveness::Responsiveness;
use crate::table::{Record, Stage, Table};
use crate::token::Token;

/// Age of the published state up to which an instance relies on what is absent
/// from it: the shortest bound in which a change has to be in force (3 s).
const FRESHNESS_MAX: Span = Span::seconds(3);

/// What becomes of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It goes to a target.
    Forward {
        /// Number that addresses exactly this target.
        key: u64,
        /// Where the target takes packets.
        address: SocketAddrV4,
        /// Token to write into it.
        token: Token,
    },
    /// Its flow is reset.
    Reset(Reset),
    /// It is dropped.
    Drop(DropReason),
}

/// What one instance is told, other than packets.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; given at least every 50 ms.
    Tick,
    /// The published state has changed.
    Published(Vec<Change>),
    /// Targets departed before this instance started.
    Departed(Vec<Departure>),
    /// When the platform last confirmed the published state.
    Confirmed(Instant),
    /// Other instances.
    Peers {
        /// Known instances, live or not, this one among them.
        known: Vec<instance::Id>,
        /// Live instances in this one's failure domain, itself among them.
        domain_instances: usize,
    },
    /// The process did not run for a while; packets that came in meanwhile follow.
    Paused,
    /// No packet is left that came in while the process did not run.
    BacklogCleared,
    /// What a probe found.
    Probed(target::Id, Outcome),
    /// What a peer in the same failure domain found of a target.
    PeerReport {
        /// The target.
        target: target::Id,
        /// It does not answer; else it answers again.
        is_lost: bool,
    },
}

/// What one instance wants done, other than forwarding.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Reset a flow.
    Reset(Reset),
    /// Probe a target.
    Probe(Probe),
    /// Tell peers in the same failure domain what was found of a target.
    TellPeers {
        /// The target.
        target: target::Id,
        /// It does not answer; else it answers again.
        is_lost: bool,
    },
    /// Log a decision.
    Note(Note),
    /// Count a time that a caller waited.
    Waited(Wait),
}

/// One probe of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// The target.
    pub target: target::Id,
    /// Where it answers health checks.
    pub address: SocketAddrV4,
    /// Path of the health check.
    pub path: CompactString,
}

/// The decisions of one instance.
#[derive(Debug)]
pub struct Front {
    me: instance::Id,
    home: domain::Name,
    directory: Directory,
    table: Table,
    known: Vec<instance::Id>,
    /// Instances that get the same callers' packets.
    domain_instances: usize,
    confirmed: Option<Instant>,
    /// When an unknown token was first seen in a flow.
    unknown_tokens: FxHashMap<Flow, Instant>,
    openings: opening::Queue,
    /// Places of targets that are not trusted.
    unhealthy: BTreeSet<usize>,
    /// Probes that are on their way.
    probes_in_flight: usize,
    responsiveness: Responsiveness,
    /// When a target may be probed for comparison again.
    next_reference_probe: Instant,
    /// Packets come in that have waited while the process did not run.
    is_clearing_backlog: bool,
    demand: Demand,
    /// At least half of what callers ask can be placed.
    meets_demand: bool,
    next_sweep: Instant,
    policy: Box<dyn Policy>,
    rng: Pcg32,
}

impl Front {
    /// An instance named `me` in the failure domain `home`.
    pub fn new(me: instance::Id, home: domain::Name, seed: u64) -> Self {
        Front {
            known: vec![me.clone()],
            domain_instances: 1,
            me,
            home,
            directory: Directory::default(),
            table: Table::default(),
            confirmed: None,
            unknown_tokens: FxHashMap::default(),
            openings: opening::Queue::default(),
            unhealthy: BTreeSet::new(),
            probes_in_flight: 0,
            responsiveness: Responsiveness::default(),
            next_reference_probe: Instant::default(),
            is_clearing_backlog: false,
            demand: Demand::default(),
            meets_demand: true,
            next_sweep: Instant::default(),
            policy: Box::new(Score(WEIGHTS)),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// The same with another way to choose targets, for comparison.
    #[must_use]
    pub fn with_policy(mut self, policy: Box<dyn Policy>) -> Self {
        self.policy = policy;
        self
    }

    /// Routes and targets as published.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Flows seen here.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Whether packets can be taken.
    pub fn is_configured(&self) -> bool {
        self.directory.is_configured()
    }

    /// Whether the routers do well to send new flows here.
    pub fn is_ready(&self) -> bool {
        self.is_configured() && self.meets_demand
    }

    /// Decides what becomes of a caller's packet.
    pub fn packet(&mut self, packet: &Packet, now: Instant, actions: &mut Vec<Action>) -> Verdict {
        if !self.is_configured() {
            return Verdict::Drop(DropReason::Unconfigured);
        }
        // The caller has sent copies meanwhile: a second target that answers this
        // one would draw the open flow's packets to itself.
        if packet.flags.opens && self.is_clearing_backlog {
            return Verdict::Drop(DropReason::Stale);
        }
        if packet.flags.opens {
            return self.open_flow(packet, now, actions);
        }
        self.continue_flow(packet, now, actions)
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Published(changes) => self.apply_changes(changes, now, actions),
            Event::Departed(departures) => self.directory.restore_departed(departures, now),
            Event::Confirmed(at) => self.confirmed = Some(at),
            Event::Peers { known, domain_instances } => {
                self.known = known;
                self.domain_instances = domain_instances;
            }
            Event::Paused => self.is_clearing_backlog = true,
            Event::BacklogCleared => self.is_clearing_backlog = false,
            Event::Probed(target, outcome) => self.probed(&target, outcome, now, actions),
            Event::PeerReport { target, is_lost } => self.reported(&target, is_lost, now, actions),
        }
    }

    /// Time since the platform confirmed the published state.
    fn age(&self, now: Instant) -> Option<Span> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Whether what is absent from the published state can be relied on.
    fn is_fresh(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < FRESHNESS_MAX)
    }

    fn forward_to(&self, index: usize) -> Option<Verdict> {
        let target = self.directory.get(index)?;
        let key = target.registration.key;
        let address = target.registration.address;
        Some(Verdict::Forward { key, address, token: target.token })
    }

    /// Resets the flow of `packet` and forgets it.
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
        // In an opening packet the acknowledgement counts copies; any position
        // resets a flow that is not open.
        Verdict::Reset(Reset { flow, sequence: packet.acknowledgement })
    }

    /// Remembers a flow at its target.
    fn track(&mut self, flow: Flow, record: Record, now: Instant) {
        self.untrack(&flow, now);
        if self.table.insert(flow, record)
            && let Some(target) = self.directory.get_mut(record.target)
        {
            target.observation.flows += 1;
        }
    }

    /// Forgets a flow and what it counts for at its target.
    fn untrack(&mut self, flow: &Flow, now: Instant) -> Option<Record> {
        let record = self.table.remove(flow)?;
        if let Some(target) = self.directory.get_mut(record.target)
            && record.stage != Stage::Ended
        {
            target.observation.flows = target.observation.flows.saturating_sub(1);
            if record.request_since.is_some() {
                target.observation.finish_request(now);
            }
        }
        Some(record)
    }
}
