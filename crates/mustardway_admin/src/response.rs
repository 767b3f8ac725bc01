//! Response bodies of the API.
//!
//! In JSON, member names are in kebab case, durations in microseconds, and points in time
//! in microseconds since 1970 UTC.

use std::net::SocketAddr;

use compact_str::CompactString;
use mustardway_telemetry::{audit, promise, tally};
use mustardway_types::{address, domain, flow, instance, revision, service, target, time};
use serde::{Deserialize, Serialize};

/// Response of `/live`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Live {
    /// Id of the instance.
    pub id: instance::Id,
    /// Whether the process works.
    pub live: bool,
}

/// Response of `/ready`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Ready {
    /// Whether the instance takes packets.
    pub ready: bool,
    /// Reason why the instance is not ready.
    pub reason: Option<CompactString>,
}

/// State of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The instance has no view yet.
    Starting,
    /// The instance serves packets.
    Serving,
    /// The instance was paused and has not heard its peers since.
    Fenced,
    /// The instance takes no new work and finishes its work in progress.
    Draining,
}

/// Response of `/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// Id of the instance.
    pub id: instance::Id,
    /// Failure domain of the instance.
    pub domain: domain::Name,
    /// Incarnation of the instance, greater after each restart.
    pub incarnation: instance::Incarnation,
    /// State of the instance.
    pub state: State,
    /// Time since the instance started.
    pub up: time::Span,
    /// Number of the revision in force on this instance, 0 before the first.
    pub revision: revision::Number,
    /// Digest of the revision in force, in hexadecimal digits.
    pub digest: CompactString,
    /// Number of live peers.
    pub peers: u64,
    /// Number of targets that the instance owns.
    pub targets_owned: u64,
    /// Number of flows that the instance owns.
    pub flows: u64,
    /// Number of running requests.
    pub running: u64,
    /// Number of queued requests.
    pub queued: u64,
    /// Number of calls to the platform.
    pub platform_calls: u64,
}

/// Response of `/targets`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Targets {
    /// All targets, sorted by id.
    pub targets: Vec<Target>,
}

/// One target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Target {
    /// Id of the target.
    pub id: target::Id,
    /// Service that the target serves.
    pub service: service::Name,
    /// Failure domain of the target.
    pub domain: domain::Name,
    /// Address that the target listens on.
    pub endpoint: SocketAddr,
    /// The instance that owns the target, as far as this instance knows.
    pub owner: Option<instance::Id>,
    /// Load of the target, or `None` if this instance is not the owner.
    pub load: Option<Load>,
}

/// Load of a target, which its owner alone knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Load {
    /// Whether the target takes new work, and the reason if it does not.
    pub state: CompactString,
    /// Number of running requests.
    pub running: u64,
    /// Number of requests that may run at the same time now.
    pub slots: u64,
    /// Number of queued requests.
    pub queued: u64,
    /// Number of open flows.
    pub flows: u64,
}

/// Response of `/flows`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Flows {
    /// Number of all flows that this instance owns.
    pub total: u64,
    /// The flows that are listed, up to a maximum.
    pub shown: Vec<Flow>,
}

/// One flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Flow {
    /// Id of the flow, in hexadecimal digits.
    pub id: CompactString,
    /// Address of the flow's service.
    pub address: address::Address,
    /// Target of the flow.
    pub target: target::Id,
    /// Time since the last packet of the flow.
    pub idle: time::Span,
}

/// Response of `/peers`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Peers {
    /// The other instances, sorted by id.
    pub peers: Vec<Peer>,
}

/// One other instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Peer {
    /// Id of the instance.
    pub id: instance::Id,
    /// Failure domain of the instance.
    pub domain: domain::Name,
    /// Address that the instance listens on for its peers.
    pub address: SocketAddr,
    /// Membership state of the peer as this instance sees it.
    pub state: CompactString,
    /// Time since the last message of the peer, or `None` if there was none.
    pub heard: Option<time::Span>,
    /// Number of the revision that the peer last reported.
    pub revision: revision::Number,
}

/// Response of `/audit`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Audit {
    /// Number and hash of the latest record.
    pub head: audit::Head,
    /// The adopted revisions, oldest first.
    pub changes: Vec<audit::Change>,
    /// The records of the trail, oldest first.
    pub records: Vec<audit::Record>,
}

impl Audit {
    /// Creates the response from the audit trail of an instance.
    pub fn of(trail: &audit::Trail) -> Self {
        Audit { head: trail.head(), changes: trail.changes(), records: trail.records() }
    }
}

/// Response of `/promises`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Promises {
    /// Counts of each promise.
    pub promises: Vec<promise::Count>,
    /// Counts of the answers to callers, by reason.
    pub answers: Vec<tally::Count>,
}

/// Response of `/explain`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Explanation {
    /// Id of the flow, in hexadecimal digits.
    pub flow: CompactString,
    /// The address in the query.
    pub address: address::Address,
    /// The service that has the address.
    pub service: Option<service::Name>,
    /// The target that the next packet of the flow would go to.
    pub target: Option<target::Id>,
    /// The instance that owns the target.
    pub owner: Option<instance::Id>,
    /// The steps of the decision, one line each.
    pub steps: Vec<CompactString>,
}

impl Explanation {
    /// Creates an explanation without service, target, owner and steps.
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

/// Response to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Command {
    /// State of the instance after the command.
    pub state: State,
}

/// Body of every error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Failure {
    /// Text of the error.
    pub error: CompactString,
}
