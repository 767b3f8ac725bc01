//! Fair shares of the callers of one route. An instance sees a random part of each
//! caller's flows, so it can share its part of the capacity by what it sees itself.
//!
//! Counts are kept for one epoch. A caller that was refused retries at once, mostly
//! through another instance; the hash of caller and epoch gives it the same verdict
//! there. While the demand of a whole epoch is not yet known, and for callers that are
//! not counted, the hash alone decides on all flows of a caller.

use std::net::Ipv4Addr;

use mustardway_load::key;
use mustardway_types::hash;
use rustc_hash::FxHashMap;

use crate::allocation::water_level;

/// Number of times that a caller retries a refused flow.
pub const RETRIES: u32 = 2;
/// Maximum number of callers that are counted. Others share by the hash alone.
const CALLERS_MAX: usize = 4_096;
/// Seed of the hash of the verdicts. It must be the same at all instances.
const SEED: u64 = 0x6164_6d69_7400_0001;

/// New flows of one caller in one epoch.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    admitted: u32,
    refused: u32,
}

impl Count {
    /// Returns the number of flows that the caller wants, without its retries.
    fn wanted(self) -> f64 {
        f64::from(self.admitted) + f64::from(self.refused.div_ceil(RETRIES + 1))
    }
}

/// The verdict on a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The flow is admitted.
    Admit,
    /// The route has too little capacity for its callers.
    Refuse,
    /// The caller has used up its share, and others have not.
    ExceedsShare,
}

/// The callers of one route.
#[derive(Debug, Default)]
pub struct Callers {
    /// The current epoch, once there is one.
    epoch: Option<u64>,
    /// Whether the epoch has been counted from its beginning. Counts of a part would give
    /// too small a demand.
    is_whole: bool,
    /// Share of the flows that is admitted.
    share: f64,
    counts: FxHashMap<Ipv4Addr, Count>,
    /// Number of flows that each caller wanted in the previous epoch; empty if unknown.
    wanted: Vec<f64>,
    /// New flows that each caller may open in an epoch, if the demand is known. A fraction
    /// is a probability.
    level: Option<f64>,
    /// Mean number of flows that a caller wanted in the previous epoch.
    mean_wanted: f64,
}

impl Callers {
    /// Sets the share of the callers' flows that is admitted.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
        let all: f64 = self.wanted.iter().sum();
        let is_known = !self.wanted.is_empty();
        self.level = is_known.then(|| water_level(share * all, &self.wanted));
    }

    /// Begins an epoch with the demand of the one before.
    fn begin_epoch(&mut self, epoch: u64) {
        let is_next = self.epoch.is_some_and(|before| epoch == before.wrapping_add(1));
        let counts = self.counts.drain().map(|(_, count)| count.wanted());
        let wanted: Vec<f64> = counts.collect();
        self.wanted = if is_next && self.is_whole { wanted } else { Vec::new() };
        self.mean_wanted = self.wanted.iter().sum::<f64>() / self.wanted.len().max(1) as f64;
        self.is_whole = is_next;
        self.epoch = Some(epoch);
        self.set_share(self.share);
    }

    /// Decides on a new flow of `caller`, and counts it.
    pub fn decide(&mut self, route: key::Route, caller: Ipv4Addr, epoch: u64) -> Verdict {
        if self.epoch != Some(epoch) {
            self.begin_epoch(epoch);
        }
        let hash = hash::seeded(SEED, &caller.octets());
        let drawn = hash::unit(hash::mix(hash::mix(hash, route.0), epoch));
        let is_known = self.counts.len() < CALLERS_MAX || self.counts.contains_key(&caller);
        let mut uncounted = Count::default();
        let count = if is_known { self.counts.entry(caller).or_default() } else { &mut uncounted };
        let is_admitted = match self.level {
            _ if self.share >= 1.0 => true,
            Some(level) if is_known => f64::from(count.admitted) < round(level, drawn),
            _ => drawn < self.share,
        };
        if is_admitted {
            count.admitted = count.admitted.saturating_add(1);
            return Verdict::Admit;
        }
        count.refused = count.refused.saturating_add(1);
        if count.admitted > 0 && count.wanted() > 2.0 * self.mean_wanted {
            return Verdict::ExceedsShare;
        }
        Verdict::Refuse
    }
}

/// Rounds `level` up or down so that its mean over uniform numbers `drawn` stays the same.
fn round(level: f64, drawn: f64) -> f64 {
    let whole = level.floor();
    if drawn < level - whole { whole + 1.0 } else { whole }
}
