//! Seeded hasher of the hash tables.
//!
//! Callers choose flow and request ids, so the tables hash them under a seed
//! that callers do not know.

use std::hash::{BuildHasher, Hasher};

use mustardway_types::hash;

/// Builds hashers that use one seed.
#[derive(Debug, Clone, Copy)]
pub struct Builder(pub u64);

impl BuildHasher for Builder {
    type Hasher = State;

    fn build_hasher(&self) -> State {
        State(self.0)
    }
}

/// State of a hasher.
#[derive(Debug)]
pub struct State(u64);

impl Hasher for State {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = hash::mix(self.0, hash::seeded(self.0, bytes));
    }

    fn write_u32(&mut self, value: u32) {
        self.write_u64(u64::from(value));
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = hash::mix(self.0, value);
    }
}
