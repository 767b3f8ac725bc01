//! Load-balancing policies for new flows, to compare with the default policy.

use std::fmt;
use std::str::FromStr;

use mustardway_flow::packet::Flow;
use mustardway_flow::placement::{Candidate, Policy, Score, WEIGHTS, Weights};
use mustardway_types::parse;
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::costs::Costs;

/// A load-balancing policy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Variant {
    /// The default policy: the lowest score.
    #[default]
    Score,
    /// The default policy without the penalty for another failure domain.
    Anywhere,
    /// Rendezvous hashing alone.
    Rendezvous,
    /// The fewest waiting requests, in any failure domain.
    Least,
    /// The power of two choices: of two random targets, the one with fewer waiting
    /// requests.
    Pair,
    /// The least expected time until an answer, from the true work and speeds of the
    /// targets. No instance can know them; the policy is a bound for others.
    Omniscient,
}

impl Variant {
    /// All policies that instances can apply.
    pub const ALL: [Variant; 5] =
        [Variant::Score, Variant::Anywhere, Variant::Rendezvous, Variant::Least, Variant::Pair];

    /// Returns the implementation of the policy. `costs` are the true costs of the targets,
    /// by their index in the directory.
    pub(crate) fn policy(self, costs: &Costs) -> Box<dyn Policy> {
        match self {
            Variant::Score => Box::new(Score(WEIGHTS)),
            Variant::Anywhere => Box::new(Score(Weights { distance: 0.0, ..WEIGHTS })),
            Variant::Rendezvous => Box::new(Rendezvous),
            Variant::Least => Box::new(Least),
            Variant::Pair => Box::new(Pair),
            Variant::Omniscient => Box::new(Omniscient(costs.clone())),
        }
    }
}

impl fmt::Display for Variant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Variant::Score => "score",
            Variant::Anywhere => "anywhere",
            Variant::Rendezvous => "rendezvous",
            Variant::Least => "least",
            Variant::Pair => "pair",
            Variant::Omniscient => "omniscient",
        })
    }
}

impl FromStr for Variant {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const WANTED: &str = "placement: score, anywhere, rendezvous, least or pair";
        let variant = Variant::ALL.into_iter().find(|variant| variant.to_string() == text);
        variant.ok_or_else(|| parse::Error::value(text, WANTED))
    }
}

/// Rendezvous hashing of the caller's address over the candidates of the best grade.
#[derive(Debug)]
struct Rendezvous;

impl Policy for Rendezvous {
    fn choose(&self, flow: &Flow, candidates: &[Candidate], _: &mut Pcg32) -> Option<usize> {
        let caller = u64::from(u32::from(*flow.caller.ip())) << 16 | u64::from(flow.caller.port());
        let rank = |candidate: &&Candidate| {
            let mixed =
                (caller ^ (candidate.index as u64) << 48).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
        };
        best(candidates).max_by_key(rank).map(|candidate| candidate.index)
    }
}

/// The candidate of the best grade with the fewest waiting requests.
#[derive(Debug)]
struct Least;

impl Policy for Least {
    fn choose(&self, _: &Flow, candidates: &[Candidate], _: &mut Pcg32) -> Option<usize> {
        let least = best(candidates).min_by(|one, other| one.waiting.total_cmp(&other.waiting));
        least.map(|candidate| candidate.index)
    }
}

/// Of two random candidates of the best grade, the one with fewer waiting requests.
#[derive(Debug)]
struct Pair;

impl Policy for Pair {
    fn choose(&self, _: &Flow, candidates: &[Candidate], rng: &mut Pcg32) -> Option<usize> {
        let good: Vec<&Candidate> = best(candidates).collect();
        if good.is_empty() {
            return None;
        }
        let one = good[rng.random_range(0..good.len())];
        let other = good[rng.random_range(0..good.len())];
        Some(if one.waiting <= other.waiting { one.index } else { other.index })
    }
}

/// The candidate with the lowest true cost, of any grade.
#[derive(Debug)]
struct Omniscient(Costs);

impl Policy for Omniscient {
    fn choose(&self, _: &Flow, candidates: &[Candidate], _: &mut Pcg32) -> Option<usize> {
        let cost = |candidate: &Candidate| self.0.get(candidate.index);
        let least = candidates.iter().min_by(|one, other| cost(one).total_cmp(&cost(other)));
        least.map(|candidate| candidate.index)
    }
}

/// Returns the candidates of the best grade.
fn best(candidates: &[Candidate]) -> impl Iterator<Item = &Candidate> {
    let grade = candidates.iter().map(|candidate| candidate.grade).min();
    candidates.iter().filter(move |candidate| Some(candidate.grade) == grade)
}
