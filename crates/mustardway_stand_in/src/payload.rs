//! The bytes that callers send and expect back.
//!
//! A request begins with its [`Demand`]: how large the answer is to be and how
//! long the target works on it. The answer is a function of flow, request and
//! part alone, so that a caller recognises its own.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use mustardway_types::hash;

/// Length of a demand on the wire, in bytes.
const DEMAND_BYTES: usize = 8;

/// Greatest answer, in bytes.
pub const ANSWER_BYTES_MAX: u32 = 4 << 20;

/// What a request asks of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Size of the answer, in bytes.
    pub answer_bytes: u32,
    /// Work of the target, in microseconds; 0 takes the target's own.
    pub work_micros: u32,
}

impl Demand {
    /// The request payload of at least `size` bytes.
    pub fn encode(self, size: usize) -> Bytes {
        let mut bytes = BytesMut::with_capacity(size.max(DEMAND_BYTES));
        bytes.put_u32(self.answer_bytes);
        bytes.put_u32(self.work_micros);
        if size > DEMAND_BYTES {
            bytes.resize(size, 0);
        }
        bytes.freeze()
    }

    /// Reads the demand of a request; `None` when it is too short or asks too much.
    pub fn decode(mut payload: &[u8]) -> Option<Demand> {
        if payload.len() < DEMAND_BYTES {
            return None;
        }
        let demand = Demand { answer_bytes: payload.get_u32(), work_micros: payload.get_u32() };
        (demand.answer_bytes <= ANSWER_BYTES_MAX).then_some(demand)
    }
}

/// What an answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    /// Flow id.
    pub flow: u64,
    /// Request id.
    pub request: u64,
    /// Part, from 0.
    pub part: u32,
}

/// The answer to `key`, of `size` bytes.
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
