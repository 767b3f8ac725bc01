//! Decides whether this instance may take packets, and logs what keeps it from that.

use displaydoc::Display;
use mustardway_gate::Ownership;
use mustardway_types::time::{Instant, Span};

use super::Control;

/// Shortest time between two log lines about an instance that is not ready.
const LOG_INTERVAL: Span = Span::seconds(1);

/// Condition that keeps an instance from taking packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Obstacle {
    /// no list of live instances agrees with a peer's yet
    Membership,
    /// the peers have not been heard yet
    Fence,
    /// no configuration is in force yet
    Configuration,
    /// the targets of the last change have no owners yet
    Reconciliation,
    /// {0} targets wait for the state of an earlier owner
    Gates(usize),
}

impl Control {
    /// Returns the first condition that keeps this instance from taking packets.
    pub(super) fn obstacle(&self, now: Instant) -> Option<Obstacle> {
        if self.membership.fenced(now) {
            return Some(Obstacle::Fence);
        }
        if !self.membership.ready(now) {
            return Some(Obstacle::Membership);
        }
        if !self.spread.is_ready(now) || self.plan.is_none() {
            return Some(Obstacle::Configuration);
        }
        if self.is_reconcile_due {
            return Some(Obstacle::Reconciliation);
        }
        let gates = self.node.gates.read();
        let is_pending = |ownership: &Ownership| matches!(ownership, Ownership::Pending { .. });
        let pending = gates.values().filter(|gate| is_pending(gate.lock().ownership())).count();
        (pending > 0).then_some(Obstacle::Gates(pending))
    }

    /// Logs the condition that keeps this instance from taking packets.
    pub(super) fn log_obstacle(&mut self, obstacle: Option<Obstacle>, now: Instant) {
        let Some(obstacle) = obstacle else { return };
        if self.obstacle_logged_at.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return;
        }
        self.obstacle_logged_at = Some(now);
        slog::info!(self.node.logger, "not ready"; "reason" => %obstacle);
    }
}
