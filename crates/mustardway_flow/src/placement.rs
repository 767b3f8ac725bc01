//! The load-balancing policy for new flows.
//!
//! Each candidate's score is its outstanding work per slot, plus a penalty for
//! another failure domain and some noise. Where the time that a target takes is known, the
//! work counts by the expected time until an answer. The noise keeps instances that see the same
//! state from all choosing the same target. This spreads bursts of new flows and
//! limits traffic between failure domains.

use std::fmt;

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::packet::Flow;

/// How suitable a target is for new flows, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Grade {
    /// Nothing speaks against the target.
    Good,
    /// The target is suspected, deprioritised or unregistered. It is used only if no
    /// candidate is good.
    Degraded,
}

/// A target that accepts new flows.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Index of the target in the directory.
    pub index: usize,
    /// How suitable the target is.
    pub grade: Grade,
    /// Whether the target is in the failure domain of this instance.
    pub is_local: bool,
    /// Whether the target is cold: it has just started and works slowly.
    pub is_cold: bool,
    /// Estimated number of requests that wait at the target.
    pub waiting: f64,
    /// Estimated number of open flows at the target without an outstanding request.
    pub idle: f64,
    /// Number of requests that the target handles concurrently.
    pub slots: u32,
    /// Ratio of the expected time until a proper answer to that of an unknown target.
    pub time_factor: f64,
}

/// Weights of the score, in waiting requests per slot.
#[derive(Debug, Clone, Copy)]
pub struct Weights {
    /// Penalty for a target in another failure domain.
    pub distance: f64,
    /// Penalty for a cold target.
    pub cold: f64,
    /// Load of an open flow without an outstanding request: the share of their time
    /// that long flows spend waiting for an answer.
    pub idle_flow: f64,
    /// Maximum random addition.
    pub noise: f64,
}

/// Weights of the default policy, for the load of both users' standard days.
pub const WEIGHTS: Weights = Weights { distance: 1.0, cold: 0.5, idle_flow: 0.05, noise: 0.2 };

/// A load-balancing policy for new flows.
pub trait Policy: fmt::Debug + Send + Sync {
    /// Returns the directory index of the best candidate for `flow`, if there is one.
    fn choose(&self, flow: &Flow, candidates: &[Candidate], rng: &mut Pcg32) -> Option<usize>;
}

/// The default policy: the lowest score among the candidates of the best grade.
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
    let work = candidate.waiting + weights.idle_flow * candidate.idle;
    let mut score = work / f64::from(candidate.slots.max(1));
    // Work per slot, and the request itself, take longer at a slow target.
    score += (candidate.time_factor - 1.0) * (1.0 + score);
    if !candidate.is_local {
        score += weights.distance;
    }
    if candidate.is_cold {
        score += weights.cold;
    }
    score
}
