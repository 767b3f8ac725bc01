//! Payloads of requests and answers.
//!
//! A request payload starts with a [`Demand`]: the size of the answer and the
//! time that the target works on the request. The bytes of an answer depend
//! only on flow, request, part and size, so that a caller detects an answer
//! that belongs to another request.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use mustardway_types::hash;

/// Encoded length of a demand, in bytes.
const DEMAND_BYTES: usize = 8;

/// Maximum size of an answer, in bytes.
pub const ANSWER_BYTES_MAX: u32 = 4 << 20;

/// Answer size and work that a request demands of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Size of the answer, in bytes.
    pub answer_bytes: u32,
    /// Time that the target works on the request, in microseconds; 0 uses the
    /// service time of the target.
    pub work_micros: u32,
}

impl Demand {
    /// Encodes the demand into a payload of at least `size` bytes, padded with zeros.
    pub fn encode(self, size: usize) -> Bytes {
        let mut bytes = BytesMut::with_capacity(size.max(DEMAND_BYTES));
        bytes.put_u32(self.answer_bytes);
        bytes.put_u32(self.work_micros);
        if size > DEMAND_BYTES {
            bytes.resize(size, 0);
        }
        bytes.freeze()
    }

    /// Decodes the demand of a request; `None` when the payload is too short or the
    /// answer would exceed [`ANSWER_BYTES_MAX`].
    pub fn decode(mut payload: &[u8]) -> Option<Demand> {
        if payload.len() < DEMAND_BYTES {
            return None;
        }
        let demand = Demand { answer_bytes: payload.get_u32(), work_micros: payload.get_u32() };
        (demand.answer_bytes <= ANSWER_BYTES_MAX).then_some(demand)
    }
}

/// Identifies the request part that an answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    /// Id of the flow.
    pub flow: u64,
    /// Id of the request within the flow.
    pub request: u64,
    /// Index of the part, from 0.
    pub part: u32,
}

/// Generates the answer to `key` with `size` bytes.
pub fn answer(key: Key, size: u32) -> Bytes {
    let mut bytes = BytesMut::with_capacity(size as usize + 8);
    let mut state = hash::mix(hash::mix(key.flow, key.request), u64::from(key.part));
    while bytes.len() < size as usize {
        state = hash::mix(state, 1);
        bytes.put_u64(state);
    }
    bytes.truncate(size as usize);
    bytes.freeze()
}
