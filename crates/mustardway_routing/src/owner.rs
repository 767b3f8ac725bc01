//! Selection of the instance that owns a target: rendezvous hashing over the live
//! instances of the target's failure domain, or of the next failure domain with
//! live instances if there are none.

use mustardway_types::{domain, hash, target};

use crate::live::{Instance, Instances};

/// Seed of the hash of target ids. All instances must use the same value.
const TARGET_SEED: u64 = 0x7a26;

/// Returns the hash of a target's id that determines the ranks.
pub fn key(target: &target::Id) -> u64 {
    hash::seeded(TARGET_SEED, target.as_str().as_bytes())
}

/// Returns the instances that may own a target in `home`: the live instances of
/// `home`, or of the next failure domain in name order that has any.
pub fn candidates<'a>(live: &'a Instances, home: &domain::Name) -> &'a [Instance] {
    next_domain(live, home, |_| true)
}

/// Returns the instances of `home`, or else of the next failure domain in name
/// order, in which at least one instance satisfies `is_eligible`.
fn next_domain<'a>(
    live: &'a Instances,
    home: &domain::Name,
    is_eligible: impl Fn(&Instance) -> bool,
) -> &'a [Instance] {
    let later = live.domains().filter(|(name, _)| *name >= home);
    let earlier = live.domains().filter(|(name, _)| *name < home);
    for (_, instances) in later.chain(earlier) {
        if instances.iter().any(&is_eligible) {
            return instances;
        }
    }
    &[]
}

/// Returns the owner, among `candidates`, of the target with the hash `key`.
pub fn highest_ranked(candidates: &[Instance], key: u64) -> Option<&Instance> {
    candidates.iter().max_by_key(|instance| score(instance, key))
}

/// Returns the owner that the target in `home` with the hash `key` will have once
/// all leaving instances have stopped.
pub fn successor<'a>(live: &'a Instances, home: &domain::Name, key: u64) -> Option<&'a Instance> {
    let candidates = next_domain(live, home, |instance| !instance.leaving);
    let staying = candidates.iter().filter(|instance| !instance.leaving);
    staying.max_by_key(|instance| score(instance, key))
}

/// Returns `candidates` in rank order for the target with the hash `key`, owner
/// first.
pub fn rank(candidates: &[Instance], key: u64) -> Vec<&Instance> {
    let mut ranked: Vec<&Instance> = candidates.iter().collect();
    ranked.sort_by_key(|instance| std::cmp::Reverse(score(instance, key)));
    ranked
}

/// Returns the rendezvous score of an instance for a target. Ties are broken by
/// the instance's hash.
fn score(instance: &Instance, key: u64) -> (u64, u64) {
    (hash::mix(key, instance.key), instance.key)
}
