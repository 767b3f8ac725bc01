//! Failure domains that this instance cannot reach.
//!
//! It takes seconds to find every target of a large failure domain lost, a few probes
//! at a time. A domain is therefore judged as a whole by those of its targets that
//! gave no sign of life since they left a caller's packet unanswered or were lost:
//!
//! - It is *silent* once several targets have left callers unanswered for a while.
//!   A silent domain does not count for the readiness of the instance. A full link of
//!   the instance has the same effect, and then too the routers should choose others.
//! - It is *unreachable* once several targets were lost. New flows then go elsewhere.
//!
//! A single sign of life of any target ends both. Flows of a target are reset only
//! once the target itself is lost.

use std::collections::{BTreeMap, BTreeSet};

use mustardway_types::domain;
use mustardway_types::time::{Instant, Span};

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
    /// Judges the failure domains of the targets with the directory indexes
    /// `unhealthy`, which are all that may be suspected or lost.
    pub(crate) fn assess(directory: &Directory, unhealthy: &BTreeSet<usize>, now: Instant) -> Self {
        let mut counts: BTreeMap<&domain::Name, usize> = BTreeMap::new();
        for index in unhealthy {
            let Some(target) = directory.get(*index) else { continue };
            *counts.entry(&target.registration.domain).or_default() += 1;
        }
        let mut result = Reachability::default();
        for (domain, count) in counts {
            if count >= TARGETS_MIN {
                result.assess_domain(directory, domain, now);
            }
        }
        result
    }

    fn assess_domain(&mut self, directory: &Directory, domain: &domain::Name, now: Instant) {
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
            lost.extend(target.health.lost_since(now));
        }
        let is_later = |at: &Instant| sign_of_life.is_none_or(|sign| *at > sign);
        suspected.retain(is_later);
        lost.retain(is_later);
        let is_long = suspected.iter().min().is_some_and(|at| now.since(*at) >= SILENCE_MIN);
        if lost.len() >= TARGETS_MIN {
            self.unreachable.insert(domain.clone());
        }
        if suspected.len() >= TARGETS_MIN && is_long {
            self.silent.insert(domain.clone());
        }
    }
}
