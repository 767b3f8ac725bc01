//! The seeded hash functions that all instances share.
//!
//! Instances compute the same ranks only if they use the same hash functions, so
//! these functions are part of the protocol between instances.

use xxhash_rust::xxh3;

/// Returns the hash of `bytes` with `seed`.
pub fn seeded(seed: u64, bytes: &[u8]) -> u64 {
    xxh3::xxh3_64_with_seed(bytes, seed)
}

/// Combines two hashes. The order of the arguments matters.
pub fn mix(first: u64, second: u64) -> u64 {
    let mut value = first ^ second.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Maps a hash to a uniform number in the open interval (0, 1).
pub fn unit(hash: u64) -> f64 {
    const STEPS: f64 = (1u64 << 53) as f64;
    ((hash >> 11) as f64 + 0.5) / STEPS
}
