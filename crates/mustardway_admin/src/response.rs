//! The answers, as they stand in JSON: member names in kebab case, times in
//! microseconds, points of time in microseconds since 1970 UTC.

use std::net::SocketAddr;

use compact_str::CompactString;
use mustardway_telemetry::{audit, promise, tally};
use mustardway_types::{address, domain, flow, instance, revision, service, target, time};
use serde::{Deserialize, Serialize};

/// Answer of `/live`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Live {
    /// The instance.
    pub id: instance::Id,
    /// Whether its parts work.
    pub live: bool,
}

/// Answer of `/ready`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Ready {
    /// Whether it takes packets.
    pub ready: bool,
    /// Why not.
    pub reason: Option<CompactString>,
}

/// What an instance is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It has no view yet.
    Starting,
    /// It serves.
    Serving,
    /// It was paused and has not heard its peers again.
    Fenced,
    /// It takes no new work and finishes what it has.
    Draining,
}

/// Answer of `/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The instance.
    pub id: instance::Id,
    /// Its failure domain.
    pub domain: domain::Name,
    /// Its life.
    pub incarnation: instance::Incarnation,
    /// What it is doing.
    pub state: State,
    /// Time since its start.
    pub up: time::Span,
    /// Revision in force here, 0 before the first.
    pub revision: revision::Number,
    /// Its digest, in hexadecimal digits.
    pub digest: CompactString,
    /// Live peers.
    pub peers: u64,
    /// Targets that it owns.
    pub targets_owned: u64,
    /// Flows that it keeps as owner.
    pub flows: u64,
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub queued: u64,
    /// Calls of the platform.
    pub platform_calls: u64,
}

/// Answer of `/targets`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Targets {
    /// In the order of their ids.
    pub targets: Vec<Target>,
}

/// One target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Target {
    /// The target.
    pub id: target::Id,
    /// Service that it serves.
    pub service: service::Name,
    /// Its failure domain.
    pub domain: domain::Name,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// The instance that owns it, as seen here.
    pub owner: Option<instance::Id>,
    /// What its owner knows; none where this instance is not the owner.
    pub load: Option<Load>,
}

/// What the owner of a target knows of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Load {
    /// Whether it takes new work, and why not.
    pub state: CompactString,
    /// Requests that run.
    pub running: u64,
    /// Requests that may run now.
    pub slots: u64,
    /// Requests that wait.
    pub queued: u64,
    /// Open flows.
    pub flows: u64,
}

/// Answer of `/flows`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Flows {
    /// Number of all flows that this instance keeps as owner.
    pub total: u64,
    /// Some of them.
    pub shown: Vec<Flow>,
}

/// One flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Flow {
    /// The flow, in hexadecimal digits.
    pub id: CompactString,
    /// Address of its service.
    pub address: address::Address,
    /// Its target.
    pub target: target::Id,
    /// Time since its last packet.
    pub idle: time::Span,
}

/// Answer of `/peers`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Peers {
    /// In the order of their ids.
    pub peers: Vec<Peer>,
}

/// One other instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Peer {
    /// The instance.
    pub id: instance::Id,
    /// Its failure domain.
    pub domain: domain::Name,
    /// Where it listens for its peers.
    pub address: SocketAddr,
    /// What this instance takes it for.
    pub state: CompactString,
    /// Time since it was last heard, if ever.
    pub heard: Option<time::Span>,
    /// Revision that it last said to have.
    pub revision: revision::Number,
}

/// Answer of `/audit`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Audit {
    /// The end of the chain.
    pub head: audit::Head,
    /// Revisions adopted, oldest first.
    pub changes: Vec<audit::Change>,
    /// The records themselves, oldest first.
    pub records: Vec<audit::Record>,
}

impl Audit {
    /// What a trail holds.
    pub fn of(trail: &audit::Trail) -> Self {
        Audit { head: trail.head(), changes: trail.changes(), records: trail.records() }
    }
}

/// Answer of `/promises`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Promises {
    /// Every promise with its counts.
    pub promises: Vec<promise::Count>,
    /// Every reason with its answer and count.
    pub answers: Vec<tally::Count>,
}

/// Answer of `/explain`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Explanation {
    /// The flow, in hexadecimal digits.
    pub flow: CompactString,
    /// The address asked about.
    pub address: address::Address,
    /// The service that has the address.
    pub service: Option<service::Name>,
    /// The target that a packet would go to.
    pub target: Option<target::Id>,
    /// The instance that owns the target.
    pub owner: Option<instance::Id>,
    /// The steps that lead there, one line each.
    pub steps: Vec<CompactString>,
}

impl Explanation {
    /// An explanation that ends before a service was found.
    pub fn new(flow: flow::Id, address: address::Address) -> Self {
        Explanation {
            flow: compact_str::format_compact!("{flow}"),
            address,
            service: None,
            target: None,
            owner: None,
            steps: Vec::new(),
        }
    }
}

/// Answer of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Command {
    /// What the instance is doing after it.
    pub state: State,
}

/// Body of every error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Failure {
    /// What is wrong.
    pub error: CompactString,
}
