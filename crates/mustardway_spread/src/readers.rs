//! Choice of the readers, the instances that watch the platform: the first ones by
//! rendezvous hashing over the live instances of each failure domain. Any number
//! of instances may read, so a wrong live list costs additional calls only.

use mustardway_types::hash;
use mustardway_types::instance;

/// Number of readers in each failure domain. If it fails, the others get news from other
/// failure domains, or read themselves once no confirmation is recent.
pub const READERS_PER_DOMAIN: usize = 1;
/// Number of readers in the fleet whose long polls are short, see
/// [`crate::settings::VERIFIER_WAIT`].
pub const VERIFIERS: usize = 1;
/// Hash seed of the rendezvous order.
const SEED: u64 = 0x7265_6164_6572_7301;

/// Returns the first `count` instances of `live` in rendezvous order.
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
