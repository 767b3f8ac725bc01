//! Metrics of the load estimates and of admission.
//!
//! They are served only where the settings use load estimates.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use mustardway_admission::controller::State;
use mustardway_flow::load::Load;
use mustardway_load::view::{TargetLoad, USUAL};
use mustardway_types::service;
use mustardway_types::time::Instant;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

use crate::load::reason_label;
use crate::metrics::{gauge_value, set_counter};

type Number = Gauge<f64, AtomicU64>;
type ByService<M> = Family<[(&'static str, String); 1], M>;
type ByReason<M> = Family<[(&'static str, String); 2], M>;
type ByWord<M> = Family<[(&'static str, &'static str); 1], M>;

/// Metrics of the load.
#[derive(Debug, Default)]
pub struct Metrics {
    reports: ByWord<Counter>,
    /// Messages of peers that were ignored, by cause.
    ignored: ByWord<Counter>,
    summary_age: Number,
    targets_slow: Gauge,
    spread: Number,
    slots: ByService<Number>,
    offered: ByService<Number>,
    refusing: ByService<Gauge>,
    flows_refused: ByReason<Counter>,
    /// Services whose gauges are set.
    services: Mutex<BTreeSet<service::Name>>,
}

impl Metrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        // Before the first summary its age is unknown, which must not look like a fresh one.
        self.summary_age.set(f64::INFINITY);
        registry.register("load_reports", "Messages with load estimates", self.reports.clone());
        registry.register(
            "load_reports_ignored",
            "Messages with load estimates that were ignored, by cause",
            self.ignored.clone(),
        );
        registry.register_with_unit(
            "load_summary_age",
            "Time since the latest summary of the load",
            Unit::Seconds,
            self.summary_age.clone(),
        );
        registry.register(
            "targets_slow",
            "Targets that are slower than usual or send short answers",
            self.targets_slow.clone(),
        );
        registry.register(
            "load_spread",
            "Ratio of the slowest to the fastest tenth of the targets",
            self.spread.clone(),
        );
        registry.register("service_slots", "Usable slots", self.slots.clone());
        registry.register("service_offered", "Load offered, in slots", self.offered.clone());
        registry.register(
            "service_refusing",
            "1 while the service is full and new flows are refused",
            self.refusing.clone(),
        );
        registry.register(
            "flows_refused",
            "New flows refused, by service and reason",
            self.flows_refused.clone(),
        );
    }

    /// Counts a message that could not be decoded.
    pub fn count_undecodable(&self) {
        self.ignored.get_or_create(&[("cause", "undecodable")]).inc();
    }

    /// Takes over the counts and estimates of `load`.
    pub fn update(&self, load: &Load, now: Instant) {
        let (view, counts) = (load.node().view(), load.node().counts());
        let reports = [("sent", counts.sent), ("received", counts.received)];
        for (direction, count) in reports {
            set_counter(&self.reports.get_or_create(&[("direction", direction)]), count);
        }
        set_counter(&self.ignored.get_or_create(&[("cause", "invalid")]), counts.ignored);
        if let Some(age) = view.age(now) {
            self.summary_age.set(age.as_seconds());
        }
        let is_slow = |load: &TargetLoad| load.slowness > USUAL || load.short_share > 0.0;
        let slow = view.targets().filter(|(_, load)| is_slow(load)).count();
        self.targets_slow.set(gauge_value(slow));
        self.spread.set(view.spread());
        for (service, reason, count) in load.refused() {
            let labels =
                [("service", service.to_string()), ("reason", reason_label(reason).into())];
            set_counter(&self.flows_refused.get_or_create(&labels), count);
        }
        self.update_services(load);
    }

    /// Sets the gauges of all services with known load, and removes those of the others.
    fn update_services(&self, load: &Load) {
        let mut known = BTreeSet::new();
        for (service, status) in load.controller().statuses() {
            let label = [("service", service.to_string())];
            self.slots.get_or_create(&label).set(status.slots);
            self.offered.get_or_create(&label).set(status.offered);
            let is_refusing = status.state == State::Refusing;
            self.refusing.get_or_create(&label).set(i64::from(is_refusing));
            known.insert(service.clone());
        }
        // The lock is held for no other purpose, so a panic cannot have poisoned it.
        let Ok(mut services) = self.services.lock() else { return };
        for service in services.difference(&known) {
            let label = [("service", service.to_string())];
            self.slots.remove(&label);
            self.offered.remove(&label);
            self.refusing.remove(&label);
        }
        *services = known;
    }
}
