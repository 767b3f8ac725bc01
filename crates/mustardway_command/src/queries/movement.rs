//! Which new flows a change moves.
//!
//! The share is that of sample flow ids whose first candidate differs between the
//! two configurations. Established flows stay on their target.

use std::collections::BTreeSet;
use std::sync::Arc;

use mustardway_routing::snapshot::{Plan, Pool};
use mustardway_types::{domain, flow, hash, service, target};
use mustardway_view::change::Change;
use mustardway_view::model::View;
use serde::Serialize;

/// Flow ids that are looked at for each service.
pub const SAMPLES: u64 = 4_096;
/// Seed of the flow ids.
const SEED: u64 = 0xd1ff;

/// What a change moves in one service.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Movement {
    /// The service.
    pub service: service::Name,
    /// Share of new flows that go to another target, 0 to 1; none where the service
    /// is in only one of the two.
    pub moved: Option<f64>,
    /// Targets before.
    pub targets_before: usize,
    /// Targets after.
    pub targets_after: usize,
}

/// What a list of changes touches.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Touched {
    /// Targets.
    pub targets: BTreeSet<target::Id>,
    /// Failure domains, also those of the targets.
    pub domains: BTreeSet<domain::Name>,
}

/// What the change from `old` to `new` moves, by service.
pub fn movements(old: &Arc<View>, new: &Arc<View>) -> Vec<Movement> {
    let names: BTreeSet<_> = old.services.keys().chain(new.services.keys()).collect();
    let (old, new) = (Plan::new(Arc::clone(old)), Plan::new(Arc::clone(new)));
    let mut movements = Vec::with_capacity(names.len());
    for name in names {
        let (before, after) = (old.pools.get(name), new.pools.get(name));
        let count = |pool: Option<&Pool>| pool.map_or(0, |pool| pool.targets().len());
        movements.push(Movement {
            service: name.clone(),
            moved: before.zip(after).map(|(before, after)| share(before, after)),
            targets_before: count(before),
            targets_after: count(after),
        });
    }
    movements
}

/// Share of the sample flows whose first candidate differs.
fn share(before: &Pool, after: &Pool) -> f64 {
    let mut moved = 0;
    for sample in 0..SAMPLES {
        let flow = flow::Id(hash::mix(SEED, sample));
        if before.candidates(flow, 1) != after.candidates(flow, 1) {
            moved += 1;
        }
    }
    f64::from(moved) / SAMPLES as f64
}

/// What `changes` touch.
pub fn touched(changes: &[Change], old: &View, new: &View) -> Touched {
    let mut touched = Touched::default();
    for change in changes {
        if let Some(target) = target(change) {
            let views = [old, new].into_iter();
            let known = views.filter_map(|view| view.targets.get(target));
            touched.domains.extend(known.map(|target| target.domain.clone()));
            touched.targets.insert(target.clone());
        }
        touched.domains.extend(domain(change).cloned());
    }
    touched
}

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
