//! Opening, handing over and closing gates when the ownership of targets changes.
//!
//! The owner of a target is the live instance that ranks first for it. An instance that becomes
//! first opens a gate in the pending state. The gate then waits for the state that the previous
//! owner hands over, or, if that owner was lost, for the announcements of the other instances. An
//! instance that is no longer first closes its gate and sends the gate's state to the next owner
//! until that owner acknowledges it.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use mustardway_gate::gate::Gate;
use mustardway_gate::{Announcement, Handover, Key, Ownership, Step, message, ownership};
use mustardway_peer::link::Peer;
use mustardway_peer::send::Priority;
use mustardway_routing::snapshot::{Snapshot, is_domain_in_service};
use mustardway_types::time::{Instant, Span};
use mustardway_types::{hash, instance, target};
use mustardway_view::model::{Target, TargetState};
use parking_lot::Mutex;

use crate::message::{Accepted, Kind};
use crate::node::Node;

/// Time for which a new gate waits for the handover of a previous owner that is not known to be
/// lost.
const HANDOVER_WAIT: Span = Span::millis(2_500);
/// Time between two transmissions of a handover that was not acknowledged.
const RESEND_INTERVAL: Span = Span::millis(500);

/// A handover to instance `to`, last sent at `sent_at`. `accepted` is set once `to` has
/// acknowledged it.
struct Outgoing {
    to: instance::Id,
    state: Handover,
    sent_at: Instant,
    accepted: bool,
}

/// A target that has a gate on this instance.
struct LocalGate<'a> {
    id: &'a target::Id,
    target: &'a Target,
    gate: &'a Mutex<Gate>,
    /// Whether this instance should own the target.
    is_owned: bool,
}

/// Tracks the handovers to other owners. Part of the control loop's state.
#[derive(Default)]
pub struct Coordinator {
    outgoing: HashMap<target::Id, Outgoing>,
}

impl Coordinator {
    /// Opens, updates, hands over and drops gates according to a new snapshot. `before` is the
    /// previous snapshot, and `lost` holds the instances found dead since the gates were last
    /// reconciled.
    pub fn reconcile(
        &mut self,
        node: &Arc<Node>,
        snapshot: &Snapshot,
        lost: &BTreeSet<instance::Id>,
        before: &Snapshot,
    ) {
        let Some(plan) = &snapshot.plan else { return };
        let now = node.clock.now();
        for (id, target) in &plan.view.targets {
            let is_owned = snapshot.successor(id).is_some_and(|successor| successor.id == node.me);
            let gate = node.gate(id);
            match gate {
                Some(gate) => {
                    let local = LocalGate { id, target, gate: &gate, is_owned };
                    self.reconcile_gate(node, snapshot, &local, now);
                }
                None if is_owned => open_gate(node, id, target, before, lost, now),
                None => {}
            }
        }
        self.drop_unknown_targets(node, snapshot);
        for instance in lost {
            self.forget_instance(node, instance);
        }
    }

    /// Resends handovers that were not acknowledged, and sends the outcomes of requests that ended
    /// after their gate was handed over.
    pub fn tick(&mut self, node: &Arc<Node>) {
        let now = node.clock.now();
        for (id, outgoing) in &mut self.outgoing {
            if !outgoing.accepted && now.since(outgoing.sent_at) >= RESEND_INTERVAL {
                outgoing.sent_at = now;
                send(node, &outgoing.to, outgoing.state.clone());
            }
            let Some(gate) = node.gate(id) else { continue };
            let late = take_late_handover(&mut gate.lock());
            if let Some((to, late)) = late {
                send(node, &to, late);
            }
        }
    }

    /// Records the acknowledgement of a handover by the next owner `from`.
    pub fn accepted(&mut self, from: &instance::Id, accepted: &Accepted) {
        let Ok(target) = accepted.target.parse::<target::Id>() else { return };
        let Some(outgoing) = self.outgoing.get_mut(&target) else { return };
        if outgoing.to == *from {
            outgoing.accepted = true;
        }
    }

    /// Returns whether every gate that another instance can own was handed over and acknowledged.
    pub fn is_complete(&self, node: &Node) -> bool {
        let snapshot = node.snapshot();
        for (id, gate) in node.gates.read().iter() {
            let has_successor = snapshot.successor(id).is_some();
            let serves =
                has_successor && matches!(gate.lock().ownership(), Ownership::Serving { .. });
            if serves || self.outgoing.get(id).is_some_and(|outgoing| !outgoing.accepted) {
                return false;
            }
        }
        true
    }

