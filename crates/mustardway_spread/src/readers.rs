//! Which instances watch the platform: the first in a rendezvous rank over the
//! live instances of each failure domain. Reading is never exclusive, so a
//! wrong live list costs calls and nothing else.

use mustardway_types::hash;
use mustardway_types::instance;

/// Readers in each failure domain.
pub const READERS_PER_DOMAIN: usize = 2;
/// Seed of the rank.
const SEED: u64 = 0x7265_6164_6572_7301;

/// The first `count` of `live` in the rank, best first.
pub fn rank<'a>(
    live: impl IntoIterator<Item = &'a instance::Id>,
    count: usize,
) -> Vec<instance::Id> {
    let mut ranked = Vec::new();
    for id in live {
        ranked.push((hash::seeded(SEED, id.as_str().as_bytes()), id));
    }
    ranked.sort_unstable_by(|first, second| second.cmp(first));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, id)| id.clone()).collect()
}
