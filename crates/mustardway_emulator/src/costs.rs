//! True costs of the targets, for a policy that knows what instances cannot see.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use crate::target::Stage;
use crate::world::World;

/// Weight of the work per slot of a target with free slots. Of targets that would all answer
/// at the same time, the one with the least work is best.
const LEVEL_WEIGHT: f64 = 0.1;

/// Expected times until an answer, by index of the target in the directory of an instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Costs(Arc<Mutex<BTreeMap<usize, f64>>>);

impl Costs {
    /// Returns the cost of a target. An unknown target has the highest.
    pub(crate) fn get(&self, index: usize) -> f64 {
        let costs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        costs.get(&index).copied().unwrap_or(f64::INFINITY)
    }
}

impl World {
    /// Updates the true costs of all targets for the policy of an instance.
    pub(crate) fn update_costs(&self, host: usize) {
        let instance = &self.hosts[host];
        let directory = instance.front.directory();
        let busy_shares = self.busy_shares();
        let mut costs = instance.costs.0.lock().unwrap_or_else(PoisonError::into_inner);
        costs.clear();
        for index in directory.indexes() {
            let Some(target) = directory.get(index) else { continue };
            let server = target.registration.key as usize - 1;
            let cost = self.cost(instance.domain, server, &busy_shares);
            costs.insert(index, cost);
        }
    }

    /// Returns the share of the flows kept open to each service that have a request in
    /// progress.
    fn busy_shares(&self) -> Vec<f64> {
        let mut shares = Vec::new();
        for service in 0..self.site.services.len() {
            let servers = self.servers.iter().filter(|server| server.service == service);
            let (mut busy, mut flows) = (0, 0);
            for (flow, state) in servers.flat_map(|server| &server.flows) {
                let class = self.flows[*flow as usize].class;
                if self.site.classes[class].is_persistent {
                    let is_busy = !matches!(state.request, Some((_, Stage::Answered)));
                    busy += u32::from(is_busy);
                    flows += 1;
                }
            }
            shares.push(f64::from(busy) / f64::from(flows.max(1)));
        }
        shares
    }

    /// Returns the expected time until a target answers a request from a failure domain, in
    /// mean service times of the target's service.
    fn cost(&self, domain: usize, target: usize, busy_shares: &[f64]) -> f64 {
        let server = &self.servers[target];
        let service = &self.site.services[server.service];
        let mut work = f64::from(server.running) + server.queue.len() as f64;
        for flow in server.flows.values() {
            match flow.request {
                // The first request of a new flow is on its way.
                None => work += 1.0,
                Some((_, Stage::Answered)) => work += busy_shares[server.service],
                Some(_) => {}
            }
        }
        let slots = f64::from(service.slots);
        let wait = (work + 1.0 - slots).max(0.0) / slots + LEVEL_WEIGHT * work / slots;
        let (mut rate, mut busy) = (0.0, 0.0);
        for class in &self.site.classes {
            if class.service == server.service {
                rate += class.rate;
                busy += class.rate * class.service_time.as_seconds();
            }
        }
        let distance = self.network.delay(domain, server.domain).as_seconds();
        (1.0 + wait) * server.slowdown / server.speed + distance * rate / busy
    }
}
