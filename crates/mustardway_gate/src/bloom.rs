//! Approximate set of requests that have left the memory.
//!
//! Two Bloom filters stand behind each other. New hashes go into the younger one;
//! when that has taken [`GENERATION_HASHES`] hashes the older one is dropped, and the
//! moment from which everything is still known moves up. So a request that ran is
//! never taken for one that did not, at a bounded size.

use mustardway_types::time;

/// Hashes that one filter takes.
pub const GENERATION_HASHES: u32 = 32_768;

/// 64-bit words of one filter: 16 bits for each hash.
pub const WORDS_PER_GENERATION: usize = GENERATION_HASHES as usize * 16 / 64;

/// Bits set for each hash.
const PROBES: u64 = 4;

/// One Bloom filter.
#[derive(Debug, Clone)]
struct Generation {
    words: Vec<u64>,
    count: u32,
    closed_at: time::Instant,
}

/// Two generations of Bloom filters.
#[derive(Debug, Clone)]
pub struct Filter {
    young: Generation,
    old: Generation,
}

/// The words and bits of a hash, in order.
fn probes(hash: u64) -> impl Iterator<Item = (usize, u64)> {
    let step = (hash >> 32) | 1;
    (0..PROBES).map(move |probe| {
        let bit = hash.wrapping_add(probe.wrapping_mul(step)) % (WORDS_PER_GENERATION as u64 * 64);
        ((bit / 64) as usize, 1 << (bit % 64))
    })
}

impl Generation {
    fn new() -> Self {
        Generation { words: Vec::new(), count: 0, closed_at: time::Instant::default() }
    }

    fn insert(&mut self, hash: u64) {
        if self.words.is_empty() {
            self.words = vec![0; WORDS_PER_GENERATION];
        }
        for (word, bit) in probes(hash) {
            self.words[word] |= bit;
        }
        self.count += 1;
    }

    fn contains(&self, hash: u64) -> bool {
        !self.words.is_empty() && probes(hash).all(|(word, bit)| self.words[word] & bit != 0)
    }

    fn merge(&mut self, words: &[u64], count: u32) {
        if self.words.is_empty() {
            self.words = vec![0; WORDS_PER_GENERATION];
        }
        for (mine, other) in self.words.iter_mut().zip(words) {
            *mine |= other;
        }
        self.count = self.count.saturating_add(count);
    }
}

impl Filter {
    /// An empty filter.
    pub fn new() -> Self {
        Filter { young: Generation::new(), old: Generation::new() }
    }

    /// Adds a hash. Returns the moment up to which hashes have been dropped, if that moved.
    pub fn insert(&mut self, now: time::Instant, hash: u64) -> Option<time::Instant> {
        self.young.insert(hash);
        if self.young.count < GENERATION_HASHES {
            return None;
        }
        let dropped = self.old.closed_at;
        let had_old = self.old.count > 0;
        self.old = std::mem::replace(&mut self.young, Generation::new());
        self.old.closed_at = now;
        had_old.then_some(dropped)
    }

    /// Whether a hash may have been added.
    pub fn contains(&self, hash: u64) -> bool {
        self.young.contains(hash) || self.old.contains(hash)
    }

    /// Both generations as words, for another owner; nothing where nothing was added.
    pub fn words(&self) -> Vec<u64> {
        if self.young.count == 0 && self.old.count == 0 {
            return Vec::new();
        }
        let mut all = Generation::new();
        all.merge(&self.young.words, 0);
        all.merge(&self.old.words, 0);
        all.words
    }

    /// Adds the words of another filter; words of a wrong number are left out and said so.
    pub fn merge(&mut self, words: &[u64]) -> bool {
        if words.is_empty() {
            return true;
        }
        if words.len() != WORDS_PER_GENERATION {
            return false;
        }
        let ones: u64 = words.iter().map(|word| u64::from(word.count_ones())).sum();
        let count = u32::try_from(ones / PROBES).unwrap_or(GENERATION_HASHES);
        self.young.merge(words, count.min(GENERATION_HASHES - 1));
        true
    }
}

impl Default for Filter {
    fn default() -> Self {
        Filter::new()
    }
}
