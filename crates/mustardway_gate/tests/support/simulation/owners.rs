//! Owners: planned and unplanned changes, splits and settings.

use mustardway_gate::{Announcement, Gate, Handover, Ownership, Step, message};
use mustardway_types::time;

use super::{Fault, OWNERS, PATIENCE, World, name, target};
use crate::support::limits;

impl World {
    /// Sends the outcomes of a closed gate to the owner.
    pub(super) fn send_late(&mut self, at: usize) {
        let Some(late) = self.gates[at].as_mut().and_then(Gate::take_late_outcomes) else { return };
        if at == self.owner || at == OWNERS {
            return;
        }
        self.receive(self.owner, &late);
    }

    pub(super) fn receive(&mut self, at: usize, message: &Handover) {
        let mut steps = Vec::new();
        let gate = self.gates[at].as_mut().unwrap();
        gate.receive_handover(self.now, message, &mut steps).unwrap();
        self.take(at, steps);
    }

    pub(super) fn hand_over(&mut self, to: usize) {
        if to == self.owner || self.other.is_some() {
            return;
        }
        if self.gates[to].is_none() {
            self.make(to, Ownership::pending(self.now));
        }
        self.pass_on(self.owner, to);
        self.owner = to;
    }

    pub(super) fn pass_on(&mut self, from: usize, to: usize) {
        let mut steps = Vec::new();
        let gate = self.gates[from].as_mut().unwrap();
        let mut message = gate.hand_over(self.now, name(to), &mut steps);
        if self.fault == Fault::ForgetRequests {
            message.requests.retain(|request| request.ending() == message::Ending::Running);
        }
        if self.fault == Fault::ForgetRunning {
            message.requests.retain(|request| request.ending() != message::Ending::Running);
        }
        for part in message.into_parts() {
            self.receive(to, &part);
        }
        self.take(from, steps);
    }

    /// The owner is lost with all that it knew; another takes over.
    pub(super) fn crash(&mut self, to: usize) {
        if to == self.owner || self.other.is_some() {
            return;
        }
        let lost = std::mem::replace(&mut self.owner, to);
        self.gates[lost] = None;
        self.drop_overlaps();
        self.exact_from = self.now + PATIENCE;
        let announcement = self.announcement(lost);
        let gone: Vec<u64> =
            self.held.iter().filter(|(_, held)| held.gate == lost).map(|(id, _)| *id).collect();
        for id in gone {
            let held = self.held.remove(&id).unwrap();
            let truth = self.truth.get_mut(&held.sent[0].key).unwrap();
            truth.ran |= held.running;
            truth.running -= u32::from(held.running);
        }
        if self.gates[to].is_none() {
            self.make(to, Ownership::pending(self.now));
        } else {
            self.gates[to].as_mut().unwrap().take_over(self.now);
        }
        let mut steps = Vec::new();
        let gate = self.gates[to].as_mut().unwrap();
        gate.receive_announcement(self.now, &announcement, &mut steps).unwrap();
        gate.mark_instance_lost(&name(lost));
        self.take(to, steps);
    }

    /// Callers cancel an attempt before they make the next one; only while no owner is lost
    /// or doubled do the attempts of a request overlap here.
    pub(super) fn drop_overlaps(&mut self) {
        let truth = &self.truth;
        self.flying.retain(|sent| truth[&sent.key].attempts == sent.attempt);
    }

    /// What the ingresses know of the first target: its flows, and every request on them
    /// that was ever sent and may have run.
    pub(super) fn announcement(&self, lost: usize) -> Announcement {
        let mut message = Announcement { target: target(lost).to_string(), ..Default::default() };
        for (flow, second) in &self.flows {
            if *second == 0 {
                message.flows.push(flow.0);
            }
        }
        for held in self.held.values() {
            let key = held.sent[0].key;
            if held.gate != lost || !held.sent[0].once {
                continue;
            }
            message.requests.push(message::Request {
                flow: key.flow.0,
                request: key.request.0,
                part: key.part,
                ..Default::default()
            });
        }
        message
    }

    /// Another instance takes the target over while the owner goes on.
    pub(super) fn split(&mut self, to: usize) {
        if to == self.owner || self.other.is_some() || self.gates[to].is_some() {
            return;
        }
        self.drop_overlaps();
        self.make(to, Ownership::pending(self.now));
        let other = self.owner;
        self.other = Some(other);
        self.owner = to;
        if self.fault == Fault::Uncontested {
            return;
        }
        for at in [to, other] {
            self.gates[at].as_mut().unwrap().set_contested(self.now, true);
        }
    }

    /// The split ends: the earlier owner hands over to the later one.
    pub(super) fn heal(&mut self) {
        let Some(other) = self.other.take() else { return };
        self.exact_from = self.now + PATIENCE;
        self.pass_on(other, self.owner);
        if self.fault != Fault::Uncontested {
            self.gates[self.owner].as_mut().unwrap().set_contested(self.now, false);
        }
    }

    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        let mut limits = limits(slots, 1, 3);
        limits.connections = 3;
        for at in 0..OWNERS {
            let Some(gate) = &mut self.gates[at] else { continue };
            let mut steps = Vec::new();
            gate.set_limits(self.now, limits.clone(), &mut steps);
            self.take(at, steps);
        }
    }

    pub(super) fn with_owner(
        &mut self,
        act: impl FnOnce(&mut Gate, time::Instant, &mut Vec<Step>),
    ) {
        let mut steps = Vec::new();
        act(self.gates[self.owner].as_mut().unwrap(), self.now, &mut steps);
        self.take(self.owner, steps);
    }
}
