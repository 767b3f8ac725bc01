//! Counters, gauges and latency histograms of one instance, served in the
//! `OpenMetrics` text format.
//!
//! Counters start at zero when the process starts. The name of every metric starts
//! with `mustardway_`; that of a counter ends with `_total`.

use std::sync::atomic::AtomicU64;

use bytes::Bytes;
use hyper::StatusCode;
use mustardway_flow::health::Outcome;
use mustardway_flow::note::{DropReason, Note, ResetReason, Wait};
use mustardway_mirror::node::Failure;
use mustardway_mirror::usage::Pushed;
use mustardway_peer::counters::Counters;
use mustardway_types::time::Span;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use crate::http::Answer;
use crate::load_metrics;
use crate::peers::KIND_NAMES;

/// Path at which the metrics are served.
pub const PATH: &str = "/metrics";
/// Upper bounds of the histogram buckets in seconds: from a round trip on a local
/// network to the longest timeout of the customers' requests (10 s).
const BUCKETS_SECONDS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 10.0];

/// A label and its value.
type Label = [(&'static str, &'static str); 1];

/// The metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Packets forwarded to targets.
    pub forwarded: Counter,
    /// Datagrams that could not be decoded as packets.
    pub malformed: Counter,
    dropped: Family<Label, Counter>,
    flows_placed: Counter,
    flows_contested: Counter,
    flows_moved: Counter,
    flows_misdirected: Counter,
    flows_reset: Family<Label, Counter>,
    targets_doubted: Counter,
    targets_lost: Counter,
    targets_trusted: Counter,
    probes: Family<Label, Counter>,
    platform_calls: Family<Label, Counter>,
    platform_call_time: Histogram,
    flow_open_time: Histogram,
    request_answer_time: Histogram,
    pushes: Family<Label, Counter>,
    pushed_bytes: Family<Label, Counter>,
    peer_bytes_sent: Family<Label, Counter>,
    peer_bytes_received: Family<Label, Counter>,
    /// The load estimates and admission, served after [`Metrics::with_load`].
    pub load: load_metrics::Metrics,
    /// Pauses of the process.
    pub pauses: Counter,
    /// Delays of the timer ticks.
    pub(crate) tick_delay: Histogram,
    /// Log lines suppressed by a rate limit.
    pub log_lines_skipped: Counter,
    /// Flows in the flow table.
    pub flows: Gauge,
    /// Live instances, this one included.
    pub live_instances: Gauge,
    /// Version of the configuration in force.
    pub configuration_version: Gauge,
    /// Age of the published state: seconds since the platform confirmed it.
    pub published_age: Gauge<f64, AtomicU64>,
    /// Era of the published state: the number of times that the platform was restored
    /// from a copy.
    pub published_era: Gauge,
    /// 1 if the routers should send new flows to this instance, else 0.
    pub ready: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Metrics {
            registry: Registry::with_prefix("mustardway"),
            forwarded: Counter::default(),
            malformed: Counter::default(),
            dropped: Family::default(),
            flows_placed: Counter::default(),
            flows_contested: Counter::default(),
            flows_moved: Counter::default(),
            flows_misdirected: Counter::default(),
            flows_reset: Family::default(),
            targets_doubted: Counter::default(),
            targets_lost: Counter::default(),
            targets_trusted: Counter::default(),
            probes: Family::default(),
            platform_calls: Family::default(),
            platform_call_time: Histogram::new(BUCKETS_SECONDS),
            flow_open_time: Histogram::new(BUCKETS_SECONDS),
            request_answer_time: Histogram::new(BUCKETS_SECONDS),
            pushes: Family::default(),
            pushed_bytes: Family::default(),
            peer_bytes_sent: Family::default(),
            peer_bytes_received: Family::default(),
            load: load_metrics::Metrics::default(),
            pauses: Counter::default(),
            tick_delay: Histogram::new(BUCKETS_SECONDS),
            log_lines_skipped: Counter::default(),
            flows: Gauge::default(),
            live_instances: Gauge::default(),
            configuration_version: Gauge::default(),
            published_age: Gauge::default(),
            published_era: Gauge::default(),
            ready: Gauge::default(),
        };
        metrics.register_all()
    }
}

