//! Table of the requests that run or wait.

use std::collections::HashMap;

use mustardway_types::{packet, request, time};

use crate::key::Key;
use crate::queue;
use crate::seeded;
use crate::ticket;

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The job waits in the queue.
    Queued(queue::Waiter),
    /// The job runs.
    Running {
        /// Whether the failure domain of the target was taken out after the job started.
        domain_out: bool,
    },
}

/// One request that runs or waits.
#[derive(Debug, Clone)]
pub struct Job {
    /// Key of the request.
    pub key: Key,
    /// Time by which the answer is due.
    pub deadline: time::Instant,
    /// Whether the request may run more than once.
    pub repeat: request::Repeat,
    /// Urgency of the request.
    pub urgency: request::Urgency,
    /// Highest attempt number among the request and its duplicates.
    pub attempt: u32,
    /// Whether the request is the first of its flow.
    pub opening: bool,
    /// Whether the request is the last of its flow.
    pub closing: bool,
    /// Number of duplicates that wait for the outcome.
    pub joined: u32,
    /// Whether the job waits or runs.
    pub state: State,
}

impl Job {
    /// Creates a job for a packet.
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

/// Jobs by ticket and by key.
#[derive(Debug)]
pub struct Table {
    jobs: HashMap<ticket::Id, Job, seeded::Builder>,
    tickets: HashMap<Key, ticket::Id, seeded::Builder>,
    running: u32,
    running_ordinary: u32,
}

impl Table {
    /// Creates an empty table that hashes under `seed`.
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

    /// Moves a waiting job to the running state.
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

    /// Returns a job for changes. Its state must change only through [`Table::start`] and
    /// [`Table::mark_domain_out`].
    pub fn get_mut(&mut self, ticket: ticket::Id) -> Option<&mut Job> {
        self.jobs.get_mut(&ticket)
    }

    /// Marks all running jobs as cut short by the removal of their failure domain, and returns
    /// their tickets in order.
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

    /// Returns a job, if the ticket runs or waits.
    pub fn get(&self, ticket: ticket::Id) -> Option<&Job> {
        self.jobs.get(&ticket)
    }

    /// Returns the ticket under which a request runs or waits.
    pub fn ticket(&self, key: Key) -> Option<ticket::Id> {
        self.tickets.get(&key).copied()
    }

    /// Returns whether a flow has a job.
    pub fn has_flow(&self, flow: mustardway_types::flow::Id) -> bool {
        self.jobs.values().any(|job| job.key.flow == flow)
    }

    /// Returns the number of running jobs.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of running ordinary jobs.
    pub fn running_ordinary(&self) -> u32 {
        self.running_ordinary
    }

    /// Returns all running jobs in the order of their tickets.
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
