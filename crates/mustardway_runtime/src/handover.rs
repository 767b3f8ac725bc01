//! Gates that are opened, handed over and closed as ownership moves.
//!
//! The owner of a target is the first in its rank among the live instances.
//! An instance that becomes first opens a gate that waits: for the state that
//! the earlier owner hands over, or for what the others announce where that
//! one was lost. An instance that is no longer first hands its gate over and
//! sends it again until the next owner has taken it.

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

/// How long a gate waits for an earlier owner that is not known to be lost.
const HANDOVER_WAIT: Span = Span::millis(2_500);
/// Time after which a handover that was not taken is sent again.
const RESEND_INTERVAL: Span = Span::millis(500);

/// A gate on its way to another owner.
struct Outgoing {
    to: instance::Id,
    state: Handover,
    sent_at: Instant,
    accepted: bool,
}

/// A target whose gate is here.
struct LocalGate<'a> {
    id: &'a target::Id,
    target: &'a Target,
    gate: &'a Mutex<Gate>,
    /// Whether this instance is to own it.
    is_owned: bool,
}

/// Gates on their way to other owners. Kept by the control loop.
#[derive(Default)]
pub struct Coordinator {
    outgoing: HashMap<target::Id, Outgoing>,
}

impl Coordinator {
    /// Brings the gates in line with a new snapshot; `lost` are instances that
    /// were found dead since the last one.
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

    /// Sends again what was not taken, and tells outcomes that came late.
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

    /// Notes that the next owner has taken a gate.
    pub fn accepted(&mut self, from: &instance::Id, accepted: &Accepted) {
        let Ok(target) = accepted.target.parse::<target::Id>() else { return };
        let Some(outgoing) = self.outgoing.get_mut(&target) else { return };
        if outgoing.to == *from {
            outgoing.accepted = true;
        }
    }

    /// Whether every gate that another instance can take has been taken.
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

    /// Keeps a gate in line with the view, or hands it over.
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
                (Ownership::Closed { .. }, Some(successor)) => {
                    self.redirect(node, id, &successor.id, now)
                }
                _ => {}
            }
        }
        node.dispatch(steps, None);
        let Some((to, state)) = state else { return };
        slog::info!(node.logger, "hands a target over"; "target" => %id, "to" => %to);
        send(node, &to, state.clone());
        self.outgoing.insert(id.clone(), Outgoing { to, state, sent_at: now, accepted: false });
    }

    /// Sends a gate that nobody has taken to another owner.
    fn redirect(&mut self, node: &Node, id: &target::Id, successor: &instance::Id, now: Instant) {
        let Some(outgoing) = self.outgoing.get_mut(id) else { return };
        if outgoing.accepted || outgoing.to == *successor {
            return;
        }
        outgoing.to = successor.clone();
        outgoing.sent_at = now;
        send(node, successor, outgoing.state.clone());
    }

    /// Serves again with a gate that was handed over. What still runs there
    /// stays known; what another instance may have done since is in doubt.
    fn reclaim(&mut self, gate: &mut Gate, id: &target::Id, now: Instant, steps: &mut Vec<Step>) {
        gate.take_over(now);
        let Some(entry) = self.outgoing.remove(id).filter(|entry| !entry.accepted) else { return };
        for part in entry.state.into_parts() {
            // What this gate handed out itself is well formed.
            let _ = gate.receive_handover(now, &part, steps);
        }
        gate.mark_history_incomplete(now);
    }

    /// Gives up on handing over to an instance that was lost.
    fn forget_instance(&mut self, node: &Node, lost: &instance::Id) {
        for gate in node.gates.read().values() {
            gate.lock().mark_instance_lost(lost);
        }
        self.outgoing.retain(|_, outgoing| !(outgoing.accepted && outgoing.to == *lost));
    }

    /// Drops gates of targets that no view names any more.
    fn drop_unknown_targets(&mut self, node: &Node, snapshot: &Snapshot) {
        let known = |id: &target::Id| snapshot.target(id).is_some();
        node.gates.write().retain(|id, _| known(id));
        self.outgoing.retain(|id, _| known(id));
        node.upstream.retain(known);
        node.retain_loads(known);
    }
}

/// Opens a gate for a target that this instance now owns.
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
    slog::info!(node.logger, "opens a gate";
        "target" => %id, "owner-lost" => owner_lost, "wait" => %wait);
    let gate = new_gate(node, id, target, Ownership::Pending { until: now + wait });
    node.gates.write().insert(id.clone(), Arc::new(Mutex::new(gate)));
}

fn new_gate(node: &Node, id: &target::Id, target: &Target, ownership: Ownership) -> Gate {
    let seed = hash::seeded(node.clock.now().0, id.as_str().as_bytes());
    let (me, limits) = (node.me.clone(), target.limits.clone());
    Gate::new(id.clone(), me, limits, ownership, seed, node.clock.now())
}

/// Applies what the view says of a target.
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

/// What ended at a gate after it was handed over, and for whom that is news.
pub fn take_late_handover(gate: &mut Gate) -> Option<(instance::Id, Handover)> {
    let Ownership::Closed { to: Some(to) } = gate.ownership() else { return None };
    let to = to.clone();
    Some((to, gate.take_late_outcomes()?))
}

/// Sends a gate's state in parts.
pub fn send(node: &Node, to: &instance::Id, state: Handover) {
    for part in state.into_parts() {
        node.send(to, Priority::Bulk, Kind::Handover, &part);
    }
}

/// Takes in a part of the state of an earlier owner.
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
    let opened = {
        let mut gate = gate.lock();
        if matches!(gate.ownership(), Ownership::Closed { .. }) && part.parts > 0 {
            gate.take_over(now);
        }
        if let Err(error) = gate.receive_handover(now, part, &mut steps) {
            slog::warn!(node.logger, "refuses a handover"; "target" => %id, "error" => %error);
            return;
        }
        gate.set_leaving(target.state == TargetState::Leaving);
        matches!(gate.ownership(), Ownership::Serving { .. })
    };
    node.dispatch(steps, None);
    if opened && part.parts > 0 && part.part + 1 == part.parts {
        slog::info!(node.logger, "has taken a target over"; "target" => %id, "from" => %from);
        let accepted = Accepted { target: id.to_string() };
        node.send(from, Priority::Bulk, Kind::Accepted, &accepted);
    }
}

/// A gate that waits for the state which is just coming in.
fn expect_handover(node: &Node, id: &target::Id, target: &Target) -> Arc<Mutex<Gate>> {
    let until = node.clock.now() + HANDOVER_WAIT;
    let gate = new_gate(node, id, target, Ownership::Pending { until });
    let gate = Arc::new(Mutex::new(gate));
    node.gates.write().insert(id.clone(), Arc::clone(&gate));
    gate
}

/// Tells the next owners of lost instances' targets what this instance knows.
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
        // A gate that has just been opened takes announcements.
        let _ = gate.lock().receive_announcement(node.clock.now(), &part, &mut steps);
        node.dispatch(steps, None);
    }
}

fn to_request(key: Key) -> message::Request {
    message::Request {
        flow: key.flow.0,
        request: key.request.0,
        part: key.part,
        ..message::Request::default()
    }
}
