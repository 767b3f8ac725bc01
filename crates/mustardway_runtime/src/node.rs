//! The tables that the tasks of one instance share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bytes::Bytes;
use mustardway_gate::{Gate, Step};
use mustardway_peer::frame;
use mustardway_peer::link::Peer;
use mustardway_peer::mesh::Mesh;
use mustardway_peer::send::Priority;
use mustardway_peer::transmission::Ticket;
use mustardway_routing::budget::Budget;
use mustardway_routing::cache::Cache;
use mustardway_routing::snapshot::Snapshot;
use mustardway_telemetry::promise::Counters;
use mustardway_telemetry::tally::Tally;
use mustardway_types::answer::Reason;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{flow, instance, target};
use parking_lot::{Mutex, RwLock};
use prost::Message;

use crate::forwarded;
use crate::message::{Kind, Outcome};
use crate::owner;
use crate::relay::Relay;
use crate::ticket_table::{self, End};
use crate::upstream;
use mustardway_types::clock::Clock;

/// Number of shards of the flow cache.
const CACHE_SHARDS: usize = 16;
/// Weight of the latest load in the exponential moving average of a target's load.
const LOAD_WEIGHT: f64 = 0.2;

/// The gates, by target.
pub type Gates = HashMap<target::Id, Arc<Mutex<Gate>>>;

/// The tables that the tasks of one instance share.
pub struct Node {
    /// Name of this instance.
    pub me: instance::Id,
    /// Clock of this instance.
    pub clock: Clock,
    /// Links to other instances; set once the mesh has started.
    pub mesh: std::sync::OnceLock<Mesh>,
    /// Gates of the targets that this instance owns or recently owned.
    pub gates: RwLock<Gates>,
    /// Requests that wait for a gate or run at a target.
    pub tickets: ticket_table::Table,
    /// Asks to other instances that wait for a reply.
    pub relay: Relay,
    /// Once-only requests that are known to have been sent to owners.
    pub forwarded: Mutex<forwarded::Table>,
    /// Retry budget of the ingress.
    pub budget: Mutex<Budget>,
    /// Clients for calls to targets.
    pub upstream: upstream::Pool,
    /// Logger of this instance.
    pub logger: slog::Logger,
    /// Number of packets with this instance as ingress that have no answer yet.
    pub in_flight: AtomicU64,
    /// Counters of kept and violated promises, as far as this instance can tell.
    pub promises: Arc<Counters>,
    /// Number of answers to callers, by reason.
    pub answers: Tally,
    snapshot: RwLock<Arc<Snapshot>>,
    cache: Vec<Mutex<Cache>>,
    loads: Mutex<HashMap<target::Id, f64>>,
    fenced: AtomicBool,
    last_tick: AtomicU64,
    tick_gap_max: Span,
}

impl Node {
    /// Creates empty tables. The flow cache holds at most `flows` flows. A gap between ticks of the
    /// control loop of more than `tick_gap_max` counts as a pause of the process, which fences this
    /// instance.
    pub fn new(
        me: instance::Id,
        flows: usize,
        tick_gap_max: Span,
        promises: Arc<Counters>,
        logger: slog::Logger,
    ) -> Self {
        let shard = || Mutex::new(Cache::new(flows / CACHE_SHARDS));
        Node {
            snapshot: RwLock::new(Arc::new(Snapshot::empty(me.clone()))),
            me,
            clock: Clock::new(),
            mesh: std::sync::OnceLock::new(),
            gates: RwLock::default(),
            tickets: ticket_table::Table::default(),
            relay: Relay::default(),
            forwarded: Mutex::default(),
            budget: Mutex::default(),
            upstream: upstream::Pool::default(),
            logger,
            in_flight: AtomicU64::new(0),
            promises,
            answers: Tally::default(),
            cache: std::iter::repeat_with(shard).take(CACHE_SHARDS).collect(),
            loads: Mutex::default(),
            fenced: AtomicBool::new(true),
            last_tick: AtomicU64::new(0),
            tick_gap_max,
        }
    }

