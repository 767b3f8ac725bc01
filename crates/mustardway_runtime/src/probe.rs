//! Active health checks. Each target is checked by its owner alone.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use mustardway_gate::{Observation, Ownership};
use mustardway_types::target;

use crate::node::Node;

/// Time between two rounds of health checks.
const INTERVAL: Duration = Duration::from_secs(1);

/// Checks the owned targets forever and reports the results to their gates.
pub async fn run(node: Arc<Node>) {
    let mut failed: HashSet<target::Id> = HashSet::new();
    loop {
        tokio::time::sleep(INTERVAL).await;
        for (id, is_healthy) in check_targets(&node).await {
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

/// Checks all targets with an open gate on this instance, concurrently. Skips targets whose failure
/// domain is out, and all targets while this instance is fenced.
async fn check_targets(node: &Arc<Node>) -> HashMap<target::Id, bool> {
    let snapshot = node.snapshot();
    let mut checks = tokio::task::JoinSet::new();
    for id in active_targets(node) {
        let Some(target) = snapshot.target(&id) else { continue };
        if snapshot.is_out(&target.domain) || node.is_fenced() {
            continue;
        }
        let (node, endpoint) = (Arc::clone(node), target.endpoint);
        checks.spawn(async move {
            let is_healthy = node.upstream.is_healthy(&id, endpoint).await;
            (id, is_healthy)
        });
    }
    checks.join_all().await.into_iter().collect()
}

/// Returns the targets whose gate on this instance is not closed.
fn active_targets(node: &Node) -> Vec<target::Id> {
    let mut active = Vec::new();
    for (id, gate) in node.gates.read().iter() {
        if !matches!(gate.lock().ownership(), Ownership::Closed { .. }) {
            active.push(id.clone());
        }
    }
    active
}
