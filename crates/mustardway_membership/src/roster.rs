//! The platform's instance list. It lags behind reality, so it serves as a hint
//! only.

use std::net::SocketAddr;

use mustardway_types::domain;
use mustardway_types::instance;

/// One instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the instance.
    pub id: instance::Id,
    /// Failure domain that the instance runs in.
    pub domain: domain::Name,
    /// Address on which the instance listens for other instances.
    pub address: SocketAddr,
    /// Whether the platform is about to remove the instance.
    pub leaving: bool,
}
