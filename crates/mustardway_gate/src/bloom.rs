//! Bloom filter for requests that the deduplication cache has dropped.
//!
//! The filter has two generations. New hashes go into the younger generation.
//! When that one holds [`GENERATION_HASHES`] hashes, it becomes the older one
//! and the previous older one is dropped; the time since which the history is
//! complete then moves forward. A request that ran is therefore never taken for
//! one that did not run, and the size stays bounded.

use mustardway_types::time;

/// Number of hashes that one generation holds.
pub const GENERATION_HASHES: u32 = 32_768;

/// Number of 64-bit words of one generation, at 16 bits for each hash.
pub const WORDS_PER_GENERATION: usize = GENERATION_HASHES as usize * 16 / 64;

/// Number of bits that are set for each hash.
const PROBES: u64 = 4;

/// One generation of the Bloom filter. The words are allocated with the first hash.
#[derive(Debug, Clone)]
struct Generation {
    words: Vec<u64>,
    count: u32,
    closed_at: time::Instant,
}

/// A Bloom filter of two generations.
#[derive(Debug, Clone)]
pub struct Filter {
    young: Generation,
    old: Generation,
}

/// Returns the word index and bit mask of every bit of a hash, in probe order.
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
    /// Creates an empty filter.
    pub fn new() -> Self {
        Filter { young: Generation::new(), old: Generation::new() }
    }

    /// Adds a hash. If a generation was dropped, returns the time up to which its hashes had been
    /// added.
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

    /// Returns whether a hash may have been added.
    pub fn contains(&self, hash: u64) -> bool {
        self.young.contains(hash) || self.old.contains(hash)
    }

    /// Returns the union of both generations as words for another owner, or no words if nothing
    /// was added.
    pub fn words(&self) -> Vec<u64> {
        if self.young.count == 0 && self.old.count == 0 {
            return Vec::new();
        }
        let mut all = Generation::new();
        all.merge(&self.young.words, 0);
        all.merge(&self.old.words, 0);
        all.words
    }

    /// Adds the words of another filter. Returns false and ignores the words if their number is
    /// wrong.
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
