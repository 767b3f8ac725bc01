//! What the platform publishes, in the project's own types.

use std::net::SocketAddrV4;
use std::sync::Arc;

use compact_str::CompactString;
use mustardway_types::revision::Number;
use mustardway_types::time::Span;
use mustardway_types::{domain, service, target};
use serde::{Deserialize, Serialize};

/// One server of a service, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Registration {
    /// Name, unique in the whole system.
    pub id: target::Id,
    /// Number that addresses exactly this target on the wire.
    pub key: u64,
    /// Service that it runs.
    pub service: service::Name,
    /// Where it takes packets and health checks.
    pub address: SocketAddrV4,
    /// Failure domain that it lives in.
    pub domain: domain::Name,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// It is about to leave and is to get no new flows.
    pub leaving: bool,
    /// How much longer it stays cold, counted from when it said so.
    pub cold: Span,
    /// Start of its present life, where it tells.
    pub born: Option<u64>,
}

/// What callers may do again after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Any request may run more than once.
    Free,
    /// A request may run once at most.
    Once,
}

/// A share of a route's new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Share {
    /// Service that gets it.
    pub service: service::Name,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// One address that callers send to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// Name, for logs.
    pub name: CompactString,
    /// The address and port.
    pub address: SocketAddrV4,
    /// Services that get its new flows.
    pub shares: Vec<Share>,
    /// What callers may do again.
    pub repeat: Repeat,
    /// Rank under overload; 0 is the most urgent.
    pub urgency: u32,
    /// Time in which a request earns its full worth.
    pub aim: Span,
    /// Time after which callers give up.
    pub limit: Span,
}

impl Route {
    /// Whether callers may repeat a request that may have run.
    pub fn is_repeatable(&self) -> bool {
        self.repeat == Repeat::Free
    }
}

/// How a service is checked and warmed up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// Name.
    pub name: service::Name,
    /// Path of its health check.
    pub health: CompactString,
    /// Requests a second that a cold target bears; none where it is not limited.
    pub cold_rate: Option<u32>,
}

/// A configuration, whole.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Configuration {
    /// Its version; later ones are greater.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Silence after which a flow may be discarded.
    pub idle: Span,
}

/// One published thing.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Key {
    /// The configuration.
    Configuration,
    /// A server's registration.
    Target(target::Id),
    /// A failure domain that is to get nothing.
    Evacuated(domain::Name),
}

/// What is published under a [`Key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item {
    /// The configuration.
    Configuration(Arc<Configuration>),
    /// A server's registration.
    Target(Registration),
    /// A failure domain that is to get nothing.
    Evacuated(domain::Name),
}

impl Item {
    /// Where it is published.
    pub fn key(&self) -> Key {
        match self {
            Item::Configuration(_) => Key::Configuration,
            Item::Target(registration) => Key::Target(registration.id.clone()),
            Item::Evacuated(domain) => Key::Evacuated(domain.clone()),
        }
    }
}

/// One change of what is published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Published, or published anew.
    Put(Item),
    /// No longer published.
    Removed(Key),
}

impl Change {
    /// What it changes.
    pub fn key(&self) -> Key {
        match self {
            Change::Put(item) => item.key(),
            Change::Removed(key) => key.clone(),
        }
    }
}

/// A change and when it was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Update {
    /// The platform's count of changes when it was made.
    pub number: Number,
    /// The change.
    pub change: Change,
}

/// A target whose registration has vanished.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// What it had registered.
    pub registration: Registration,
    /// Time since that vanished.
    pub age: Span,
}
