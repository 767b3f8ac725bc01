//! Fair shares of the callers of one route. An instance sees a random part of each
//! caller's flows, so it can share its part of the capacity by what it sees itself.
//!
//! Counts are kept for one epoch. A caller that was refused retries at once, mostly
//! through another instance. So the hash of caller and epoch decides on all flows of an
//! ordinary caller, with the same verdict at all instances. A caller with much more demand
//! than the others, and each of a few callers, may open as many flows in an epoch as
//! max-min fairness gives it, spread over those that it opened in the epoch before.
//! While the demand of a whole epoch is not yet known, and for callers that are not
//! counted, the hash decides alone.

use std::net::Ipv4Addr;

use mustardway_load::key;
use mustardway_types::hash;
use rustc_hash::FxHashMap;

use crate::allocation::water_level;

/// Number of times that a caller retries a refused flow.
pub const RETRIES: u32 = 2;
/// Maximum number of callers that are counted. Others share by the hash alone.
const CALLERS_MAX: usize = 4_096;
/// Factor by which a caller's demand may exceed that of the epoch before and still count
/// towards the length of the epoch, which is one second, or up to four if summaries are
/// late. What exceeds it is a change of that caller alone.
const DEMAND_RISE_MAX: f64 = 4.0;
/// Multiple of the mean demand up to which the demand of a caller is ordinary: callers that
/// open one flow per epoch at each instance on average seldom open more than three.
const ORDINARY_DEMAND: f64 = 3.0;
/// Number of callers from which on the hash decides on the flows of ordinary ones. All flows
/// of a caller get the same verdict then, so few callers would miss the share by much.
const HASHED_CALLERS_MIN: usize = 50;
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

    /// Returns the number of the flow that the caller opens next. Retries of a flow have its
    /// number.
    fn next_flow(self) -> f64 {
        f64::from(self.admitted) + f64::from(self.refused / (RETRIES + 1)) + 1.0
    }

    /// Returns whether the next attempt is a retry.
    fn is_retry_next(self) -> bool {
        !self.refused.is_multiple_of(RETRIES + 1)
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
    wanted: FxHashMap<Ipv4Addr, f64>,
    /// Sum of `wanted`.
    demand: f64,
    /// Number of flows that callers wanted so far in this epoch, as far as it is in
    /// proportion to `wanted`.
    seen: f64,
    /// New flows that each caller may open in an epoch, if the demand is known. A fraction
    /// is a probability.
    level: Option<f64>,
    /// Number of flows in an epoch up to which the demand of a caller is ordinary.
    ordinary: f64,
    /// Share of the flows of ordinary callers that is admitted.
    ordinary_share: f64,
}

impl Callers {
    /// Sets the share of the callers' flows that is admitted.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
        let demands: Vec<f64> = self.wanted.values().copied().collect();
        let is_known = !demands.is_empty();
        let level = water_level(share * self.demand, &demands);
        self.level = is_known.then_some(level);
        let (mut admitted, mut wanted) = (0.0, 0.0);
        for demand in demands.into_iter().filter(|demand| *demand <= self.ordinary) {
            admitted += demand.min(level);
            wanted += demand;
        }
        self.ordinary_share = if wanted > 0.0 { admitted / wanted } else { share };
    }

    /// Begins an epoch with the demand of the one before.
    fn begin_epoch(&mut self, epoch: u64) {
        let is_next = self.epoch.is_some_and(|before| epoch == before.wrapping_add(1));
        let counts = self.counts.drain().map(|(caller, count)| (caller, count.wanted()));
        let wanted: FxHashMap<Ipv4Addr, f64> = counts.collect();
        self.wanted = if is_next && self.is_whole { wanted } else { FxHashMap::default() };
        self.demand = self.wanted.values().sum();
        self.ordinary = ORDINARY_DEMAND * self.demand / self.wanted.len().max(1) as f64;
        self.seen = 0.0;
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
        let wanted = self.wanted.get(&caller).copied().unwrap_or(1.0);
        let flow = count.next_flow();
        let is_new = !count.is_retry_next();
        if is_new && flow <= wanted * DEMAND_RISE_MAX {
            self.seen += 1.0;
        }
        // An epoch in which all callers open more flows is longer, or demand rises.
        let pace = (self.seen / self.demand.max(1.0)).max(1.0);
        let is_ordinary = flow.max(wanted) <= self.ordinary * pace;
        let is_hashed = self.wanted.len() >= HASHED_CALLERS_MIN && is_ordinary;
        let is_admitted = match self.level {
            _ if self.share >= 1.0 => true,
            Some(_) if is_known && is_hashed => drawn < self.ordinary_share,
            Some(level) if is_known => {
                let allowed = round(level, drawn);
                let by_now = (allowed * flow / allowed.max(wanted)).ceil();
                let most = (allowed * pace).floor();
                is_new && f64::from(count.admitted) < by_now.min(most)
            }
            _ => drawn < self.share,
        };
        if is_admitted {
            count.admitted = count.admitted.saturating_add(1);
            return Verdict::Admit;
        }
        count.refused = count.refused.saturating_add(1);
        if count.admitted > 0 && count.wanted() > self.ordinary * pace {
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
