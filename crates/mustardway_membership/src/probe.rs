//! Probes of instances that are not on the live list: unknown ones that the
//! platform lists, and dead ones. The rate is limited for the whole fleet.

use std::net::SocketAddr;

use mustardway_types::instance;
use mustardway_types::time::{Instant, Span};
use rand::RngExt;

use crate::action::Action;
use crate::heartbeat::Kind;
use crate::member::State;
use crate::node::Node;

/// Instances probed at a time while this instance has no live peer.
const PROBES_WHEN_ALONE: usize = 4;
/// Probes per second to one instance from the whole fleet.
const FLEET_PROBES_PER_SECOND: u64 = 4;
/// Shortest and longest time between two probes, before the random variation of
/// 25 percent.
const INTERVAL_RANGE: (Span, Span) = (Span::seconds(1), Span::seconds(60));

impl Node {
    /// Probes a random candidate if a probe is due, or several while this instance
    /// has no live peer.
    pub(crate) fn probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.next_probe {
            return;
        }
        let mut candidates = self.candidates();
        let alone = self.table.live() <= 1;
        self.next_probe = now + self.probe_interval(alone, candidates.len());
        let count = if alone { PROBES_WHEN_ALONE } else { 1 };
        for _ in 0..count {
            if candidates.is_empty() {
                return;
            }
            let index = self.rng.random_range(0..candidates.len());
            let (id, address) = candidates.swap_remove(index);
            self.send_heartbeat_at(&id, address, Kind::Probe, now, actions);
        }
    }

    /// Brings the next probe forward if there are more candidates than when it was
    /// scheduled.
    pub(crate) fn bring_probe_forward(&mut self, now: Instant) {
        let alone = self.table.live() <= 1;
        let interval = self.probe_interval(alone, self.candidates().len());
        self.next_probe = self.next_probe.min(now + interval);
    }

    fn candidates(&self) -> Vec<(instance::Id, SocketAddr)> {
        let mut candidates = Vec::new();
        for (id, entry) in &self.roster {
            if self.table.get(id).is_some() || self.is_me(id) {
                continue;
            }
            candidates.push((id.clone(), entry.address));
        }
        for record in self.table.iter() {
            if record.state != State::Dead {
                continue;
            }
            let id = &record.member.id;
            let listed = self.roster.get(id).map(|entry| entry.address);
            candidates.push((id.clone(), listed.unwrap_or(record.member.address)));
        }
        candidates
    }

    fn probe_interval(&mut self, alone: bool, candidates: usize) -> Span {
        if alone {
            return self.settings.heartbeat;
        }
        let fleet = self.table.live() as u64 * 1_000_000;
        let (shortest, longest) = INTERVAL_RANGE;
        let share = fleet / (FLEET_PROBES_PER_SECOND * candidates.max(1) as u64);
        let interval = share.clamp(shortest.0, longest.0);
        Span(interval * self.rng.random_range(75..=125) / 100)
    }
}
