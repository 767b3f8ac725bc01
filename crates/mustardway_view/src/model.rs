//! The validated configuration as plain data.
//!
//! A [`View`] is built from a whole folder of files and is not changed afterwards.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use mustardway_types::{address, domain, revision, service, target, time};
use serde::{Deserialize, Serialize};

/// A complete configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct View {
    /// Revision number under which the platform published the configuration.
    pub revision: revision::Number,
    /// Digest of the files of the configuration.
    pub digest: revision::Digest,
    /// Failure domains by name.
    pub domains: BTreeMap<domain::Name, Domain>,
    /// Services by name.
    pub services: BTreeMap<service::Name, Service>,
    /// Targets by id.
    pub targets: BTreeMap<target::Id, Target>,
    /// Service of each address.
    pub addresses: BTreeMap<address::Address, service::Name>,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Domain {
    /// Region that the failure domain belongs to.
    pub region: CompactString,
    /// Whether the failure domain serves or operators have taken it out.
    pub state: DomainState,
}

/// Whether a failure domain serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainState {
    /// The failure domain serves.
    In,
    /// Operators have taken the failure domain out: no packets are sent to it.
    Out,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// Addresses that callers send to.
    pub addresses: Vec<address::Address>,
}

/// A target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Target {
    /// Service of the target.
    pub service: service::Name,
    /// Failure domain of the target.
    pub domain: domain::Name,
    /// Address on which the target listens.
    pub endpoint: SocketAddr,
    /// Whether the target takes new work.
    pub state: TargetState,
    /// Share of new flows relative to the other targets of the service, 1 to 1,000.
    pub weight: u32,
    /// Limits that the owner of the target enforces.
    pub limits: Limits,
}

/// Limits on the load of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Limits {
    /// Greatest number of requests that run at one time on the warm target.
    pub slots: u32,
    /// Greatest number of requests that run at one time on the cold target.
    pub cold_slots: u32,
    /// Greatest number of open flows.
    pub connections: u32,
    /// Shortest time from cold to warm (slow start).
    pub warm_up: time::Span,
    /// Greatest number of requests that wait for a slot.
    pub queue: u32,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// The target takes new work.
    Serving,
    /// The target keeps its flows and takes no new ones.
    Leaving,
}