    /// Applies the view to a gate, and hands the gate over or reopens it if its owner changed.
    fn reconcile_gate(
        &mut self,
        node: &Arc<Node>,
        snapshot: &Snapshot,
        local: &LocalGate<'_>,
        now: Instant,
    ) {
        let (id, is_owned) = (local.id, local.is_owned);
        let mut steps = Vec::new();
        let mut state = None;
        {
            let mut gate = local.gate.lock();
            apply_view(&mut gate, snapshot, local.target, now, &mut steps);
            let ownership = gate.ownership().clone();
            match (ownership, snapshot.successor(id)) {
                (Ownership::Closed { .. }, _) if is_owned => {
                    self.reclaim(&mut gate, id, now, &mut steps);
                }
                (Ownership::Serving { .. } | Ownership::Pending { .. }, Some(successor))
                    if !is_owned =>
                {
                    let to = successor.id.clone();
                    state = Some((to.clone(), gate.hand_over(now, to, &mut steps)));
                }
                (Ownership::Closed { .. }, Some(next)) => self.redirect(node, id, &next.id, now),
                _ => {}
            }
        }
        node.dispatch(steps, None);
        let Some((to, state)) = state else { return };
        slog::info!(node.logger, "handing a target over"; "target" => %id, "to" => %to);
        send(node, &to, state.clone());
        self.outgoing.insert(id.clone(), Outgoing { to, state, sent_at: now, accepted: false });
    }

    /// Sends a handover that was not acknowledged to a different successor.
    fn redirect(&mut self, node: &Node, id: &target::Id, successor: &instance::Id, now: Instant) {
        let Some(outgoing) = self.outgoing.get_mut(id) else { return };
        if outgoing.accepted || outgoing.to == *successor {
            return;
        }
        outgoing.to = successor.clone();
        outgoing.sent_at = now;
        send(node, successor, outgoing.state.clone());
    }

    /// Takes over a gate again that this instance handed over. If the handover was not
    /// acknowledged, its state is restored, so that requests that still run stay known. The history
    /// is marked incomplete, because the other instance may have served requests meanwhile.
    fn reclaim(&mut self, gate: &mut Gate, id: &target::Id, now: Instant, steps: &mut Vec<Step>) {
        gate.take_over(now);
        let Some(entry) = self.outgoing.remove(id).filter(|entry| !entry.accepted) else { return };
        for part in entry.state.into_parts() {
            // The state comes from this gate itself, so it is well formed.
            let _ = gate.receive_handover(now, &part, steps);
        }
        gate.mark_history_incomplete(now);
    }

    /// Tells all gates that instance `lost` is gone, and removes the handovers that it accepted.
    fn forget_instance(&mut self, node: &Node, lost: &instance::Id) {
        for gate in node.gates.read().values() {
            gate.lock().mark_instance_lost(lost);
        }
        self.outgoing.retain(|_, outgoing| !(outgoing.accepted && outgoing.to == *lost));
    }

    /// Drops the state of targets that are no longer in the snapshot.
    fn drop_unknown_targets(&mut self, node: &Node, snapshot: &Snapshot) {
        let known = |id: &target::Id| snapshot.target(id).is_some();
        node.gates.write().retain(|id, _| known(id));
        self.outgoing.retain(|id, _| known(id));
        node.upstream.retain(known);
        node.retain_loads(known);
    }
}

/// Opens a pending gate for a target that this instance now owns.
fn open_gate(
    node: &Arc<Node>,
    id: &target::Id,
    target: &Target,
    before: &Snapshot,
    lost: &BTreeSet<instance::Id>,
    now: Instant,
) {
    let owner_lost = before.owner(id).is_some_and(|owner| lost.contains(&owner.id));
    let wait = if owner_lost { ownership::REBUILD_TIME } else { HANDOVER_WAIT };
    slog::info!(node.logger, "opening a gate";
        "target" => %id, "owner-lost" => owner_lost, "wait" => %wait);
    let gate = new_gate(node, id, target, Ownership::Pending { until: now + wait });
    node.gates.write().insert(id.clone(), Arc::new(Mutex::new(gate)));
}

/// Creates a gate with the limits of `target`.
fn new_gate(node: &Node, id: &target::Id, target: &Target, ownership: Ownership) -> Gate {
    let seed = hash::seeded(node.clock.now().0, id.as_str().as_bytes());
    let (me, limits) = (node.me.clone(), target.limits.clone());
    Gate::new(id.clone(), me, limits, ownership, seed, node.clock.now())
}

/// Applies the limits, the leaving state and the failure domain state of a target to its gate.
fn apply_view(
    gate: &mut Gate,
    snapshot: &Snapshot,
    target: &Target,
    now: Instant,
    steps: &mut Vec<Step>,
) {
    let Some(plan) = &snapshot.plan else { return };
    if *gate.limits() != target.limits {
        gate.set_limits(now, target.limits.clone(), steps);
    }
    gate.set_leaving(target.state == TargetState::Leaving);
    if is_domain_in_service(&plan.view, &target.domain) {
        gate.set_domain_in(now);
    } else {
        gate.set_domain_out(now, steps);
    }
}

