//! Owners: planned and unplanned changes, splits and limits.

use mustardway_gate::{Announcement, Gate, Handover, Ownership, Step, message};
use mustardway_types::time;

use super::{Fault, OWNERS, Simulation, TIME_TO_DEADLINE, name, target};
use crate::support::limits;

impl Simulation {
    /// Sends the late outcomes of a closed gate to the owner.
    pub(super) fn send_late_outcomes(&mut self, at: usize) {
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
        self.apply_steps(at, steps);
    }

    pub(super) fn hand_over(&mut self, to: usize) {
        if to == self.owner || self.split_owner.is_some() {
            return;
        }
        if self.gates[to].is_none() {
            self.create_gate(to, Ownership::pending(self.now));
        }
        self.send_handover(self.owner, to);
        self.owner = to;
    }

    pub(super) fn send_handover(&mut self, from: usize, to: usize) {
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
        self.apply_steps(from, steps);
    }

    /// Removes the owner with all its state; another instance takes over.
    pub(super) fn crash(&mut self, to: usize) {
        if to == self.owner || self.split_owner.is_some() {
            return;
        }
        let lost = std::mem::replace(&mut self.owner, to);
        self.gates[lost] = None;
        self.drop_overlaps();
        self.slots_exact_from = self.now + TIME_TO_DEADLINE;
        let announcement = self.announcement(lost);
        let gone: Vec<u64> = self
            .admitted
            .iter()
            .filter(|(_, admitted)| admitted.gate == lost)
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            let admitted = self.admitted.remove(&id).unwrap();
            let execution = self.executions.get_mut(&admitted.packets[0].key).unwrap();
            execution.ran |= admitted.running;
            execution.running -= u32::from(admitted.running);
        }
        if self.gates[to].is_none() {
            self.create_gate(to, Ownership::pending(self.now));
        } else {
            self.gates[to].as_mut().unwrap().take_over(self.now);
        }
        let mut steps = Vec::new();
        let gate = self.gates[to].as_mut().unwrap();
        gate.receive_announcement(self.now, &announcement, &mut steps).unwrap();
        gate.mark_instance_lost(&name(lost));
        self.apply_steps(to, steps);
    }

    /// Drops the packets of all but the latest attempt of each request. Callers cancel an attempt
    /// before they make the next one; the attempts of a request overlap in the simulation only
    /// while no owner is lost and no two owners serve at the same time.
    pub(super) fn drop_overlaps(&mut self) {
        let executions = &self.executions;
        self.in_flight.retain(|packet| executions[&packet.key].attempts == packet.attempt);
    }

    /// Returns what the ingresses know of the first target: its open flows, and the requests that
    /// the lost owner held.
    pub(super) fn announcement(&self, lost: usize) -> Announcement {
        let mut message = Announcement { target: target(lost).to_string(), ..Default::default() };
        for (flow, second) in &self.flows {
            if *second == 0 {
                message.flows.push(flow.0);
            }
        }
        for admitted in self.admitted.values() {
            let key = admitted.packets[0].key;
            if admitted.gate != lost || !admitted.packets[0].once {
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

    /// Another instance takes the target over while the owner goes on serving.
    pub(super) fn split(&mut self, to: usize) {
        if to == self.owner || self.split_owner.is_some() || self.gates[to].is_some() {
            return;
        }
        self.drop_overlaps();
        self.create_gate(to, Ownership::pending(self.now));
        let other = self.owner;
        self.split_owner = Some(other);
        self.owner = to;
        if self.fault == Fault::Uncontested {
            return;
        }
        for at in [to, other] {
            self.gates[at].as_mut().unwrap().set_contested(self.now, true);
        }
    }

    /// Ends a split: the earlier owner hands over to the later one.
    pub(super) fn heal(&mut self) {
        let Some(other) = self.split_owner.take() else { return };
        self.slots_exact_from = self.now + TIME_TO_DEADLINE;
        self.send_handover(other, self.owner);
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
            self.apply_steps(at, steps);
        }
    }

    pub(super) fn with_owner(
        &mut self,
        act: impl FnOnce(&mut Gate, time::Instant, &mut Vec<Step>),
    ) {
        let mut steps = Vec::new();
        act(self.gates[self.owner].as_mut().unwrap(), self.now, &mut steps);
        self.apply_steps(self.owner, steps);
    }
}