impl Metrics {
    /// Adds the metrics of the load.
    #[must_use]
    pub fn with_load(mut self) -> Self {
        self.load.register(&mut self.registry);
        self
    }

    fn register_all(mut self) -> Self {
        self.register_packets();
        self.register_targets();
        self.register_peers();
        self.register_instance();
        self
    }

    fn register_packets(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "packets_forwarded",
            "Packets sent on to targets",
            self.forwarded.clone(),
        );
        registry.register(
            "packets_malformed",
            "Datagrams that are no packets",
            self.malformed.clone(),
        );
        registry.register("packets_dropped", "Packets dropped, by reason", self.dropped.clone());
        registry.register("flows_placed", "New flows sent to a target", self.flows_placed.clone());
        registry.register(
            "flows_contested",
            "Flows that opened at one of several targets",
            self.flows_contested.clone(),
        );
        registry.register(
            "flows_moved",
            "Flows that were continued here and had opened elsewhere",
            self.flows_moved.clone(),
        );
        registry.register(
            "flows_misdirected",
            "Flows whose packets went to another target than the holder",
            self.flows_misdirected.clone(),
        );
        registry.register("flows_reset", "Flows reset, by reason", self.flows_reset.clone());
        registry.register("flows_known", "Flows that are remembered", self.flows.clone());
        registry.register_with_unit(
            "flow_open",
            "From the opening packet until the caller showed that the flow is open",
            Unit::Seconds,
            self.flow_open_time.clone(),
        );
        registry.register_with_unit(
            "request_answer",
            "From a request until the caller had the first part of its answer",
            Unit::Seconds,
            self.request_answer_time.clone(),
        );
    }

    fn register_targets(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "targets_doubted",
            "Times that a target was doubted",
            self.targets_doubted.clone(),
        );
        registry.register(
            "targets_lost",
            "Times that a target was found lost",
            self.targets_lost.clone(),
        );
        registry.register(
            "targets_trusted",
            "Times that a target answered again",
            self.targets_trusted.clone(),
        );
        registry.register("probes", "Probes of targets, by outcome", self.probes.clone());
    }

    fn register_peers(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "published_pushes",
            "Messages of peers with published changes, by use",
            self.pushes.clone(),
        );
        registry.register(
            "published_push_bytes",
            "Published changes that peers sent, by use",
            self.pushed_bytes.clone(),
        );
        registry.register(
            "peer_sent_bytes",
            "Messages sent to peers, by kind",
            self.peer_bytes_sent.clone(),
        );
        registry.register(
            "peer_received_bytes",
            "Messages received from peers, by kind",
            self.peer_bytes_received.clone(),
        );
    }

    fn register_instance(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "platform_calls",
            "Reads of the platform, by outcome",
            self.platform_calls.clone(),
        );
        registry.register_with_unit(
            "platform_call",
            "Time of one read of the platform",
            Unit::Seconds,
            self.platform_call_time.clone(),
        );
        registry.register_with_unit(
            "published_age",
            "Time since the platform confirmed the published state",
            Unit::Seconds,
            self.published_age.clone(),
        );
        registry.register(
            "published_era",
            "Times that the platform was restored from a copy",
            self.published_era.clone(),
        );
        registry.register(
            "configuration_version",
            "Configuration in force",
            self.configuration_version.clone(),
        );
        registry.register(
            "instances_live",
            "Live instances, this one too",
            self.live_instances.clone(),
        );
        registry.register("ready", "1 where new flows are welcome", self.ready.clone());
        registry.register("pauses", "Times that the process did not run", self.pauses.clone());
        registry.register_with_unit(
            "tick_delay",
            "Time by which a timer tick came late",
            Unit::Seconds,
            self.tick_delay.clone(),
        );
        registry.register(
            "log_lines_skipped",
            "Log lines left out",
            self.log_lines_skipped.clone(),
        );
    }

    /// Counts a dropped packet.
    pub fn count_dropped(&self, reason: DropReason) {
        self.dropped.get_or_create(&[("reason", reason.label())]).inc();
    }

    /// Returns the number of packets that were dropped for `reason`.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped.get_or_create(&[("reason", reason.label())]).get()
    }

    /// Updates the metrics that a decision affects.
    pub fn count_decision(&self, note: &Note) {
        match note {
            Note::Placed { .. } => {
                self.flows_placed.inc();
            }
            Note::Contested { .. } => {
                self.flows_contested.inc();
            }
            Note::Moved { .. } => {
                self.flows_moved.inc();
            }
            Note::Misdirected { .. } => {
                self.flows_misdirected.inc();
            }
            Note::Reset { reason, .. } => self.count_reset(*reason),
            Note::Doubted { .. } => {
                self.targets_doubted.inc();
            }
            Note::Lost { .. } => {
                self.targets_lost.inc();
            }
            Note::Trusted { .. } => {
                self.targets_trusted.inc();
            }
            Note::Configured { version, .. } => {
                self.configuration_version.set(i64::try_from(*version).unwrap_or(i64::MAX));
            }
            Note::Registered { .. }
            | Note::Unregistered { .. }
            | Note::Useful { .. }
            | Note::Reachable { .. }
            | Note::Evacuated { .. }
            | Note::Contention { .. }
            | Note::Slow { .. } => {}
        }
    }

    fn count_reset(&self, reason: ResetReason) {
        self.flows_reset.get_or_create(&[("reason", reason.label())]).inc();
    }

    /// Adds a time that a caller waited to its histogram.
    pub fn observe_wait(&self, wait: Wait) {
        match wait {
            Wait::Open(span) => self.flow_open_time.observe(span.as_seconds()),
            Wait::Answer(span) => self.request_answer_time.observe(span.as_seconds()),
        }
    }

    /// Counts a probe by its outcome.
    pub fn count_probe(&self, outcome: Outcome) {
        self.probes.get_or_create(&[("outcome", outcome.label())]).inc();
    }

    /// Counts changes that a peer sent.
    pub fn count_push(&self, push: &Pushed) {
        let label = [("use", push.usage.label())];
        self.pushes.get_or_create(&label).inc();
        self.pushed_bytes.get_or_create(&label).inc_by(push.bytes as u64);
    }

    /// Takes over the traffic with peers that `counters` have counted.
    pub fn count_peer_traffic(&self, counters: &Counters) {
        for (kind, name) in KIND_NAMES {
            let label = [("kind", name)];
            set_counter(&self.peer_bytes_sent.get_or_create(&label), counters.sent(kind).bytes);
            let received = counters.received(kind).bytes;
            set_counter(&self.peer_bytes_received.get_or_create(&label), received);
        }
    }

    /// Counts a read of the platform's store and adds its duration to the histogram.
    pub fn observe_platform_call<T>(&self, result: &Result<T, Failure>, span: Span) {
        let label = match result {
            Ok(_) => "answered",
            Err(Failure::Unreachable) => "unreachable",
            Err(Failure::Timeout) => "timeout",
            Err(Failure::Refused) => "refused",
            Err(Failure::Forgotten) => "forgotten",
            Err(Failure::TooLarge) => "too-large",
            Err(Failure::Nonsense) => "nonsense",
        };
        self.platform_calls.get_or_create(&[("outcome", label)]).inc();
        self.platform_call_time.observe(span.as_seconds());
    }

    /// Returns the answer to an HTTP request for `path`.
    pub fn respond(&self, path: &str) -> Answer {
        if path != PATH {
            return (StatusCode::NOT_FOUND, Bytes::new());
        }
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => (StatusCode::OK, text.into()),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into()),
        }
    }
}

/// Raises a counter to `total`.
pub(crate) fn set_counter(counter: &Counter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

/// Converts a count to the value of a gauge.
pub(crate) fn gauge_value(count: impl TryInto<i64>) -> i64 {
    count.try_into().unwrap_or(i64::MAX)
}
