//! Identifiers of targets and routes in messages between instances.

use std::net::SocketAddrV4;

use mustardway_types::{hash, target};

/// Seed of the hash of targets. It must be the same at all instances.
const TARGET_SEED: u64 = 0x6c6f_6164_0000_0001;
/// Seed of the hash of routes. It must be the same at all instances.
const ROUTE_SEED: u64 = 0x6c6f_6164_0000_0002;

/// One lifetime of a target. A target that restarts under the same id has another key. Keys
/// have 32 bits, since they are most of the bytes of a message. Two of 3,000 targets have the
/// same key with a probability of 0.1%, and then share their estimates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target(pub u64);

impl Target {
    /// Returns the key of the target that started at `born`, if that is known.
    pub fn of(id: &target::Id, born: Option<u64>) -> Self {
        let id = hash::seeded(TARGET_SEED, id.as_str().as_bytes());
        Target(hash::mix(id, born.unwrap_or_default()) >> 32)
    }
}

/// A route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Route(pub u64);

impl Route {
    /// Returns the key of the route of an address.
    pub fn of(address: SocketAddrV4) -> Self {
        let [a, b, c, d] = address.ip().octets();
        let [high, low] = address.port().to_be_bytes();
        Route(hash::seeded(ROUTE_SEED, &[a, b, c, d, high, low]))
    }
}
