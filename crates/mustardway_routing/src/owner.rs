//! Which instance owns a target: rendezvous over the live instances of the
//! target's failure domain, or of the next failure domain where none lives.

use mustardway_types::{domain, hash, target};

use crate::live::{Instance, Instances};

/// Seed of the hash of target ids.
const TARGET_SEED: u64 = 0x7a26;

/// Hash of a target's id, as ranks use it.
pub fn key(target: &target::Id) -> u64 {
    hash::seeded(TARGET_SEED, target.as_str().as_bytes())
}

/// Instances that may own a target of `home`: those of `home`, else of the
/// next failure domain in name order that has any.
pub fn electorate<'a>(live: &'a Instances, home: &domain::Name) -> &'a [Instance] {
    next_domain(live, home, |_| true)
}

/// Instances of `home`, or of the next failure domain, with one that `counts`.
fn next_domain<'a>(
    live: &'a Instances,
    home: &domain::Name,
    counts: impl Fn(&Instance) -> bool,
) -> &'a [Instance] {
    let later = live.domains().filter(|(name, _)| *name >= home);
    let earlier = live.domains().filter(|(name, _)| *name < home);
    for (_, instances) in later.chain(earlier) {
        if instances.iter().any(&counts) {
            return instances;
        }
    }
    &[]
}

/// The owner among `electorate` of the target whose hash is `key`.
pub fn top(electorate: &[Instance], key: u64) -> Option<&Instance> {
    electorate.iter().max_by_key(|instance| score(instance, key))
}

/// The owner, once all that are leaving have left, of the target of `home`
/// whose hash is `key`.
pub fn successor<'a>(live: &'a Instances, home: &domain::Name, key: u64) -> Option<&'a Instance> {
    let electorate = next_domain(live, home, |instance| !instance.leaving);
    let staying = electorate.iter().filter(|instance| !instance.leaving);
    staying.max_by_key(|instance| score(instance, key))
}

/// `electorate` from first to last in rank for the target whose hash is `key`.
pub fn rank(electorate: &[Instance], key: u64) -> Vec<&Instance> {
    let mut ranked: Vec<&Instance> = electorate.iter().collect();
    ranked.sort_by_key(|instance| std::cmp::Reverse(score(instance, key)));
    ranked
}

/// Rank of an instance for a target; ties go by the instance's hash.
fn score(instance: &Instance, key: u64) -> (u64, u64) {
    (hash::mix(key, instance.key), instance.key)
}