/// Takes the outcomes of requests that ended after their gate was handed over, with the instance to
/// which they must be sent.
pub fn take_late_handover(gate: &mut Gate) -> Option<(instance::Id, Handover)> {
    let Ownership::Closed { to: Some(to) } = gate.ownership() else { return None };
    let to = to.clone();
    Some((to, gate.take_late_outcomes()?))
}

/// Sends the state of a gate to `to` in parts.
pub fn send(node: &Node, to: &instance::Id, state: Handover) {
    for part in state.into_parts() {
        node.send(to, Priority::Bulk, Kind::Handover, &part);
    }
}

/// Applies a part of the state that a previous owner handed over. Acknowledges the handover after
/// the last part, also if that owner did not serve yet: it resends the handover otherwise.
pub fn receive(node: &Arc<Node>, from: &instance::Id, part: &Handover) {
    let Ok(id) = part.target.parse::<target::Id>() else { return };
    let snapshot = node.snapshot();
    let Some(target) = snapshot.target(&id) else { return };
    let now = node.clock.now();
    let gate = match node.gate(&id) {
        Some(gate) => gate,
        None => expect_handover(node, &id, target),
    };
    let mut steps = Vec::new();
    let (complete, serves) = {
        let mut gate = gate.lock();
        if matches!(gate.ownership(), Ownership::Closed { .. }) && part.parts > 0 {
            gate.take_over(now);
        }
        let complete = match gate.receive_handover(now, part, &mut steps) {
            Ok(complete) => complete,
            Err(error) => {
                slog::warn!(node.logger, "refused a handover"; "target" => %id, "error" => %error);
                return;
            }
        };
        gate.set_leaving(target.state == TargetState::Leaving);
        (complete, matches!(gate.ownership(), Ownership::Serving { .. }))
    };
    node.dispatch(steps, None);
    if complete {
        slog::info!(node.logger, "took a target over";
            "target" => %id, "from" => %from, "serves" => serves);
        let accepted = Accepted { target: id.to_string() };
        node.send(from, Priority::Bulk, Kind::Accepted, &accepted);
    }
}

/// Opens a pending gate for a handover that arrived before this instance took ownership.
fn expect_handover(node: &Node, id: &target::Id, target: &Target) -> Arc<Mutex<Gate>> {
    let until = node.clock.now() + HANDOVER_WAIT;
    let gate = new_gate(node, id, target, Ownership::Pending { until });
    let gate = Arc::new(Mutex::new(gate));
    node.gates.write().insert(id.clone(), Arc::clone(&gate));
    gate
}

/// Announces to the new owners of the targets of `lost` instances which flows and requests this
/// instance knows there.
pub fn announce(
    node: &Arc<Node>,
    before: &Snapshot,
    snapshot: &Snapshot,
    lost: &BTreeSet<instance::Id>,
) {
    if lost.is_empty() {
        return;
    }
    let affected = |id: &target::Id| before.owner(id).is_some_and(|owner| lost.contains(&owner.id));
    let mut known: HashMap<target::Id, Announcement> = HashMap::new();
    for shard in node.cache_shards() {
        for (flow, target) in shard.lock().iter() {
            if affected(target) {
                known.entry(target.clone()).or_default().flows.push(flow.0);
            }
        }
    }
    for (target, keys) in node.forwarded.lock().by_target(affected) {
        let entry = known.entry(target).or_default();
        entry.requests.extend(keys.into_iter().map(to_request));
    }
    for (target, mut announcement) in known {
        announcement.target = target.to_string();
        send_announcement(node, snapshot, &target, announcement);
    }
}

/// Sends an announcement to the owner of `target`, which may be this instance.
fn send_announcement(
    node: &Arc<Node>,
    snapshot: &Snapshot,
    target: &target::Id,
    announcement: Announcement,
) {
    let Some(owner) = snapshot.owner(target) else { return };
    for part in announcement.into_parts() {
        if owner.id != node.me {
            let peer = Peer { id: owner.id.clone(), address: owner.peer };
            node.send_to(&peer, Priority::Control, Kind::Announcement, &part);
            continue;
        }
        let Some(gate) = node.gate(target) else { continue };
        let mut steps = Vec::new();
        // A gate that was just opened accepts announcements.
        let _ = gate.lock().receive_announcement(node.clock.now(), &part, &mut steps);
        node.dispatch(steps, None);
    }
}

/// Converts a request key to its message.
fn to_request(key: Key) -> message::Request {
    message::Request {
        flow: key.flow.0,
        request: key.request.0,
        part: key.part,
        ..message::Request::default()
    }
}
