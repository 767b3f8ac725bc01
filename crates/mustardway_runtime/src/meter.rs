//! The metrics of one instance, sent to StatsD periodically.
//!
//! Gauges are sent with their current value. Counters are sent as the increase since the last
//! round, and are left out if they have not changed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use mustardway_admin::handler::Handler as _;
use mustardway_peer::frame;
use mustardway_telemetry::label;
use mustardway_telemetry::metrics::{Metrics, Name, Tag, name};
use parking_lot::Mutex;

use crate::admin::Handler;
use crate::message::Kind;
use crate::node::frame_kind;

/// Time between two rounds of metrics.
pub const INTERVAL: Duration = Duration::from_secs(2);

/// The last total sent of every counter.
#[derive(Debug, Default)]
struct SentTotals(HashMap<Series, u64>);

/// A metric with the value of its first tag.
#[derive(Debug, PartialEq, Eq, Hash)]
struct Series {
    name: &'static str,
    tag: CompactString,
}

impl SentTotals {
    /// Stores the new total of `series` and returns its increase since the last call.
    fn growth(&mut self, series: Series, total: u64) -> u64 {
        let last = self.0.insert(series, total).unwrap_or_default();
        total.saturating_sub(last)
    }
}

/// Collects the metrics of an instance and sends them.
pub struct Meter {
    admin: Arc<Handler>,
    metrics: Metrics,
    sent_totals: SentTotals,
}

impl Meter {
    /// Creates the meter of the instance that `admin` describes.
    pub fn new(admin: Arc<Handler>, metrics: Metrics) -> Self {
        Meter { admin, metrics, sent_totals: SentTotals::default() }
    }

    /// Sends one round of metrics.
    pub fn send(&mut self) {
        self.send_levels();
        self.send_answers();
        self.send_revisions();
        self.send_peer_bytes();
        self.send_platform_calls();
        self.send_violations();
        self.metrics.flush();
    }

    fn send_levels(&self) {
        let status = self.admin.status();
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

    fn send_answers(&mut self) {
        for count in self.admin.node.answers.counts() {
            let (reason, kind) = (label::of(count.reason), label::of(count.kind));
            let kind = Tag { key: "kind", value: &kind };
            let reason = Tag { key: "reason", value: &reason };
            self.send_growth(name::PACKETS, count.count, &[reason, kind]);
        }
    }

    fn send_revisions(&mut self) {
        let totals = self.admin.trail.totals();
        self.send_growth(name::ADOPTED, totals.adopted, &[]);
        self.send_growth(name::REFUSED, totals.refused, &[]);
    }

    fn send_peer_bytes(&mut self) {
        let node = Arc::clone(&self.admin.node);
        let Some(mesh) = node.mesh.get() else { return };
        let links = [
            ("hello".to_owned(), frame::Kind::HELLO),
            ("pulse".to_owned(), frame::Kind::KEEPALIVE),
            ("goodbye".to_owned(), frame::Kind::GOODBYE),
        ];
        let own = Kind::ALL.map(|kind| (format!("{kind:?}").to_lowercase(), frame_kind(kind)));
        for (text, kind) in links.into_iter().chain(own) {
            let tag = [Tag { key: "kind", value: &text }];
            self.send_growth(name::PEER_SENT, mesh.counters().sent(kind).bytes, &tag);
            self.send_growth(name::PEER_RECEIVED, mesh.counters().received(kind).bytes, &tag);
        }
    }

    fn send_platform_calls(&mut self) {
        let (reads, failures) = {
            let report = self.admin.report.read();
            (report.reads, report.failures)
        };
        let answered = reads.saturating_sub(failures);
        for (outcome, total) in [("answered", answered), ("failed", failures)] {
            let tag = [Tag { key: "outcome", value: outcome }];
            self.send_growth(name::PLATFORM_CALLS, total, &tag);
        }
    }

    fn send_violations(&mut self) {
        for count in self.admin.promises.counts() {
            let promise = label::of(count.promise);
            let tag = [Tag { key: "promise", value: &promise }];
            self.send_growth(name::VIOLATIONS, count.violated, &tag);
        }
    }

    /// Sends the increase of a counter to `total`. The metric's name and its first tag identify the
    /// counter.
    fn send_growth(&mut self, name: Name, total: u64, tags: &[Tag<'_>]) {
        let tag = tags.first().map_or("", |tag| tag.value).into();
        let growth = self.sent_totals.growth(Series { name: name.text, tag }, total);
        if growth > 0 {
            self.metrics.count(name, growth, tags);
        }
    }
}

/// Sends a round of metrics every [`INTERVAL`], forever.
pub async fn run(meter: Arc<Mutex<Meter>>) {
    let mut ticks = tokio::time::interval(INTERVAL);
    loop {
        ticks.tick().await;
        meter.lock().send();
    }
}
