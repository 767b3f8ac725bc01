//! Model of the routers that spread callers' packets over the instances.

use std::net::SocketAddrV4;

use mustardway_types::hash;

/// Number of consecutive failed readiness checks at which an instance is taken out
/// of rotation.
const FAILED_CHECKS_MAX: u32 = 2;
/// Seed of the rendezvous hash.
const HASH_SEED: u64 = 0x726f_7574_6572_0001;

/// The routers' view of one instance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Upstream {
    domain: usize,
    failed_checks: u32,
}

impl Upstream {
    /// Creates an instance that is out of rotation until it passes a check.
    pub(crate) fn new(domain: usize) -> Self {
        Upstream { domain, failed_checks: FAILED_CHECKS_MAX }
    }

    /// Records the result of a readiness check.
    pub(crate) fn record_check(&mut self, is_ready: bool) {
        self.failed_checks = if is_ready { 0 } else { self.failed_checks + 1 };
    }

    fn is_in_rotation(&self) -> bool {
        self.failed_checks < FAILED_CHECKS_MAX
    }
}

/// Returns the index of the instance that gets the packets of a flow whose caller is
/// in `domain`.
///
/// The candidates are the ready instances in the caller's failure domain. If fewer
/// than half of its instances are ready, all of them are candidates (panic mode). If
/// none is ready, the ready instances in other failure domains are.
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

/// Returns the rendezvous rank of an instance for a flow. If an instance joins or
/// leaves, only the flows of this instance move.
fn rank(index: usize, caller: SocketAddrV4, target: SocketAddrV4) -> u64 {
    let mut bytes = Vec::with_capacity(20);
    bytes.extend(caller.ip().octets());
    bytes.extend(caller.port().to_be_bytes());
    bytes.extend(target.ip().octets());
    bytes.extend(target.port().to_be_bytes());
    hash::mix(hash::seeded(HASH_SEED, &bytes), index as u64)
}
