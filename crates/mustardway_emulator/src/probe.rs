//! Probes of targets, from an instance and back.

use mustardway_flow::health::Outcome;
use mustardway_types::time::Span;

use crate::network::Barrier;
use crate::world::{Event, World};

/// Time after which a connection that is not answered counts as silent.
const PATIENCE: Span = Span::millis(100);
/// Bytes of the packets that a connection and a health check take.
const BYTES: usize = 400;

impl World {
    /// Sends a probe.
    pub(crate) fn send_probe(&mut self, host: usize, target: usize) {
        self.report.probes += 1;
        let now = self.now;
        let leaves = self.hosts[host].link.send(BYTES, now);
        let server = &self.servers[target];
        let (from, to) = (self.hosts[host].domain, server.domain);
        let round = self.network.delay(from, to) + self.network.delay(from, to);
        let arrives = leaves + round;
        let is_late = arrives.since(now) >= PATIENCE;
        let outcome = match self.network.barrier(from, to) {
            Some(Barrier::Refuses) => Outcome::Refused,
            Some(Barrier::Silent) => Outcome::Silent,
            None if server.is_replaced => Outcome::Replaced,
            None if !server.alive && server.is_dark => Outcome::Silent,
            None if !server.alive => Outcome::Refused,
            None if is_late || !self.servers[target].accept(now) => Outcome::Silent,
            None => Outcome::Alive,
        };
        let at = if outcome == Outcome::Silent { now + PATIENCE } else { arrives };
        let (life, id) = (self.hosts[host].life, self.servers[target].id.clone());
        self.queue.add(at, Event::Probed { host, life, id, outcome });
    }
}
