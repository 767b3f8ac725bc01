//! Data that reaches the link of an instance, which carries it at the link's bandwidth.
//!
//! Messages of peers, answers of the platform and answers to probes wait for each other.
//! Packets of callers do not: single small packets pass a full link while connections
//! stall.

use mustardway_types::time::Instant;

use crate::world::{Event, World};

/// The end of the time for which an instance waits for data.
#[derive(Debug, Clone)]
pub(crate) struct Deadline {
    pub(crate) at: Instant,
    /// Event that happens at the deadline if the data has not all arrived before.
    pub(crate) event: Event,
}

/// Data for an instance that has reached the instance's link.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) host: usize,
    pub(crate) bytes: usize,
    /// Event that happens when all data has arrived.
    pub(crate) event: Event,
    pub(crate) deadline: Option<Deadline>,
}

impl World {
    /// Queues data at the inbound link of an instance and schedules what follows.
    pub(crate) fn receive(&mut self, arrival: Arrival) {
        let Arrival { host, bytes, event, deadline } = arrival;
        let (inbound, now) = (&mut self.hosts[host].inbound, self.now);
        let (at, event) = match deadline {
            None => (inbound.send(bytes, now), event),
            Some(deadline) => match inbound.send_before(bytes, deadline.at, now) {
                Some(received_at) => (received_at, event),
                None => (deadline.at, deadline.event),
            },
        };
        let wait_max = &mut self.report.inbound_wait_max;
        *wait_max = inbound.backlog(now).max(*wait_max);
        self.queue.add(at, event);
    }
}
