//! What others may read of a gate.

use mustardway_types::{flow, target, time};
use mustardway_view::model::Limits;
use serde::Serialize;

use crate::counter::Counters;
use crate::gate::Gate;
use crate::job::State;
use crate::ownership::Ownership;
use crate::placement::Placement;
use crate::ticket;

/// Longest time between two ticks.
const MAX_TICK_INTERVAL: time::Span = time::Span::millis(100);

/// How much a target is given now.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Load {
    /// Requests that run here.
    pub running: u32,
    /// Requests that earlier owners still run.
    pub running_elsewhere: u32,
    /// Requests that may run now.
    pub allowed: u32,
    /// Requests that may run when warm.
    pub slots: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Urgent requests that wait.
    pub queued_urgent: u32,
    /// Open flows.
    pub flows: u32,
    /// Flows that may be open.
    pub connections: u32,
    /// Mean time of one request.
    pub service_time: time::Span,
    /// Share of the warm slots that may be used, 0 to 1.
    pub warmth: f64,
    /// Times that the target was taken for cold again.
    pub chills: u64,
}

/// Where a flow stands at this gate, and why.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Explanation {
    /// It is open on this target.
    Open {
        /// Time since it was opened; none where an earlier owner was lost since.
        age: Option<time::Span>,
        /// Time since its last packet.
        idle: time::Span,
    },
    /// It was placed on another target.
    Placed(target::Id),
    /// Its opening packet was refused here.
    Refused,
    /// Nothing is known of it.
    Unknown,
}

impl Gate {
    /// The target.
    pub fn target(&self) -> &target::Id {
        &self.target
    }

    /// The limits in force.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Whether this gate decides.
    pub fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Number of open flows.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Ids of the open flows, in order.
    pub fn flow_ids(&self) -> Vec<flow::Id> {
        let mut ids = Vec::with_capacity(self.flows.len());
        for (id, _) in self.flows.sorted() {
            ids.push(id);
        }
        ids
    }

    /// How much the target is given now.
    pub fn load(&self, now: time::Instant) -> Load {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        Load {
            running: self.jobs.running(),
            running_elsewhere: self.running_elsewhere(now),
            allowed: self.slow_start.allowed(now, &self.limits),
            slots: self.limits.slots,
            queued: count(self.queue.len()),
            queued_urgent: count(self.queue.urgent()),
            flows: count(self.flows.len()),
            connections: self.limits.connections,
            service_time: self.service_time(),
            warmth: self.warmth(now),
            chills: self.slow_start.cold_resets(),
        }
    }

    /// Open flows against those that the target may have now, 1 being full.
    pub fn load_fraction(&self, now: time::Instant) -> f64 {
        let capacity = f64::from(self.limits.connections.max(1)) * self.warmth(now);
        self.flows.len() as f64 / capacity
    }

    /// Share of the warm slots that may be used, 0 to 1.
    pub fn warmth(&self, now: time::Instant) -> f64 {
        let slots = f64::from(self.limits.slots.max(1));
        f64::from(self.slow_start.allowed(now, &self.limits)) / slots
    }

    /// Where a flow stands.
    pub fn explain(&self, now: time::Instant, id: flow::Id) -> Explanation {
        if let Some(flow) = self.flows.get(id) {
            let age = flow.has_full_history().then(|| now.since(flow.opened()));
            return Explanation::Open { age, idle: now.since(flow.used()) };
        }
        match self.placements.get(now, id) {
            Some(Placement::Placed(target)) => Explanation::Placed(target.clone()),
            Some(Placement::Refused { .. }) => Explanation::Refused,
            None => Explanation::Unknown,
        }
    }

    /// When the answer of a running or waiting request is due, duplicates included.
    pub fn deadline(&self, ticket: ticket::Id) -> Option<time::Instant> {
        self.jobs.get(ticket).map(|job| job.deadline)
    }

    /// Whether a request runs.
    pub fn is_running(&self, ticket: ticket::Id) -> bool {
        let state = self.jobs.get(ticket).map(|job| job.state);
        matches!(state, Some(State::Running { .. }))
    }

    /// When [`Gate::tick`] is due at the latest.
    pub fn next_tick(&self, now: time::Instant) -> time::Instant {
        let mut due = now + MAX_TICK_INTERVAL;
        if let Some(expiry) = self.queue.next_expiry() {
            due = due.min(expiry + time::Span(1));
        }
        if let Ownership::Pending { until } = self.ownership {
            due = due.min(until);
        }
        due.max(now)
    }

    /// What was decided so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Number and reply bytes of the remembered requests.
    pub fn remembered(&self) -> (usize, usize) {
        (self.dedup.len(), self.dedup.bytes())
    }
}
