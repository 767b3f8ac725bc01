//! The platform's instance list: a hint that lags behind reality.

use std::net::SocketAddr;

use mustardway_types::domain;
use mustardway_types::instance;

/// One instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the instance.
    pub id: instance::Id,
    /// Failure domain it lives in.
    pub domain: domain::Name,
    /// Where it listens for other instances.
    pub address: SocketAddr,
    /// The platform is about to take it away.
    pub leaving: bool,
}
