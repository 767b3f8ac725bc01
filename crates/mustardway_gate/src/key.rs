//! Identity of a request: packets with the same key are duplicates.

use mustardway_types::{flow, hash, packet, request};

/// Identity of one part of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Flow that carries the request.
    pub flow: flow::Id,
    /// Id of the request on its flow.
    pub request: request::Id,
    /// Part of the answer that is requested.
    pub part: u32,
}

impl Key {
    /// Returns the key of a packet.
    pub fn of(header: &packet::Header) -> Self {
        Key { flow: header.flow, request: header.request, part: header.part }
    }

    /// Returns the hash of the key under `seed`.
    pub fn hash(&self, seed: u64) -> u64 {
        let flow = hash::mix(seed, self.flow.0);
        let request = hash::mix(flow, self.request.0);
        hash::mix(request, u64::from(self.part))
    }
}
