//! Read access to the state of a gate.

use mustardway_types::{flow, target, time};
use mustardway_view::model::Limits;
use serde::Serialize;

use crate::counter::Counters;
use crate::gate::Gate;
use crate::job::State;
use crate::ownership::Ownership;
use crate::placement::Placement;
use crate::ticket;

/// Longest time between two calls of [`Gate::tick`].
const MAX_TICK_INTERVAL: time::Span = time::Span::millis(100);

/// Load of a target and its current limits.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Load {
    /// Requests that run through this gate.
    pub running: u32,
    /// Requests that earlier owners still run.
    pub running_elsewhere: u32,
    /// Requests that may run at the same time now.
    pub allowed: u32,
    /// Requests that may run at the same time when the target is warm.
    pub slots: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Urgent requests that wait.
    pub queued_urgent: u32,
    /// Open flows.
    pub flows: u32,
    /// Flows that may be open at the same time.
    pub connections: u32,
    /// Mean service time of a request.
    pub service_time: time::Span,
    /// Share of the warm slots that may be used now, from 0 to 1.
    pub warmth: f64,
    /// Number of times that the target was reset to cold.
    pub chills: u64,
}

/// Placement of a flow as this gate knows it.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Explanation {
    /// The flow is open on this target.
    Open {
        /// Time since the flow was opened; none if an earlier owner was lost since then.
        age: Option<time::Span>,
        /// Time since the last packet of the flow.
        idle: time::Span,
    },
    /// The flow was placed on another target.
    Placed(target::Id),
    /// The opening packet of the flow was refused here.
    Refused,
    /// The flow is not known here.
    Unknown,
}

impl Gate {
    /// Returns the id of the target.
    pub fn target(&self) -> &target::Id {
        &self.target
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns whether this gate decides for its target.
    pub fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Returns the number of open flows.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Returns the ids of the open flows, in order.
    pub fn flow_ids(&self) -> Vec<flow::Id> {
        let mut ids = Vec::with_capacity(self.flows.len());
        for (id, _) in self.flows.sorted() {
            ids.push(id);
        }
        ids
    }

    /// Returns the load of the target and its current limits.
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

    /// Returns the number of open flows divided by the number that the target may have now; 1 is
    /// full.
    pub fn load_fraction(&self, now: time::Instant) -> f64 {
        let capacity = f64::from(self.limits.connections.max(1)) * self.warmth(now);
        self.flows.len() as f64 / capacity
    }

    /// Returns the share of the warm slots that may be used now, from 0 to 1.
    pub fn warmth(&self, now: time::Instant) -> f64 {
        let slots = f64::from(self.limits.slots.max(1));
        f64::from(self.slow_start.allowed(now, &self.limits)) / slots
    }

    /// Returns where a flow is placed, as far as this gate knows.
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

    /// Returns the deadline of a running or waiting request. A waiting request takes over the
    /// later deadline of a duplicate.
    pub fn deadline(&self, ticket: ticket::Id) -> Option<time::Instant> {
        self.jobs.get(ticket).map(|job| job.deadline)
    }

    /// Returns whether a request runs.
    pub fn is_running(&self, ticket: ticket::Id) -> bool {
        let state = self.jobs.get(ticket).map(|job| job.state);
        matches!(state, Some(State::Running { .. }))
    }

    /// Returns the latest time at which [`Gate::tick`] must be called next.
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

    /// Returns the counters of the gate's decisions.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the number of cached requests and the total size of their replies, in bytes.
    pub fn remembered(&self) -> (usize, usize) {
        (self.dedup.len(), self.dedup.bytes())
    }
}
