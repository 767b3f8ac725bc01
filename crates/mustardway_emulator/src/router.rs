//! Routers: which instance gets a caller's packet.

use std::net::SocketAddrV4;

use mustardway_types::hash;

/// Misses of the readiness check after which an instance is out of rotation.
const FAILED_CHECKS_MAX: u32 = 2;
/// Seed of the hash.
const HASH_SEED: u64 = 0x726f_7574_6572_0001;

/// What the routers know of one instance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Upstream {
    domain: usize,
    failed_checks: u32,
}

impl Upstream {
    pub(crate) fn new(domain: usize) -> Self {
        Upstream { domain, failed_checks: FAILED_CHECKS_MAX }
    }

    /// Notes the answer to a readiness check.
    pub(crate) fn record_check(&mut self, is_ready: bool) {
        self.failed_checks = if is_ready { 0 } else { self.failed_checks + 1 };
    }

    fn is_in_rotation(&self) -> bool {
        self.failed_checks < FAILED_CHECKS_MAX
    }
}

/// The instance that gets the packets of a flow of a caller in `domain`.
pub(crate) fn route(
    upstreams: &[Upstream],
    domain: usize,
    caller: SocketAddrV4,
    target: SocketAddrV4,
) -> Option<usize> {
    let is_local = |upstream: &&Upstream| upstream.domain == domain;
    let local = upstreams.iter().filter(is_local).count();
    let ready =
        upstreams.iter().filter(is_local).filter(|upstream| upstream.is_in_rotation()).count();
    let is_candidate = |upstream: &Upstream| match ready {
        0 => upstream.domain != domain && upstream.is_in_rotation(),
        _ if ready * 2 < local => upstream.domain == domain,
        _ => upstream.domain == domain && upstream.is_in_rotation(),
    };
    let mut best = None;
    for (index, upstream) in upstreams.iter().enumerate() {
        if is_candidate(upstream) {
            best = best.max(Some((rank(index, caller, target), index)));
        }
    }
    best.map(|(_, index)| index)
}

/// Rendezvous rank: only the flows of an instance that comes or goes move.
fn rank(index: usize, caller: SocketAddrV4, target: SocketAddrV4) -> u64 {
    let mut bytes = Vec::with_capacity(20);
    bytes.extend(caller.ip().octets());
    bytes.extend(caller.port().to_be_bytes());
    bytes.extend(target.ip().octets());
    bytes.extend(target.port().to_be_bytes());
    hash::mix(hash::seeded(HASH_SEED, &bytes), index as u64)
}
