//! The queries and commands of the administration interface, answered from the tables of this
//! instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use compact_str::{CompactString, ToCompactString, format_compact};
use mustardway_admin::error::Error;
use mustardway_admin::{handler, response};
use mustardway_gate::{Gate, Ownership};
use mustardway_membership::member;
use mustardway_routing::attempt::Attempt;
use mustardway_routing::step::Step;
use mustardway_telemetry::audit::Trail;
use mustardway_telemetry::promise::Counters;
use mustardway_types::packet::Header;
use mustardway_types::request::{Repeat, Urgency};
use mustardway_types::time::{Instant, Span};
use mustardway_types::{address, domain, flow, instance, request};
use mustardway_view::model::View;
use parking_lot::{Mutex, RwLock};
use tokio::sync::mpsc;

use crate::control::channel::Order;
use crate::control::report::Report;
use crate::node::Node;

/// Time until the deadline of the packet whose route an explanation shows.
const ASSUMED_DEADLINE: Span = Span::seconds(5);

/// Answers the administration interface of one instance.
pub struct Handler {
    /// Shared tables of the instance.
    pub node: Arc<Node>,
    /// Report of the control loop.
    pub report: Arc<RwLock<Report>>,
    /// Channel for orders to the control loop.
    pub orders: mpsc::Sender<Order>,
    /// Failure domain of the instance.
    pub domain: domain::Name,
    /// Incarnation of the instance.
    pub incarnation: instance::Incarnation,
    /// Audit trail of the instance.
    pub trail: Arc<Trail>,
    /// Counters of kept and violated promises.
    pub promises: Arc<Counters>,
    /// Whether the instance is handing over, or has handed over, the targets that it owned.
    pub draining: AtomicBool,
    /// Whether the process is stopping. Commands are then refused.
    pub stopping: AtomicBool,
    /// Time at which the instance started.
    pub started: Instant,
}

impl Handler {
    /// Records that the process is stopping.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the state of the instance.
    fn state(&self) -> response::State {
        if self.draining.load(Ordering::Relaxed) {
            return response::State::Draining;
        }
        if self.node.snapshot().plan.is_none() {
            return response::State::Starting;
        }
        if self.node.is_fenced() {
            return response::State::Fenced;
        }
        response::State::Serving
    }

    /// Returns all gates of the instance.
    fn gates(&self) -> Vec<Arc<Mutex<Gate>>> {
        self.node.gates.read().values().cloned().collect()
    }

    /// Sends an order to the control loop and sets whether the instance is draining.
    fn order(&self, order: Order, draining: bool) -> Result<response::Command, Error> {
        let stopping = || Error::Conflict("this instance is stopping".into());
        if self.stopping.load(Ordering::Relaxed) {
            return Err(stopping());
        }
        if self.draining.swap(draining, Ordering::Relaxed) == draining {
            let state = if draining { "drains already" } else { "does not drain" };
            return Err(Error::Conflict(format_compact!("this instance {state}")));
        }
        if self.orders.try_send(order).is_err() {
            self.draining.store(!draining, Ordering::Relaxed);
            return Err(stopping());
        }
        Ok(response::Command { state: self.state() })
    }
}

impl handler::Handler for Handler {
    fn live(&self) -> response::Live {
        response::Live { id: self.node.me.clone(), live: true }
    }

    fn ready(&self) -> response::Ready {
        let obstacle = self.report.read().obstacle;
        let reason = if self.draining.load(Ordering::Relaxed) {
            Some("it is draining".into())
        } else {
            obstacle.map(|obstacle| obstacle.to_compact_string())
        };
        response::Ready { ready: reason.is_none(), reason }
    }

    fn status(&self) -> response::Status {
        let now = self.node.clock.now();
        let snapshot = self.node.snapshot();
        let view = snapshot.plan.as_ref().map(|plan| &plan.view);
        let (mut owned, mut flows, mut running, mut queued) = (0, 0, 0, 0);
        for gate in self.gates() {
            let gate = gate.lock();
            let load = gate.load(now);
            owned += u64::from(decides(&gate, now));
            flows += u64::from(load.flows);
            running += u64::from(load.running);
            queued += u64::from(load.queued);
        }
        response::Status {
            id: self.node.me.clone(),
            domain: self.domain.clone(),
            incarnation: self.incarnation,
            state: self.state(),
            up: now.since(self.started),
            revision: view.map(|view| view.revision).unwrap_or_default(),
            digest: view.map(|view| view.digest).unwrap_or_default().to_compact_string(),
            peers: snapshot.live.len().saturating_sub(1) as u64,
            targets_owned: owned,
            flows,
            running,
            queued,
            platform_calls: self.report.read().reads,
        }
    }

    fn view(&self) -> Option<Arc<View>> {
        self.node.snapshot().plan.as_ref().map(|plan| Arc::clone(&plan.view))
    }

    fn targets(&self) -> response::Targets {
        let now = self.node.clock.now();
        let snapshot = self.node.snapshot();
        let mut targets = Vec::new();
        let view = snapshot.plan.as_ref().map(|plan| &plan.view);
        for (id, target) in view.iter().flat_map(|view| &view.targets) {
            targets.push(response::Target {
                id: id.clone(),
                service: target.service.clone(),
                domain: target.domain.clone(),
                endpoint: target.endpoint,
                owner: snapshot.owner(id).map(|owner| owner.id.clone()),
                load: self.node.gate(id).map(|gate| load(&gate.lock(), now)),
            });
        }
        response::Targets { targets }
    }

