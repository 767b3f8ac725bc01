//! Requests that run or wait now.

use std::collections::HashMap;

use mustardway_types::{packet, request, time};

use crate::key::Key;
use crate::queue;
use crate::seeded;
use crate::ticket;

/// Whether a request waits or runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It waits.
    Queued(queue::Waiter),
    /// It runs.
    Running {
        /// Its failure domain was taken out meanwhile.
        domain_out: bool,
    },
}

/// One request that runs or waits.
#[derive(Debug, Clone)]
pub struct Job {
    /// What it is.
    pub key: Key,
    /// When its answer is due.
    pub deadline: time::Instant,
    /// Whether it may be repeated.
    pub repeat: request::Repeat,
    /// How soon it is wanted.
    pub urgency: request::Urgency,
    /// Latest attempt of it that came.
    pub attempt: u32,
    /// It is the first packet of its flow.
    pub opening: bool,
    /// It is the last packet of its flow.
    pub closing: bool,
    /// Duplicates that wait for its outcome.
    pub joined: u32,
    /// Whether it waits or runs.
    pub state: State,
}

impl Job {
    /// A job for a packet.
    pub fn new(header: &packet::Header, deadline: time::Instant, state: State) -> Self {
        Job {
            key: Key::of(header),
            deadline,
            repeat: header.repeat,
            urgency: header.urgency,
            attempt: header.attempt,
            opening: header.opening,
            closing: header.closing,
            joined: 0,
            state,
        }
    }
}

/// Requests that run or wait, by ticket and by key.
#[derive(Debug)]
pub struct Table {
    jobs: HashMap<ticket::Id, Job, seeded::Builder>,
    tickets: HashMap<Key, ticket::Id, seeded::Builder>,
    running: u32,
    running_ordinary: u32,
}

impl Table {
    /// An empty table.
    pub fn new(seed: u64) -> Self {
        Table {
            jobs: HashMap::with_hasher(seeded::Builder(seed)),
            tickets: HashMap::with_hasher(seeded::Builder(seed)),
            running: 0,
            running_ordinary: 0,
        }
    }

    /// Adds a job.
    pub fn insert(&mut self, ticket: ticket::Id, job: Job) {
        if matches!(job.state, State::Running { .. }) {
            self.count(job.urgency);
        }
        self.tickets.insert(job.key, ticket);
        self.jobs.insert(ticket, job);
    }

    /// Lets a waiting job run.
    pub fn start(&mut self, ticket: ticket::Id) {
        let Some(job) = self.jobs.get_mut(&ticket) else { return };
        if matches!(job.state, State::Running { .. }) {
            return;
        }
        job.state = State::Running { domain_out: false };
        let urgency = job.urgency;
        self.count(urgency);
    }

    /// Removes a job.
    pub fn remove(&mut self, ticket: ticket::Id) -> Option<Job> {
        let job = self.jobs.remove(&ticket)?;
        if self.tickets.get(&job.key) == Some(&ticket) {
            self.tickets.remove(&job.key);
        }
        if matches!(job.state, State::Running { .. }) {
            self.running -= 1;
            self.running_ordinary -= u32::from(job.urgency == request::Urgency::Ordinary);
        }
        Some(job)
    }

    /// A job to change; its state is changed by the other commands.
    pub fn get_mut(&mut self, ticket: ticket::Id) -> Option<&mut Job> {
        self.jobs.get_mut(&ticket)
    }

    /// Marks all running jobs as cut short; returns their tickets in order.
    pub fn mark_domain_out(&mut self) -> Vec<ticket::Id> {
        let mut all = Vec::new();
        for (ticket, job) in &mut self.jobs {
            if let State::Running { domain_out } = &mut job.state {
                *domain_out = true;
                all.push(*ticket);
            }
        }
        all.sort_unstable();
        all
    }

    fn count(&mut self, urgency: request::Urgency) {
        self.running += 1;
        self.running_ordinary += u32::from(urgency == request::Urgency::Ordinary);
    }

    /// A job.
    pub fn get(&self, ticket: ticket::Id) -> Option<&Job> {
        self.jobs.get(&ticket)
    }

    /// The ticket under which a request runs or waits.
    pub fn ticket(&self, key: Key) -> Option<ticket::Id> {
        self.tickets.get(&key).copied()
    }

    /// Whether a flow has a job.
    pub fn has_flow(&self, flow: mustardway_types::flow::Id) -> bool {
        self.jobs.values().any(|job| job.key.flow == flow)
    }

    /// Number of running jobs.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of running ordinary jobs.
    pub fn running_ordinary(&self) -> u32 {
        self.running_ordinary
    }

    /// Every running job, in the order of tickets.
    pub fn running_jobs(&self) -> Vec<(ticket::Id, &Job)> {
        let mut all = Vec::new();
        for (ticket, job) in &self.jobs {
            if matches!(job.state, State::Running { .. }) {
                all.push((*ticket, job));
            }
        }
        all.sort_unstable_by_key(|(ticket, _)| *ticket);
        all
    }
}
