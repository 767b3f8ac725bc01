//! Health probes of targets by instances.

use mustardway_flow::health::Outcome;
use mustardway_types::time::Span;

use crate::arrival::{Arrival, Deadline};
use crate::network::Partition;
use crate::world::{Event, World};

/// Timeout of a probe. A probe without an answer by then is silent.
const PROBE_TIMEOUT: Span = Span::millis(100);
/// Total size of the packets of a connection with a health check, in each direction.
const PROBE_BYTES: usize = 400;

impl World {
    /// Sends a probe from an instance to a target and schedules its outcome. A probe whose
    /// answer arrives after the timeout is silent.
    pub(crate) fn send_probe(&mut self, host: usize, target: usize) {
        self.report.probes += 1;
        let now = self.now;
        let sent_at = self.hosts[host].outbound.send(PROBE_BYTES, now);
        let server = &self.servers[target];
        let (from, to) = (self.hosts[host].domain, server.domain);
        let round_trip = self.network.delay(from, to) + self.network.delay(from, to);
        let arrives = sent_at + round_trip;
        let deadline = now + PROBE_TIMEOUT;
        let outcome = match self.network.partition(from, to) {
            _ if arrives >= deadline => Outcome::Silent,
            Some(Partition::Refuses) => Outcome::Refused,
            Some(Partition::Silent) => Outcome::Silent,
            None if server.is_replaced => Outcome::Replaced,
            None if !server.alive && server.is_silent => Outcome::Silent,
            None if !server.alive => Outcome::Refused,
            None if self.strain.stands_still(target, deadline) => Outcome::Silent,
            None if !self.servers[target].accept_probe(now) => Outcome::Silent,
            None => Outcome::Alive,
        };
        let (incarnation, id) = (self.hosts[host].incarnation, self.servers[target].id.clone());
        let result = |outcome| {
            let id = id.clone();
            Event::ProbeResult { host, incarnation, id, outcome, deadline }
        };
        if outcome == Outcome::Silent {
            self.queue.add(deadline, result(Outcome::Silent));
            return;
        }
        let deadline = Some(Deadline { at: deadline, event: result(Outcome::Silent) });
        let arrival = Arrival { host, bytes: PROBE_BYTES, event: result(outcome), deadline };
        self.queue.add(arrives, Event::Arrival(Box::new(arrival)));
    }
}
