//! The target of a new flow.
//!
//! Every candidate is scored by the work that waits at it for each of its slots,
//! with a charge for another failure domain and some noise, so that instances
//! that see the same do not all choose the same. This answers bursts of new
//! flows, and the bytes between failure domains.

use std::fmt;

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::packet::Flow;

/// How gladly a target is used, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Grade {
    /// Nothing speaks against it.
    Healthy,
    /// It left something unanswered, or its registration is missing.
    Degraded,
}

/// A target that may take a new flow.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Its place in the directory.
    pub index: usize,
    /// How gladly it is used.
    pub grade: Grade,
    /// It lives in the failure domain of this instance.
    pub is_local: bool,
    /// It has just started and works slowly.
    pub is_cold: bool,
    /// Requests that wait at it, by estimate.
    pub waiting: f64,
    /// Open flows at it that ask nothing now, by estimate.
    pub idle: f64,
    /// Requests that it works on at a time.
    pub slots: u32,
}

/// Weights of the score, in requests that wait for one slot.
#[derive(Debug, Clone, Copy)]
pub struct Weights {
    /// Charge for another failure domain.
    pub distance: f64,
    /// Charge for a cold target.
    pub cold: f64,
    /// Charge for an open flow that asks nothing now: the share of their time
    /// that long flows spend waiting for an answer.
    pub flow: f64,
    /// Greatest random addition.
    pub noise: f64,
}

/// Measured on both users' standard days.
pub const WEIGHTS: Weights = Weights { distance: 1.0, cold: 0.5, flow: 0.05, noise: 0.2 };

/// A way to choose the target of a new flow.
pub trait Policy: fmt::Debug + Send + Sync {
    /// The place of the best candidate for `flow`, if there is any.
    fn choose(&self, flow: &Flow, candidates: &[Candidate], rng: &mut Pcg32) -> Option<usize>;
}

/// The choice of the product: the least score of the best grade.
#[derive(Debug, Clone, Copy)]
pub struct Score(pub Weights);

impl Policy for Score {
    fn choose(&self, _: &Flow, candidates: &[Candidate], rng: &mut Pcg32) -> Option<usize> {
        let grade = candidates.iter().map(|candidate| candidate.grade).min()?;
        let mut best: Option<(f64, usize)> = None;
        for candidate in candidates {
            if candidate.grade != grade {
                continue;
            }
            let score = score(candidate, &self.0) + rng.random_range(0.0..=self.0.noise);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, candidate.index));
            }
        }
        best.map(|(_, index)| index)
    }
}

fn score(candidate: &Candidate, weights: &Weights) -> f64 {
    let work = candidate.waiting + weights.flow * candidate.idle;
    let mut score = work / f64::from(candidate.slots.max(1));
    if !candidate.is_local {
        score += weights.distance;
    }
    if candidate.is_cold {
        score += weights.cold;
    }
    score
}
