//! Routers: which instance gets a caller's packet.

use std::net::SocketAddrV4;

use mustardway_types::hash;

/// Misses of the readiness check after which an instance is out of rotation.
const MISSES: u32 = 2;
/// Seed of the hash.
const SEED: u64 = 0x726f_7574_6572_0001;

/// What the routers know of one instance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Seat {
    domain: usize,
    misses: u32,
}

impl Seat {
    pub(crate) fn new(domain: usize) -> Self {
        Seat { domain, misses: MISSES }
    }

    /// Notes the answer to a readiness check.
    pub(crate) fn check(&mut self, is_ready: bool) {
        self.misses = if is_ready { 0 } else { self.misses + 1 };
    }

    fn is_in(&self) -> bool {
        self.misses < MISSES
    }
}

/// The instance that gets the packets of a flow of a caller in `domain`.
pub(crate) fn route(
    seats: &[Seat],
    domain: usize,
    caller: SocketAddrV4,
    target: SocketAddrV4,
) -> Option<usize> {
    let own = |seat: &&Seat| seat.domain == domain;
    let all = seats.iter().filter(own).count();
    let ready = seats.iter().filter(own).filter(|seat| seat.is_in()).count();
    let is_candidate = |seat: &Seat| match ready {
        0 => seat.domain != domain && seat.is_in(),
        _ if ready * 2 < all => seat.domain == domain,
        _ => seat.domain == domain && seat.is_in(),
    };
    let mut best = None;
    for (index, seat) in seats.iter().enumerate() {
        if is_candidate(seat) {
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
    hash::mix(hash::seeded(SEED, &bytes), index as u64)
}
