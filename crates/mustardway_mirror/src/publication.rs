//! Items and changes that the platform publishes, independent of its formats.

use std::net::SocketAddrV4;
use std::sync::Arc;

use compact_str::CompactString;
use mustardway_types::revision::Number;
use mustardway_types::time::Span;
use mustardway_types::{domain, service, target};
use serde::{Deserialize, Serialize};

/// Registration of one target, as the target itself reported it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Registration {
    /// Id of the target, unique in the whole system.
    pub id: target::Id,
    /// Number that identifies this target on the wire.
    pub key: u64,
    /// Service that the target runs.
    pub service: service::Name,
    /// Address at which the target receives packets and health checks.
    pub address: SocketAddrV4,
    /// Failure domain that the target runs in.
    pub domain: domain::Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the target is about to leave and must get no new flows.
    pub leaving: bool,
    /// Remaining time for which the target is cold, as of its registration.
    pub cold: Span,
    /// Start time of the target's process, if the target reports it.
    pub born: Option<u64>,
}

impl Registration {
    /// Returns whether `other` is a registration of the same process. A target that
    /// restarts keeps its id and reports another start time.
    pub fn is_same_process(&self, other: &Registration) -> bool {
        self.id == other.id && self.born == other.born
    }
}

/// Whether callers may send a request again after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Any request may run more than once.
    Free,
    /// A request may run once at most.
    Once,
}

/// A service's share of a route's new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Share {
    /// Service that gets the share.
    pub service: service::Name,
    /// Weight of the share among all shares of the route. A share of weight 0 gets no new
    /// flows.
    pub weight: u32,
}

/// An address that callers send to, and how its requests are routed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// Name of the route in logs.
    pub name: CompactString,
    /// Address and port that callers send to.
    pub address: SocketAddrV4,
    /// Services that get the route's new flows.
    pub shares: Vec<Share>,
    /// Whether callers may send a request again.
    pub repeat: Repeat,
    /// Priority under overload. 0 is the most urgent.
    pub urgency: u32,
    /// Target latency: a request that is answered in this time has its full value.
    pub aim: Span,
    /// Timeout after which callers give up.
    pub limit: Span,
}

impl Route {
    /// Returns whether callers may repeat a request that may already have run.
    pub fn is_repeatable(&self) -> bool {
        self.repeat == Repeat::Free
    }
}

/// Health check and warm-up settings of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// Name of the service.
    pub name: service::Name,
    /// Path of the health check.
    pub health: CompactString,
    /// Requests per second that a cold target can handle, or `None` for no limit.
    pub cold_rate: Option<u32>,
}

/// A complete configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Configuration {
    /// Version of the configuration. Later versions are greater.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Idle time after which a flow may be dropped.
    pub idle: Span,
}

/// Key of a published item.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Key {
    /// The configuration.
    Configuration,
    /// The registration of a target.
    Target(target::Id),
    /// An evacuated failure domain, which must get no traffic.
    Evacuated(domain::Name),
}

/// Value that is published under a [`Key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item {
    /// The configuration.
    Configuration(Arc<Configuration>),
    /// The registration of a target.
    Target(Registration),
    /// An evacuated failure domain, which must get no traffic.
    Evacuated(domain::Name),
}

impl Item {
    /// Returns the key that the item is published under.
    pub fn key(&self) -> Key {
        match self {
            Item::Configuration(_) => Key::Configuration,
            Item::Target(registration) => Key::Target(registration.id.clone()),
            Item::Evacuated(domain) => Key::Evacuated(domain.clone()),
        }
    }
}

/// A change of the published state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// An item was published or replaced.
    Put(Item),
    /// An item is no longer published.
    Removed(Key),
}

impl Change {
    /// Returns the key of the changed item.
    pub fn key(&self) -> Key {
        match self {
            Change::Put(item) => item.key(),
            Change::Removed(key) => key.clone(),
        }
    }
}

/// A change with its position in the platform's sequence of changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Update {
    /// The platform's change count at the change.
    pub number: Number,
    /// The change.
    pub change: Change,
}

/// A target whose registration was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// Last registration of the target.
    pub registration: Registration,
    /// Time since the registration was removed.
    pub age: Span,
}