    /// Returns the current routing snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot.read())
    }

    /// Replaces the routing snapshot.
    pub fn set_snapshot(&self, snapshot: Arc<Snapshot>) {
        *self.snapshot.write() = snapshot;
    }

    /// Returns the gate of `target`, if this instance has one.
    pub fn gate(&self, target: &target::Id) -> Option<Arc<Mutex<Gate>>> {
        self.gates.read().get(target).cloned()
    }

    /// Returns the shard of the flow cache that holds `flow`.
    pub fn cache(&self, flow: flow::Id) -> &Mutex<Cache> {
        &self.cache[(flow.0 % CACHE_SHARDS as u64) as usize]
    }

    /// Returns all shards of the flow cache.
    pub fn cache_shards(&self) -> &[Mutex<Cache>] {
        &self.cache
    }

    /// Records a tick of the control loop, and whether membership is fenced.
    pub fn record_tick(&self, now: Instant, fenced: bool) {
        self.last_tick.store(now.0, Ordering::Release);
        self.fenced.store(fenced, Ordering::Release);
    }

    /// Returns whether this instance is fenced and must not act as an owner, because its peers have
    /// not answered or the process was paused. The gap since the last tick shows a pause before the
    /// control loop can run again.
    pub fn is_fenced(&self) -> bool {
        let last = Instant(self.last_tick.load(Ordering::Acquire));
        self.fenced.load(Ordering::Acquire) || self.clock.now().since(last) > self.tick_gap_max
    }

    /// Adds a load that the owner of `target` reported to the target's moving average.
    pub fn record_load(&self, target: &target::Id, load: f64) {
        let mut loads = self.loads.lock();
        let mean = loads.entry(target.clone()).or_insert(load);
        *mean += (load - *mean) * LOAD_WEIGHT;
    }

    /// Returns the mean of the known loads of `targets`, or `None` if none is known.
    pub fn mean_load(&self, targets: &[target::Id]) -> Option<f64> {
        let loads = self.loads.lock();
        let known: Vec<f64> = targets.iter().filter_map(|id| loads.get(id).copied()).collect();
        (!known.is_empty()).then(|| known.iter().sum::<f64>() / known.len() as f64)
    }

    /// Drops the loads of targets for which `keep` returns false.
    pub fn retain_loads(&self, keep: impl Fn(&target::Id) -> bool) {
        self.loads.lock().retain(|target, _| keep(target));
    }

    /// Counts an answer to a caller.
    pub fn count_answer(&self, reason: Reason) {
        self.answers.add(reason);
    }

    /// Sends a message to a live instance. The message may be lost.
    pub fn send(&self, to: &instance::Id, priority: Priority, kind: Kind, message: &impl Message) {
        let snapshot = self.snapshot();
        let Some(instance) = snapshot.live.get(to) else { return };
        self.send_to(&Peer { id: to.clone(), address: instance.peer }, priority, kind, message);
    }

    /// Sends a message to a peer whose address is known. The message may be lost.
    pub fn send_to(&self, to: &Peer, priority: Priority, kind: Kind, message: &impl Message) {
        let Some(mesh) = self.mesh.get() else { return };
        let body = Bytes::from(message.encode_to_vec());
        // A frame that the full queue rejects is lost, like a frame lost on the network.
        let _ = mesh.send(to, priority, frame_kind(kind), body);
    }

    /// Sends a message and returns a ticket that tells whether any byte of it can have been sent.
    /// Returns `None` if nothing was sent.
    pub fn send_tracked(&self, to: &Peer, kind: Kind, message: &impl Message) -> Option<Ticket> {
        let body = Bytes::from(message.encode_to_vec());
        self.mesh.get()?.send_tracked(to, Priority::Bulk, frame_kind(kind), body).ok()
    }

    /// Performs the steps that a gate decided. `reply` is the payload of the target that answered,
    /// if the steps follow from its answer.
    pub fn dispatch(self: &Arc<Self>, steps: Vec<Step>, reply: Option<&Bytes>) {
        for step in steps {
            match step {
                Step::Start(ticket) => owner::start(self, ticket),
                Step::Abort(ticket) => self.tickets.abort(ticket),
                Step::TryNext(ticket, refusal) => {
                    self.tickets.end(ticket, &End::TryNext(refusal));
                }
                Step::Redirect(ticket, to) => self.tickets.end(ticket, &End::Redirect(to)),
                Step::Answer(ticket, answer) => {
                    let end = match (answer.reason, reply) {
                        (Reason::Answered, Some(reply)) => End::Done(reply.clone()),
                        _ => End::Answer(answer),
                    };
                    self.tickets.end(ticket, &end);
                }
            }
        }
    }
}

/// Returns the frame kind of a message kind.
pub fn frame_kind(kind: Kind) -> frame::Kind {
    frame::Kind(frame::Kind::FIRST_APPLICATION.0 + kind as u32)
}

/// Converts the end of a ticket to the outcome for the ingress.
pub fn to_outcome(target: &target::Id, end: End) -> Outcome {
    match end {
        End::Done(payload) => {
            Outcome::Done(crate::message::Done { target: target.to_string(), payload, load: 0.0 })
        }
        End::Answer(answer) => Outcome::Final(crate::message::Final::new(answer)),
        End::TryNext(refusal) => Outcome::TryNext(crate::message::TryNext {
            answer: crate::message::Final::new(refusal.answer),
            whole: refusal.fresh,
        }),
        End::Redirect(to) => {
            Outcome::NotOwner(to.map_or_else(String::new, |owner| owner.to_string()))
        }
    }
}
