//! One consistent input for decisions: the view in force, the one before it
//! while it may still act elsewhere, and the live instances.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use mustardway_types::{address, domain, flow, instance, service, target};
use mustardway_view::model::{DomainState, Target, TargetState, View};

use crate::live::{Instance, Instances};
use crate::owner;
use crate::tree::{Member, Tree};

/// Seed that keeps flow ranks apart from other uses of the flow id.
const FLOW_SEED: u64 = 0xf10e;
/// Candidates that are looked at for a new flow before the rest are skipped.
const CANDIDATES_MAX: usize = 16;

/// The targets of one service, ready to pick from.
#[derive(Debug, Default)]
pub struct Pool {
    targets: Vec<target::Id>,
    all: Option<Tree>,
    open: Option<Tree>,
}

impl Pool {
    fn new(targets: &[(&target::Id, &Target)], view: &View) -> Self {
        let member = |(index, (id, target)): (usize, &(&target::Id, &Target))| Member {
            key: owner::key(id),
            weight: f64::from(target.weight),
            index: index as u32,
        };
        let all = targets.iter().enumerate().map(member).collect();
        let accepts_new_flows =
            |(_, (_, target)): &(usize, &(&target::Id, &Target))| accepts_new_flows(view, target);
        let open = targets.iter().enumerate().filter(accepts_new_flows).map(member).collect();
        Pool {
            targets: targets.iter().map(|(id, _)| (*id).clone()).collect(),
            all: Some(Tree::new(all)),
            open: Some(Tree::new(open)),
        }
    }

    /// Targets of the service.
    pub fn targets(&self) -> &[target::Id] {
        &self.targets
    }

    /// All targets in rank for `flow`, whatever their state, up to a bound.
    pub fn rank(&self, flow: flow::Id) -> Vec<&target::Id> {
        self.ranked(self.all.as_ref(), flow, CANDIDATES_MAX)
    }

    /// Targets that take new flows, in rank for `flow`, up to `wanted`.
    pub fn candidates(&self, flow: flow::Id, wanted: usize) -> Vec<&target::Id> {
        self.ranked(self.open.as_ref(), flow, wanted)
    }

    fn ranked(&self, tree: Option<&Tree>, flow: flow::Id, wanted: usize) -> Vec<&target::Id> {
        let Some(tree) = tree else { return Vec::new() };
        let indexes = tree.rank(flow.0 ^ FLOW_SEED, wanted);
        indexes.into_iter().map(|index| &self.targets[index as usize]).collect()
    }
}

/// Whether the configuration lets `target` take new flows.
pub fn accepts_new_flows(view: &View, target: &Target) -> bool {
    target.state == TargetState::Serving && is_domain_in_service(view, &target.domain)
}

/// Whether `domain` is in service.
pub fn is_domain_in_service(view: &View, domain: &domain::Name) -> bool {
    view.domains.get(domain).is_some_and(|domain| domain.state == DomainState::In)
}

/// The pools of all services of `view`.
pub fn pools(view: &View) -> BTreeMap<service::Name, Pool> {
    let mut targets: BTreeMap<&service::Name, Vec<(&target::Id, &Target)>> = BTreeMap::new();
    for (id, target) in &view.targets {
        targets.entry(&target.service).or_default().push((id, target));
    }
    let pool = |(name, targets): (&service::Name, Vec<(&target::Id, &Target)>)| {
        (name.clone(), Pool::new(&targets, view))
    };
    targets.into_iter().map(pool).collect()
}

/// A view with its pools.
#[derive(Debug)]
pub struct Plan {
    /// The view.
    pub view: Arc<View>,
    /// Its pools.
    pub pools: BTreeMap<service::Name, Pool>,
}

impl Plan {
    /// The plan of `view`.
    pub fn new(view: Arc<View>) -> Self {
        let pools = pools(&view);
        Plan { view, pools }
    }

    /// The pool behind `address`.
    pub fn pool(&self, address: &address::Address) -> Option<&Pool> {
        self.pools.get(self.view.addresses.get(address)?)
    }
}

/// What all decisions of one moment start from.
#[derive(Debug)]
pub struct Snapshot {
    /// This instance.
    pub me: instance::Id,
    /// The view in force, with its pools.
    pub plan: Option<Arc<Plan>>,
    /// The view before it, while instances may still act on it.
    pub previous: Option<Arc<Plan>>,
    /// Live instances.
    pub live: Instances,
    /// Addresses that have just changed their service.
    pub quarantined: BTreeSet<address::Address>,
    /// Services that addresses had before.
    pub earlier_services: BTreeMap<address::Address, Vec<service::Name>>,
    /// Failure domains that are or lately were out of reach.
    pub recently_unreachable: BTreeSet<domain::Name>,
    /// Failure domains that operators took out, now or lately.
    pub recently_out: BTreeSet<domain::Name>,
}

impl Snapshot {
    /// A snapshot of an instance that knows of nothing yet.
    pub fn empty(me: instance::Id) -> Self {
        Snapshot {
            me,
            plan: None,
            previous: None,
            live: Instances::default(),
            quarantined: BTreeSet::new(),
            earlier_services: BTreeMap::new(),
            recently_unreachable: BTreeSet::new(),
            recently_out: BTreeSet::new(),
        }
    }

    /// The target `id` in the view in force, or in the one before it.
    pub fn target(&self, id: &target::Id) -> Option<&Target> {
        let plans = [&self.plan, &self.previous];
        plans.into_iter().flatten().find_map(|plan| plan.view.targets.get(id))
    }

    /// Whether operators have taken out the failure domain `name`.
    pub fn is_out(&self, name: &domain::Name) -> bool {
        self.plan.as_ref().is_some_and(|plan| !is_domain_in_service(&plan.view, name))
    }

    /// The owner of `target`.
    pub fn owner(&self, id: &target::Id) -> Option<&Instance> {
        let target = self.target(id)?;
        owner::highest_ranked(owner::candidates(&self.live, &target.domain), owner::key(id))
    }

    /// The owner of `target` once all that are leaving have left.
    pub fn successor(&self, id: &target::Id) -> Option<&Instance> {
        let target = self.target(id)?;
        owner::successor(&self.live, &target.domain, owner::key(id))
    }

    /// Instances from first to last in rank for `target`.
    pub fn ranked_owners(&self, id: &target::Id) -> Vec<&Instance> {
        let Some(target) = self.target(id) else { return Vec::new() };
        owner::rank(owner::candidates(&self.live, &target.domain), owner::key(id))
    }

    /// Whether a request that may not be repeated could have run in a part of
    /// the system that this instance does not or lately did not hear.
    pub fn is_doubted(&self, address: &address::Address) -> bool {
        let Some(plan) = &self.plan else { return true };
        let Some(pool) = plan.pool(address) else { return false };
        let doubted = |id: &target::Id| {
            plan.view
                .targets
                .get(id)
                .is_some_and(|target| self.recently_unreachable.contains(&target.domain))
        };
        !self.recently_unreachable.is_empty() && pool.targets().iter().any(doubted)
    }
}
