//! Tracks the states of instances and failure domains, and builds the routing snapshot from them.

use std::collections::{BTreeMap, BTreeSet};

use mustardway_membership::member;
use mustardway_routing::live::{Instance, Instances};
use mustardway_routing::snapshot::Snapshot;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{address, domain, instance};
use mustardway_view::model::DomainState;

use super::Control;

/// Time for which a failure domain counts as recently unreachable after it was last unreachable,
/// and as contested after one of its instances was found dead.
const RECENT_FAILURE_TIME: Span = Span::seconds(60);
/// Time for which a failure domain that operators took out is remembered, so that flows that ended
/// with it are answered with that reason.
const OUT_DOMAIN_RETENTION: Span = Span::seconds(3_600);

impl Control {
    /// Updates the states of all instances, and returns the instances newly found dead. If a dead
    /// instance is live again, the history of all gates is marked incomplete.
    pub(super) fn update_instance_states(&mut self, now: Instant) -> BTreeSet<instance::Id> {
        let mut lost = BTreeSet::new();
        let mut states = BTreeMap::new();
        let mut healed = false;
        for record in self.membership.members() {
            let id = record.member.id.clone();
            let earlier = self.instance_states.get(&id).copied();
            if record.state == member::State::Dead && earlier.is_some_and(member::State::is_live) {
                lost.insert(id.clone());
            }
            healed |= earlier == Some(member::State::Dead) && record.state.is_live();
            if earlier != Some(record.state) {
                slog::info!(self.node.logger, "membership"; "instance" => %id,
                    "state" => ?record.state, "incarnation" => %record.member.incarnation);
            }
            states.insert(id, record.state);
        }
        self.instance_states = states;
        self.update_unreachable_domains(now);
        if healed {
            for gate in self.node.gates.read().values() {
                gate.lock().mark_history_incomplete(now);
            }
        }
        self.update_contested_domains(now);
        lost
    }

    /// Updates the contested failure domains: those in which an instance was recently found dead.
    /// That instance may be partitioned and still serve targets.
    fn update_contested_domains(&mut self, now: Instant) {
        let dead = |record: &&member::Record| {
            record.state == member::State::Dead && now.since(record.changed) <= RECENT_FAILURE_TIME
        };
        let domain = |record: &member::Record| record.member.domain.clone();
        self.contested_domains = self.membership.members().filter(dead).map(domain).collect();
        let snapshot = self.node.snapshot();
        for (id, gate) in self.node.gates.read().iter() {
            let Some(target) = snapshot.target(id) else { continue };
            gate.lock().set_contested(now, self.contested_domains.contains(&target.domain));
        }
    }

    /// Updates the failure domains that are or recently were unreachable: none of their instances
    /// is live.
    fn update_unreachable_domains(&mut self, now: Instant) {
        let mut known: BTreeMap<&domain::Name, bool> = BTreeMap::new();
        for record in self.membership.members() {
            if record.state == member::State::Left {
                continue;
            }
            *known.entry(&record.member.domain).or_default() |= record.state.is_live();
        }
        for (domain, is_heard) in known {
            if !is_heard {
                self.unreachable_domains.insert(domain.clone(), now);
            }
        }
        self.unreachable_domains.retain(|_, since| now.since(*since) <= RECENT_FAILURE_TIME);
    }

    /// Builds the routing snapshot from membership, the view in force and its history.
    pub(super) fn build_snapshot(&mut self, now: Instant) -> Snapshot {
        let mut live = Instances::default();
        for record in self.membership.live() {
            let member = &record.member;
            let instance = Instance::new(member.id.clone(), member.address, record.is_leaving());
            live.insert(member.domain.clone(), instance);
        }
        if self.history.previous(now).next().is_none() {
            self.previous_plan = None;
        }
        let quarantined: BTreeSet<address::Address> =
            self.history.quarantined(now).map(|(address, _)| address).collect();
        let mut earlier_services = BTreeMap::new();
        let addresses = self.plan.iter().flat_map(|plan| plan.view.addresses.keys());
        for address in addresses {
            let earlier: Vec<_> = self.history.earlier_services(*address).cloned().collect();
            if !earlier.is_empty() {
                earlier_services.insert(*address, earlier);
            }
        }
        Snapshot {
            me: self.node.me.clone(),
            plan: self.plan.clone(),
            previous: self.previous_plan.clone(),
            live,
            quarantined,
            earlier_services,
            recently_unreachable: self.unreachable_domains.keys().cloned().collect(),
            recently_out: self.recently_out(now),
        }
    }

    /// Returns the failure domains that operators have taken out, now or recently.
    fn recently_out(&mut self, now: Instant) -> BTreeSet<domain::Name> {
        let domains = self.plan.iter().flat_map(|plan| &plan.view.domains);
        for (name, domain) in domains {
            if domain.state == DomainState::Out {
                self.out_domains.insert(name.clone(), now);
            }
        }
        self.out_domains.retain(|_, seen| now.since(*seen) <= OUT_DOMAIN_RETENTION);
        self.out_domains.keys().cloned().collect()
    }
}