    fn flows(&self, shown_max: usize) -> response::Flows {
        let snapshot = self.node.snapshot();
        let (mut total, mut shown) = (0, Vec::new());
        for gate in self.gates() {
            let gate = gate.lock();
            total += gate.flows() as u64;
            let room = shown_max.saturating_sub(shown.len());
            for id in gate.flow_ids().into_iter().take(room) {
                shown.extend(self.flow(&snapshot, &gate, id));
            }
        }
        response::Flows { total, shown }
    }

    fn peers(&self) -> response::Peers {
        let report = self.report.read();
        let mut peers = Vec::with_capacity(report.peers.len());
        for peer in &report.peers {
            if peer.id == self.node.me {
                continue;
            }
            peers.push(response::Peer {
                id: peer.id.clone(),
                domain: peer.domain.clone(),
                address: peer.address,
                state: state_name(peer.state),
                heard: None,
                revision: peer.revision,
            });
        }
        response::Peers { peers }
    }

    fn audit(&self) -> response::Audit {
        response::Audit::of(&self.trail)
    }

    fn promises(&self) -> response::Promises {
        response::Promises { promises: self.promises.counts(), answers: self.node.answers.counts() }
    }

    fn explain(&self, flow: flow::Id, address: address::Address) -> response::Explanation {
        let snapshot = self.node.snapshot();
        let mut explanation = response::Explanation::new(flow, address);
        let plan = snapshot.plan.as_ref();
        explanation.service = plan.and_then(|plan| plan.view.addresses.get(&address).cloned());
        let cached = self.node.cache(flow).lock().get(flow).cloned();
        if let Some(target) = &cached {
            explanation.steps.push(format_compact!("this instance has sent it to {target} before"));
        }
        for gate in self.gates() {
            let gate = gate.lock();
            let known = gate.explain(self.node.clock.now(), flow);
            if known != mustardway_gate::query::Explanation::Unknown {
                explanation.steps.push(format_compact!("the gate of {}: {known:?}", gate.target()));
            }
        }
        let header = sample_header(flow, address);
        let now = self.node.clock.now();
        let (attempt, step) =
            Attempt::start(header, now + ASSUMED_DEADLINE, cached, &snapshot, now);
        for (target, mode) in attempt.visits() {
            let owner = snapshot.owner(target).map(|owner| owner.id.to_compact_string());
            let owner = owner.unwrap_or_else(|| "nobody".into());
            explanation.steps.push(format_compact!("asks {owner} about {target}: {mode:?}"));
        }
        match step {
            Step::Ask(ask) => {
                explanation.target = Some(ask.target);
                explanation.owner = Some(ask.owner);
            }
            Step::Answer(answer) => explanation.steps.push(answer.reason.to_compact_string()),
            Step::Pause(_) => {}
        }
        explanation
    }

    fn drain(&self) -> Result<response::Command, Error> {
        self.order(Order::Leave, true)
    }

    fn undrain(&self) -> Result<response::Command, Error> {
        self.order(Order::Return, false)
    }
}

impl Handler {
    /// Describes one flow of a gate. Returns `None` if its target is unknown or its service has no
    /// address.
    fn flow(
        &self,
        snapshot: &mustardway_routing::snapshot::Snapshot,
        gate: &Gate,
        id: flow::Id,
    ) -> Option<response::Flow> {
        let now = self.node.clock.now();
        let service = &snapshot.target(gate.target())?.service;
        let plan = snapshot.plan.as_ref()?;
        let address = *plan.view.services.get(service)?.addresses.first()?;
        let idle = match gate.explain(now, id) {
            mustardway_gate::query::Explanation::Open { idle, .. } => idle,
            _ => Span::ZERO,
        };
        Some(response::Flow {
            id: id.to_compact_string(),
            address,
            target: gate.target().clone(),
            idle,
        })
    }
}

/// Returns whether a gate admits requests. A pending gate starts to do so with the first request
/// after its waiting time.
fn decides(gate: &Gate, now: Instant) -> bool {
    match gate.ownership() {
        Ownership::Pending { until } => *until <= now,
        Ownership::Serving { .. } => true,
        Ownership::Closed { .. } => false,
    }
}

/// Describes the load of a gate's target.
fn load(gate: &Gate, now: Instant) -> response::Load {
    let load = gate.load(now);
    let state = match gate.ownership() {
        Ownership::Closed { .. } => "handed-over",
        Ownership::Pending { .. } if !decides(gate, now) => "pending",
        _ if load.warmth < 1.0 => "ramping",
        _ => "serving",
    };
    response::Load {
        state: state.into(),
        running: u64::from(load.running),
        slots: u64::from(load.allowed),
        queued: u64::from(load.queued),
        flows: u64::from(load.flows),
    }
}

/// Returns the name of a membership state.
fn state_name(state: member::State) -> CompactString {
    match state {
        member::State::Alive => "alive",
        member::State::Suspect => "suspect",
        member::State::Leaving => "leaving",
        member::State::Dead => "dead",
        member::State::Left => "left",
    }
    .into()
}

/// Returns the header of a sample packet that opens `flow`, to explain where it would go.
fn sample_header(flow: flow::Id, address: address::Address) -> Header {
    Header {
        address,
        flow,
        request: request::Id(0),
        part: 0,
        parts: 1,
        opening: true,
        closing: false,
        repeat: Repeat::Idempotent,
        attempt: 1,
        urgency: Urgency::Ordinary,
    }
}
