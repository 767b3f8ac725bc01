//! Counters, levels and latency histograms of one instance, served as text in
//! the `OpenMetrics` form.
//!
//! Counters start at zero with the process. Every name starts with
//! `mustardway_`, and a counter's ends with `_total`.

use std::sync::atomic::AtomicU64;

use bytes::Bytes;
use hyper::StatusCode;
use mustardway_flow::health::Outcome;
use mustardway_flow::note::{DropReason, Note, ResetReason, Wait};
use mustardway_mirror::node::Failure;
use mustardway_types::time::Span;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use crate::http::Answer;

/// Path at which the metrics are served.
pub const PATH: &str = "/metrics";
/// Upper edges of the histograms in seconds: from a round trip on one network to
/// the longest time limit of the users' requests (10 s).
const EDGES: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 10.0];

/// One label with its value.
type Label = [(&'static str, &'static str); 1];

/// Everything that one instance counts.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Packets sent on to targets.
    pub forwarded: Counter,
    /// Datagrams that are no packets.
    pub malformed: Counter,
    dropped: Family<Label, Counter>,
    placed: Counter,
    reset: Family<Label, Counter>,
    doubted: Counter,
    lost: Counter,
    trusted: Counter,
    probes: Family<Label, Counter>,
    platform: Family<Label, Counter>,
    platform_call: Histogram,
    open: Histogram,
    answer: Histogram,
    /// Times that the process did not run.
    pub pauses: Counter,
    /// Log lines left out since there were too many of their kind.
    pub skipped: Counter,
    /// Flows that are remembered.
    pub flows: Gauge,
    /// Live instances, this one among them.
    pub instances: Gauge,
    /// Version of the configuration in force.
    pub version: Gauge,
    /// Time since the platform confirmed the published state.
    pub age: Gauge<f64, AtomicU64>,
    /// 1 where the routers do well to send new flows here.
    pub ready: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Metrics {
            registry: Registry::with_prefix("mustardway"),
            forwarded: Counter::default(),
            malformed: Counter::default(),
            dropped: Family::default(),
            placed: Counter::default(),
            reset: Family::default(),
            doubted: Counter::default(),
            lost: Counter::default(),
            trusted: Counter::default(),
            probes: Family::default(),
            platform: Family::default(),
            platform_call: Histogram::new(EDGES),
            open: Histogram::new(EDGES),
            answer: Histogram::new(EDGES),
            pauses: Counter::default(),
            skipped: Counter::default(),
            flows: Gauge::default(),
            instances: Gauge::default(),
            version: Gauge::default(),
            age: Gauge::default(),
            ready: Gauge::default(),
        };
        metrics.registered()
    }
}

impl Metrics {
    fn registered(mut self) -> Self {
        self.register_packets();
        self.register_targets();
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
        registry.register("flows_placed", "New flows sent to a target", self.placed.clone());
        registry.register("flows_reset", "Flows reset, by reason", self.reset.clone());
        registry.register("flows_known", "Flows that are remembered", self.flows.clone());
        registry.register_with_unit(
            "flow_open",
            "From the opening packet until the caller showed that the flow is open",
            Unit::Seconds,
            self.open.clone(),
        );
        registry.register_with_unit(
            "request_answer",
            "From a request until the caller had the first part of its answer",
            Unit::Seconds,
            self.answer.clone(),
        );
    }

    fn register_targets(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "targets_doubted",
            "Times that a target was doubted",
            self.doubted.clone(),
        );
        registry.register("targets_lost", "Times that a target was found lost", self.lost.clone());
        registry.register(
            "targets_trusted",
            "Times that a target answered again",
            self.trusted.clone(),
        );
        registry.register("probes", "Probes of targets, by outcome", self.probes.clone());
    }

    fn register_instance(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "platform_calls",
            "Reads of the platform, by outcome",
            self.platform.clone(),
        );
        registry.register_with_unit(
            "platform_call",
            "Time of one read of the platform",
            Unit::Seconds,
            self.platform_call.clone(),
        );
        registry.register_with_unit(
            "published_age",
            "Time since the platform confirmed the published state",
            Unit::Seconds,
            self.age.clone(),
        );
        registry.register("configuration_version", "Configuration in force", self.version.clone());
        registry.register("instances_live", "Live instances, this one too", self.instances.clone());
        registry.register("ready", "1 where new flows are welcome", self.ready.clone());
        registry.register("pauses", "Times that the process did not run", self.pauses.clone());
        registry.register("log_lines_skipped", "Log lines left out", self.skipped.clone());
    }

    /// Counts a packet that was dropped.
    pub fn drop_packet(&self, reason: DropReason) {
        self.dropped.get_or_create(&[("reason", reason.label())]).inc();
    }

    /// Packets that were dropped for `reason`.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped.get_or_create(&[("reason", reason.label())]).get()
    }

    /// Counts a decision.
    pub fn note(&self, note: &Note) {
        match note {
            Note::Placed { .. } => {
                self.placed.inc();
            }
            Note::Reset { reason, .. } => self.reset_flow(*reason),
            Note::Doubted { .. } => {
                self.doubted.inc();
            }
            Note::Lost { .. } => {
                self.lost.inc();
            }
            Note::Trusted { .. } => {
                self.trusted.inc();
            }
            Note::Configured { version, .. } => {
                self.version.set(i64::try_from(*version).unwrap_or(i64::MAX));
            }
            Note::Registered { .. }
            | Note::Unregistered { .. }
            | Note::Useful { .. }
            | Note::Evacuated { .. } => {}
        }
    }

    fn reset_flow(&self, reason: ResetReason) {
        self.reset.get_or_create(&[("reason", reason.label())]).inc();
    }

    /// Counts a time that a caller waited.
    pub fn wait(&self, wait: Wait) {
        match wait {
            Wait::Open(span) => self.open.observe(span.as_seconds()),
            Wait::Answer(span) => self.answer.observe(span.as_seconds()),
        }
    }

    /// Counts a probe.
    pub fn probe(&self, outcome: Outcome) {
        self.probes.get_or_create(&[("outcome", outcome.label())]).inc();
    }

    /// Counts a read of the platform that took `span`.
    pub fn read<T>(&self, result: &Result<T, Failure>, span: Span) {
        let label = match result {
            Ok(_) => "answered",
            Err(Failure::Unreachable) => "unreachable",
            Err(Failure::Timeout) => "timeout",
            Err(Failure::Refused) => "refused",
            Err(Failure::Forgotten) => "forgotten",
            Err(Failure::Nonsense) => "nonsense",
        };
        self.platform.get_or_create(&[("outcome", label)]).inc();
        self.platform_call.observe(span.as_seconds());
    }

    /// The text that is served at `path`.
    pub fn answer(&self, path: &str) -> Answer {
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
