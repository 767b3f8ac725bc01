//! The JSON shapes of the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Question of `GET /configuration`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Query {
    /// Revision that the reader has.
    pub after: u64,
    /// Longest wait for a later one, in milliseconds.
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
    /// Every instance that the platform believes to live.
    pub instances: Vec<Instance>,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name.
    pub id: CompactString,
    /// Failure domain.
    pub domain: CompactString,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Whether it stays.
    pub state: InstanceState,
}

/// Whether an instance stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It stays.
    Live,
    /// It is to stop.
    Leaving,
}

/// Answer of `GET /calls`: calls by kind since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads and watches of the configuration.
    pub configuration: u64,
    /// Reads of the instance list.
    pub instances: u64,
}
