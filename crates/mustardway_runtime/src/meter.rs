//! The metrics of one instance, sent every few seconds.
//!
//! Levels are sent as they are. Of what only grows, the growth since the last
//! time is sent, and nothing where there is none.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use mustardway_admin::handler::Handler;
use mustardway_peer::frame;
use mustardway_telemetry::label;
use mustardway_telemetry::metrics::{Metrics, Name, Tag, name};
use parking_lot::Mutex;

use crate::desk::Counter;
use crate::message::Kind;
use crate::node::frame_kind;

/// Time between two rounds.
pub const INTERVAL: Duration = Duration::from_secs(2);

/// What was told of everything that only grows.
#[derive(Debug, Default)]
struct Totals(HashMap<Series, u64>);

/// One metric with its tags.
#[derive(Debug, PartialEq, Eq, Hash)]
struct Series {
    name: &'static str,
    tag: CompactString,
}

impl Totals {
    /// Growth of `series` to `total` since the last time.
    fn growth(&mut self, series: Series, total: u64) -> u64 {
        let last = self.0.insert(series, total).unwrap_or_default();
        total.saturating_sub(last)
    }
}

/// Reads an instance's tables and sends its metrics.
pub struct Meter {
    desk: Arc<Counter>,
    metrics: Metrics,
    totals: Totals,
}

impl Meter {
    /// A meter of the instance behind `desk`.
    pub fn new(desk: Arc<Counter>, metrics: Metrics) -> Self {
        Meter { desk, metrics, totals: Totals::default() }
    }

    /// Sends one round.
    pub fn send(&mut self) {
        self.levels();
        self.answers();
        self.revisions();
        self.peer_bytes();
        self.platform();
        self.violations();
        self.metrics.flush();
    }

    fn levels(&self) {
        let status = self.desk.status();
        let levels = [
            (name::FLOWS, status.flows),
            (name::TARGETS_OWNED, status.targets_owned),
            (name::QUEUED, status.queued),
            (name::REVISION, status.revision.0),
            (name::PEERS, status.peers),
        ];
        for (name, level) in levels {
            self.metrics.gauge(name, level, &[]);
        }
    }

    fn answers(&mut self) {
        for count in self.desk.node.answers.counts() {
            let (reason, kind) = (label::of(count.reason), label::of(count.kind));
            let kind = Tag { key: "kind", value: &kind };
            let reason = Tag { key: "reason", value: &reason };
            self.count(name::PACKETS, count.count, &[reason, kind]);
        }
    }

    fn revisions(&mut self) {
        let totals = self.desk.trail.totals();
        self.count(name::ADOPTED, totals.adopted, &[]);
        self.count(name::REFUSED, totals.refused, &[]);
    }

    fn peer_bytes(&mut self) {
        let node = Arc::clone(&self.desk.node);
        let Some(mesh) = node.mesh.get() else { return };
        let links = [
            ("hello".to_owned(), frame::Kind::HELLO),
            ("pulse".to_owned(), frame::Kind::PULSE),
            ("goodbye".to_owned(), frame::Kind::GOODBYE),
        ];
        let own = Kind::ALL.map(|kind| (format!("{kind:?}").to_lowercase(), frame_kind(kind)));
        for (text, kind) in links.into_iter().chain(own) {
            let tag = [Tag { key: "kind", value: &text }];
            self.count(name::PEER_SENT, mesh.counters().sent(kind).bytes, &tag);
            self.count(name::PEER_RECEIVED, mesh.counters().received(kind).bytes, &tag);
        }
    }

    fn platform(&mut self) {
        let (reads, failures) = {
            let report = self.desk.report.read();
            (report.reads, report.failures)
        };
        let answered = reads.saturating_sub(failures);
        for (outcome, total) in [("answered", answered), ("failed", failures)] {
            let tag = [Tag { key: "outcome", value: outcome }];
            self.count(name::PLATFORM_CALLS, total, &tag);
        }
    }

    fn violations(&mut self) {
        for count in self.desk.promises.counts() {
            let promise = label::of(count.promise);
            let tag = [Tag { key: "promise", value: &promise }];
            self.count(name::VIOLATIONS, count.violated, &tag);
        }
    }

    /// Sends the growth to `total`, told apart by the first tag.
    fn count(&mut self, name: Name, total: u64, tags: &[Tag<'_>]) {
        let tag = tags.first().map_or("", |tag| tag.value).into();
        let growth = self.totals.growth(Series { name: name.text, tag }, total);
        if growth > 0 {
            self.metrics.count(name, growth, tags);
        }
    }
}

/// Sends a round every [`INTERVAL`], without end.
pub async fn run(meter: Arc<Mutex<Meter>>) {
    let mut ticks = tokio::time::interval(INTERVAL);
    loop {
        ticks.tick().await;
        meter.lock().send();
    }
}
