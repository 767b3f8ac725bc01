//! Active health checks. Each target is checked by its owner alone.
//!
//! If this instance's own link is full, the answers of all targets are late. A silent
//! target is therefore checked again together with targets that may be owned by others,
//! the references. Its silence counts only if a reference answers meanwhile.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mustardway_gate::{Observation, Ownership};
use mustardway_types::target;

use crate::node::Node;
use crate::upstream::Health;

/// Time between two rounds of health checks.
const INTERVAL: Duration = Duration::from_secs(1);
/// Number of references. One of them may itself be unresponsive.
const REFERENCES: usize = 3;

/// Checks the owned targets forever and reports the results to their gates.
pub async fn run(node: Arc<Node>) {
    let mut failed: HashSet<target::Id> = HashSet::new();
    loop {
        tokio::time::sleep(INTERVAL).await;
        for (id, is_healthy) in check_owned(&node).await {
            let Some(gate) = node.gate(&id) else { continue };
            let now = node.clock.now();
            let mut gate = gate.lock();
            if !is_healthy {
                gate.observe(now, Observation::HealthFailed);
                failed.insert(id);
                continue;
            }
            gate.observe(now, Observation::HealthOk);
            if failed.remove(&id) {
                gate.observe(now, Observation::Reconnected);
            }
        }
    }
}

/// Checks the owned targets and returns whether they are healthy. Targets whose silence is
/// not conclusive are left out.
async fn check_owned(node: &Arc<Node>) -> HashMap<target::Id, bool> {
    let first = check_targets(node, owned_targets(node)).await;
    let mut silent = Vec::new();
    let mut results = HashMap::new();
    for (id, health) in first {
        match health {
            Health::Silent => silent.push(id),
            _ => {
                results.insert(id, health == Health::Serving);
            }
        }
    }
    if silent.is_empty() {
        return results;
    }
    let references = references(node, &silent);
    let mut targets = with_endpoints(node, &silent);
    targets.extend(references.iter().cloned());
    let second = check_targets(node, targets).await;
    let is_reference = |id: &target::Id| references.iter().any(|(reference, _)| reference == id);
    let is_conclusive = second.iter().any(|(id, health)| {
        is_reference(id) && *health != Health::Silent || *health == Health::Serving
    });
    for id in silent {
        let Some(health) = second.get(&id) else { continue };
        if *health == Health::Silent && !is_conclusive {
            continue;
        }
        results.insert(id, *health == Health::Serving);
    }
    results
}

/// Checks `targets` concurrently.
async fn check_targets(
    node: &Arc<Node>,
    targets: Vec<(target::Id, SocketAddr)>,
) -> HashMap<target::Id, Health> {
    let mut checks = tokio::task::JoinSet::new();
    for (id, endpoint) in targets {
        let node = Arc::clone(node);
        checks.spawn(async move {
            let health = node.upstream.check_health(&id, endpoint).await;
            (id, health)
        });
    }
    checks.join_all().await.into_iter().collect()
}

/// Returns the targets with an open gate on this instance. There are none while this
/// instance is fenced, and none in failure domains that are out.
fn owned_targets(node: &Node) -> Vec<(target::Id, SocketAddr)> {
    let mut owned = Vec::new();
    for (id, gate) in node.gates.read().iter() {
        if !matches!(gate.lock().ownership(), Ownership::Closed { .. }) {
            owned.push(id.clone());
        }
    }
    with_endpoints(node, &owned)
}

/// Returns the endpoints of the targets that may be checked.
fn with_endpoints(node: &Node, ids: &[target::Id]) -> Vec<(target::Id, SocketAddr)> {
    let snapshot = node.snapshot();
    let mut targets = Vec::new();
    for id in ids {
        let Some(target) = snapshot.target(id) else { continue };
        if snapshot.is_out(&target.domain) || node.is_fenced() {
            continue;
        }
        targets.push((id.clone(), target.endpoint));
    }
    targets
}

/// Returns a few targets other than `silent`, spread evenly over the configuration.
fn references(node: &Node, silent: &[target::Id]) -> Vec<(target::Id, SocketAddr)> {
    let snapshot = node.snapshot();
    let Some(plan) = &snapshot.plan else { return Vec::new() };
    let others: Vec<target::Id> =
        plan.view.targets.keys().filter(|id| !silent.contains(id)).cloned().collect();
    let step = others.len().div_ceil(REFERENCES).max(1);
    let chosen: Vec<target::Id> = others.into_iter().step_by(step).collect();
    with_endpoints(node, &chosen)
}
