//! Failure domains that this instance cannot reach.
//!
//! It takes seconds to find every target of a large failure domain lost, a few probes
//! at a time. A domain is therefore judged as a whole by those of its targets that
//! gave no sign of life since they left a caller's packet unanswered or were lost:
//!
//! - It is *silent* once several targets have left callers unanswered for a while.
//!   A silent domain does not count for the readiness of the instance. A full link of
//!   the instance has the same effect, and then too the routers should choose others.
//! - It is *unreachable* once several targets were lost, as found here or reported by
//!   more than one peer. New flows then go elsewhere. A single peer may be wrong.
//!
//! A single sign of life of any target ends both. Flows of a target are reset only
//! once the target itself is lost.

use std::collections::{BTreeMap, BTreeSet};

use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, instance};

use crate::directory::Directory;

/// Number of targets at which a failure domain is judged. A crash of a few targets
/// leaves others that answer.
const TARGETS_MIN: usize = 3;
/// Time without a sign of life after which a failure domain is silent: two
/// retransmissions of a caller.
const SILENCE_MIN: Span = Span::millis(400);

/// Failure domains that this instance may not be able to reach.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Reachability {
    /// Domains whose targets have left callers unanswered for a while.
    pub(crate) silent: BTreeSet<domain::Name>,
    /// Domains in which several targets were lost.
    pub(crate) unreachable: BTreeSet<domain::Name>,
}

impl Reachability {
    /// Judges the failure domains of the targets with the directory indexes `unhealthy`
    /// and `reported`, which are all that may be suspected or lost. Each reported target
    /// has the peer that reported it.
    pub(crate) fn assess(
        directory: &Directory,
        unhealthy: &BTreeSet<usize>,
        reported: &BTreeMap<usize, instance::Id>,
        now: Instant,
    ) -> Self {
        let mut counts: BTreeMap<&domain::Name, usize> = BTreeMap::new();
        let unreported = unhealthy.iter().filter(|index| !reported.contains_key(index));
        for index in unreported.chain(reported.keys()) {
            let Some(target) = directory.get(*index) else { continue };
            *counts.entry(&target.registration.domain).or_default() += 1;
        }
        let mut result = Reachability::default();
        for (domain, count) in counts {
            if count >= TARGETS_MIN {
                result.assess_domain(directory, reported, domain, now);
            }
        }
        result
    }

    fn assess_domain(
        &mut self,
        directory: &Directory,
        reported: &BTreeMap<usize, instance::Id>,
        domain: &domain::Name,
        now: Instant,
    ) {
        let mut sign_of_life = None;
        let (mut suspected, mut lost) = (Vec::new(), Vec::new());
        for index in directory.indexes_in_domain(domain) {
            let Some(target) = directory.get(index) else { continue };
            let sign = target.observation.last_response.max(target.health.last_answer());
            sign_of_life = sign_of_life.max(sign);
            if target.unregistered_at.is_some() {
                continue;
            }
            suspected.extend(target.health.unanswered_since(now));
            let reporter = reported.get(&index).filter(|_| !target.health.is_lost());
            lost.extend(target.health.lost_since(now).map(|at| (at, reporter)));
        }
        let is_later = |at: &Instant| sign_of_life.is_none_or(|sign| *at > sign);
        suspected.retain(is_later);
        lost.retain(|(at, _)| is_later(at));
        let is_long = suspected.iter().min().is_some_and(|at| now.since(*at) >= SILENCE_MIN);
        let reporters: BTreeSet<_> = lost.iter().map(|(_, reporter)| reporter).collect();
        let is_confirmed = reporters.len() > 1 || reporters.contains(&None);
        if lost.len() >= TARGETS_MIN && is_confirmed {
            self.unreachable.insert(domain.clone());
        }
        if suspected.len() >= TARGETS_MIN && is_long {
            self.silent.insert(domain.clone());
        }
    }
}
