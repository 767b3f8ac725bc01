//! Estimates the share of new flows that a change of configuration moves.
//!
//! The estimate is the share of sample flow ids whose first candidate target differs
//! between the two configurations. Established flows are not counted: they stay on their
//! target.

use std::collections::BTreeSet;
use std::sync::Arc;

use mustardway_routing::snapshot::{Plan, Pool};
use mustardway_types::{domain, flow, hash, service, target};
use mustardway_view::change::Change;
use mustardway_view::model::View;
use serde::Serialize;

/// Number of sample flow ids for each service.
pub const SAMPLES: u64 = 4_096;
/// Seed from which the sample flow ids are derived.
const SEED: u64 = 0xd1ff;

/// Effect of a change on the new flows of one service.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Movement {
    /// Name of the service.
    pub service: service::Name,
    /// Share of new flows that go to another target, 0 to 1. `None` if the service is in
    /// only one of the two configurations.
    pub moved: Option<f64>,
    /// Number of targets before the change.
    pub targets_before: usize,
    /// Number of targets after the change.
    pub targets_after: usize,
}

/// Targets and failure domains that a list of changes touches.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Touched {
    /// Targets that a change names.
    pub targets: BTreeSet<target::Id>,
    /// Failure domains that a change names, and those of the touched targets.
    pub domains: BTreeSet<domain::Name>,
}

/// Returns the effect of the change from `old` to `new` on each service, sorted by name.
pub fn movements(old: &Arc<View>, new: &Arc<View>) -> Vec<Movement> {
    let names: BTreeSet<_> = old.services.keys().chain(new.services.keys()).collect();
    let (old, new) = (Plan::new(Arc::clone(old)), Plan::new(Arc::clone(new)));
    let mut movements = Vec::with_capacity(names.len());
    for name in names {
        let (before, after) = (old.pools.get(name), new.pools.get(name));
        let count = |pool: Option<&Pool>| pool.map_or(0, |pool| pool.targets().len());
        movements.push(Movement {
            service: name.clone(),
            moved: before.zip(after).map(|(before, after)| moved_share(before, after)),
            targets_before: count(before),
            targets_after: count(after),
        });
    }
    movements
}

/// Returns the share of sample flows whose first candidate target differs.
fn moved_share(before: &Pool, after: &Pool) -> f64 {
    let mut moved = 0;
    for sample in 0..SAMPLES {
        let flow = flow::Id(hash::mix(SEED, sample));
        if before.candidates(flow, 1) != after.candidates(flow, 1) {
            moved += 1;
        }
    }
    f64::from(moved) / SAMPLES as f64
}

/// Returns the targets and failure domains that `changes` touch. The domain of a target is
/// looked up in both views, since a target may be in only one or may have moved.
pub fn touched(changes: &[Change], old: &View, new: &View) -> Touched {
    let mut touched = Touched::default();
    for change in changes {
        if let Some(target) = target(change) {
            let views = [old, new].into_iter();
            let versions = views.filter_map(|view| view.targets.get(target));
            touched.domains.extend(versions.map(|target| target.domain.clone()));
            touched.targets.insert(target.clone());
        }
        touched.domains.extend(domain(change).cloned());
    }
    touched
}

/// Returns the target that a change names.
fn target(change: &Change) -> Option<&target::Id> {
    match change {
        Change::TargetAdded { target, .. }
        | Change::TargetRemoved { target, .. }
        | Change::TargetLeaving { target }
        | Change::TargetServing { target }
        | Change::ServiceMoved { target, .. }
        | Change::DomainMoved { target, .. }
        | Change::EndpointMoved { target, .. }
        | Change::LimitChanged { target, .. } => Some(target),
        _ => None,
    }
}

/// Returns the failure domain that a change is about.
fn domain(change: &Change) -> Option<&domain::Name> {
    match change {
        Change::DomainAdded { domain }
        | Change::DomainRemoved { domain }
        | Change::DomainOut { domain }
        | Change::DomainIn { domain }
        | Change::RegionMoved { domain, .. } => Some(domain),
        _ => None,
    }
}
