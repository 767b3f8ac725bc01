//! Queries and JSON answers of the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Query of `GET /configuration`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Query {
    /// Revision that the reader has.
    pub after: u64,
    /// Maximum time to wait for a later revision, in milliseconds.
    pub wait: u64,
}

/// Answer of `GET /configuration`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Revision in force.
    pub revision: u64,
    /// Files by name; `None` when the reader has this revision.
    pub files: Option<BTreeMap<String, String>>,
}

/// Answer of `GET /instances`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// Instances that the platform takes for live or leaving.
    pub instances: Vec<Instance>,
}

/// Entry of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub id: CompactString,
    /// Failure domain of the instance.
    pub domain: CompactString,
    /// Address for traffic between instances.
    pub peer: SocketAddr,
    /// Lifecycle state of the instance.
    pub state: InstanceState,
}

/// Lifecycle state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance keeps running.
    Live,
    /// The instance is about to stop.
    Leaving,
}

/// Answer of `GET /calls`: number of calls by kind since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads and watches of the configuration.
    pub configuration: u64,
    /// Reads of the instance list.
    pub instances: u64,
}
