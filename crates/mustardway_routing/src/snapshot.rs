//! One consistent input for routing decisions: the view in force, the previous
//! view while other instances may still use it, and the live instances.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use mustardway_types::{address, domain, flow, instance, service, target};
use mustardway_view::model::{DomainState, Target, TargetState, View};

use crate::live::{Instance, Instances};
use crate::owner;
use crate::tree::{Member, Tree};

/// Seed that makes the flow ranks independent of other hashes of the flow id.
const FLOW_SEED: u64 = 0xf10e;
/// Maximum number of targets that [`Pool::rank`] returns.
const RANKED_TARGETS_MAX: usize = 16;

/// The targets of one service, indexed for picks by flow.
#[derive(Debug, Default)]
pub struct Pool {
    targets: Vec<target::Id>,
    /// Tree over all targets.
    all: Option<Tree>,
    /// Tree over the targets that accept new flows.
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

    /// Returns all targets of the service.
    pub fn targets(&self) -> &[target::Id] {
        &self.targets
    }

    /// Returns the targets in rank order for `flow`, whatever their state, up to a
    /// fixed maximum.
    pub fn rank(&self, flow: flow::Id) -> Vec<&target::Id> {
        self.ranked(self.all.as_ref(), flow, RANKED_TARGETS_MAX)
    }

    /// Returns up to `wanted` targets that accept new flows, in rank order for
    /// `flow`.
    pub fn candidates(&self, flow: flow::Id, wanted: usize) -> Vec<&target::Id> {
        self.ranked(self.open.as_ref(), flow, wanted)
    }

    fn ranked(&self, tree: Option<&Tree>, flow: flow::Id, wanted: usize) -> Vec<&target::Id> {
        let Some(tree) = tree else { return Vec::new() };
        let indexes = tree.rank(flow.0 ^ FLOW_SEED, wanted);
        indexes.into_iter().map(|index| &self.targets[index as usize]).collect()
    }
}

/// Returns whether `target` accepts new flows according to the configuration.
pub fn accepts_new_flows(view: &View, target: &Target) -> bool {
    target.state == TargetState::Serving && is_domain_in_service(view, &target.domain)
}

/// Returns whether `domain` is in service according to the configuration.
pub fn is_domain_in_service(view: &View, domain: &domain::Name) -> bool {
    view.domains.get(domain).is_some_and(|domain| domain.state == DomainState::In)
}

/// Returns the pools of all services of `view`.
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

/// A view prepared for routing, with one target pool per service.
#[derive(Debug)]
pub struct Plan {
    /// The view.
    pub view: Arc<View>,
    /// The pool of each service of the view.
    pub pools: BTreeMap<service::Name, Pool>,
}

impl Plan {
    /// Creates the plan of `view`.
    pub fn new(view: Arc<View>) -> Self {
        let pools = pools(&view);
        Plan { view, pools }
    }

    /// Returns the pool of the service that has `address`.
    pub fn pool(&self, address: &address::Address) -> Option<&Pool> {
        self.pools.get(self.view.addresses.get(address)?)
    }
}

/// The input of all routing decisions at one point in time.
#[derive(Debug)]
pub struct Snapshot {
    /// Id of this instance.
    pub me: instance::Id,
    /// The plan of the view in force.
    pub plan: Option<Arc<Plan>>,
    /// The plan of the previous view while other instances may still use it.
    pub previous: Option<Arc<Plan>>,
    /// Live instances.
    pub live: Instances,
    /// Addresses that have just changed their service and accept no new flows yet.
    pub quarantined: BTreeSet<address::Address>,
    /// Services that each address had before.
    pub earlier_services: BTreeMap<address::Address, Vec<service::Name>>,
    /// Failure domains that are or recently were unreachable.
    pub recently_unreachable: BTreeSet<domain::Name>,
    /// Failure domains that operators have taken out of service, now or recently.
    pub recently_out: BTreeSet<domain::Name>,
}

impl Snapshot {
    /// Creates the snapshot of an instance that has neither a view nor peers.
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

    /// Returns the target `id` in the view in force, or else in the previous one.
    pub fn target(&self, id: &target::Id) -> Option<&Target> {
        let plans = [&self.plan, &self.previous];
        plans.into_iter().flatten().find_map(|plan| plan.view.targets.get(id))
    }

    /// Returns whether the failure domain `name` is out of service.
    pub fn is_out(&self, name: &domain::Name) -> bool {
        self.plan.as_ref().is_some_and(|plan| !is_domain_in_service(&plan.view, name))
    }

    /// Returns the owner of target `id`.
    pub fn owner(&self, id: &target::Id) -> Option<&Instance> {
        let target = self.target(id)?;
        owner::highest_ranked(owner::candidates(&self.live, &target.domain), owner::key(id))
    }

    /// Returns the owner that target `id` will have once all leaving instances have
    /// stopped.
    pub fn successor(&self, id: &target::Id) -> Option<&Instance> {
        let target = self.target(id)?;
        owner::successor(&self.live, &target.domain, owner::key(id))
    }

    /// Returns the candidate owners of target `id` in rank order, owner first.
    pub fn ranked_owners(&self, id: &target::Id) -> Vec<&Instance> {
        let Some(target) = self.target(id) else { return Vec::new() };
        owner::rank(owner::candidates(&self.live, &target.domain), owner::key(id))
    }

    /// Returns whether a target of `address` is in a failure domain that is or
    /// recently was unreachable.
    ///
    /// A request could have run there without this instance's knowledge, which
    /// matters for requests that may not be repeated. Also returns `true` while no
    /// view is in force.
    pub fn has_unreachable_target(&self, address: &address::Address) -> bool {
        let Some(plan) = &self.plan else { return true };
        let Some(pool) = plan.pool(address) else { return false };
        let is_unreachable = |id: &target::Id| {
            plan.view
                .targets
                .get(id)
                .is_some_and(|target| self.recently_unreachable.contains(&target.domain))
        };
        !self.recently_unreachable.is_empty() && pool.targets().iter().any(is_unreachable)
    }
}
