//! Choice of a few instances for each target, by rendezvous hashing.

use mustardway_types::{hash, instance, target};

/// Returns whether `me` is among the first `count` of the `instances` for a target.
/// All instances that know the same ones choose alike; `seed` tells choices apart.
pub(crate) fn is_among_first(
    seed: u64,
    me: &instance::Id,
    instances: &[instance::Id],
    target: &target::Id,
    count: usize,
) -> bool {
    let own = rank(seed, me, target);
    let others = instances.iter().filter(|id| *id != me);
    others.filter(|id| rank(seed, id, target) > own).count() < count
}

fn rank(seed: u64, id: &instance::Id, target: &target::Id) -> u64 {
    let target = hash::seeded(seed, target.as_str().as_bytes());
    hash::mix(target, hash::seeded(seed, id.as_str().as_bytes()))
}
