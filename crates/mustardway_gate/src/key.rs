//! What makes two packets the same request.

use mustardway_types::{flow, hash, packet, request};

/// Id of one part of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Flow that carries it.
    pub flow: flow::Id,
    /// Request on that flow.
    pub request: request::Id,
    /// Part of the answer.
    pub part: u32,
}

impl Key {
    /// The key of a packet.
    pub fn of(header: &packet::Header) -> Self {
        Key { flow: header.flow, request: header.request, part: header.part }
    }

    /// Hash under `seed`.
    pub fn hash(&self, seed: u64) -> u64 {
        let flow = hash::mix(seed, self.flow.0);
        let request = hash::mix(flow, self.request.0);
        hash::mix(request, u64::from(self.part))
    }
}
