//! The validated configuration as plain data.
//!
//! A [`View`] is built whole from a folder of files and never changed after.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use mustardway_types::{address, domain, revision, service, target, time};
use serde::{Deserialize, Serialize};

/// A whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct View {
    /// Number under which the platform published it.
    pub revision: revision::Number,
    /// Digest of its files.
    pub digest: revision::Digest,
    /// Failure domains by name.
    pub domains: BTreeMap<domain::Name, Domain>,
    /// Services by name.
    pub services: BTreeMap<service::Name, Service>,
    /// Targets by id.
    pub targets: BTreeMap<target::Id, Target>,
    /// The service of each address.
    pub addresses: BTreeMap<address::Address, service::Name>,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Domain {
    /// Region that it belongs to.
    pub region: CompactString,
    /// Whether operators have taken it out.
    pub state: DomainState,
}

/// Whether a failure domain serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainState {
    /// It serves.
    In,
    /// Operators have taken it out: no packets go there.
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
    /// Service that it serves.
    pub service: service::Name,
    /// Failure domain that it lives in.
    pub domain: domain::Name,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Share of new flows against the service's other targets, 1 to 1,000.
    pub weight: u32,
    /// Limits that hold at its owner.
    pub limits: Limits,
}

/// What a target bears.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Limits {
    /// Requests that run at one time when warm.
    pub slots: u32,
    /// Requests that run at one time when cold.
    pub cold_slots: u32,
    /// Open flows.
    pub connections: u32,
    /// Shortest time from cold to warm.
    pub warm_up: time::Span,
    /// Requests that wait for a slot.
    pub queue: u32,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// It takes new work.
    Serving,
    /// It keeps its flows and takes no new ones.
    Leaving,
}
