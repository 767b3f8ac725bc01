//! What is told of decisions: one log line each, bounded for each kind of
//! decision, and counters.

use std::sync::Arc;

use mustardway_flow::health::Outcome;
use mustardway_flow::note::{DropReason, Note};
use mustardway_telemetry::limit::Limiter;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{rate, target};
use slog::Logger;

use crate::metrics::Metrics;

/// Lines a second of each kind of decision; the rest is counted.
const LINES: rate::PerSecond = rate::PerSecond(20);
/// Lines a second of flows that were reset, the first that is looked for when a
/// caller complains.
const RESET_LINES: rate::PerSecond = rate::PerSecond(100);
/// Time between two lines of counters.
const INTERVAL: Span = Span::seconds(10);

/// Counts that the latest lines of counters told.
#[derive(Debug, Default)]
struct Told {
    forwarded: u64,
    malformed: u64,
    dropped: [u64; DropReason::ALL.len()],
}

/// What is told of decisions.
pub struct Report {
    logger: Logger,
    metrics: Arc<Metrics>,
    limiter: Limiter,
    resets: Limiter,
    told: Told,
    next: Instant,
}

impl Report {
    /// Logs to `logger` and counts in `metrics`.
    pub fn new(logger: Logger, metrics: Arc<Metrics>) -> Self {
        Report {
            logger,
            metrics,
            limiter: Limiter::new(LINES),
            resets: Limiter::new(RESET_LINES),
            told: Told::default(),
            next: Instant::default(),
        }
    }

    /// What is counted.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Logs the counters where they are due.
    pub fn tick(&mut self, now: Instant) {
        if now < self.next {
            return;
        }
        self.next = now + INTERVAL;
        let forwarded = grown(&mut self.told.forwarded, self.metrics.forwarded.get());
        let malformed = grown(&mut self.told.malformed, self.metrics.malformed.get());
        if forwarded > 0 || malformed > 0 {
            slog::info!(self.logger, "packets"; "forwarded" => forwarded, "malformed" => malformed);
        }
        for (reason, told) in DropReason::ALL.into_iter().zip(&mut self.told.dropped) {
            let count = grown(told, self.metrics.dropped(reason));
            if count > 0 {
                slog::info!(self.logger, "packets dropped"; "reason" => %reason, "count" => count);
            }
        }
    }

    /// Logs and counts a decision.
    pub fn note(&self, note: &Note, now: Instant) {
        self.metrics.note(note);
        let limiter = if matches!(note, Note::Reset { .. }) { &self.resets } else { &self.limiter };
        match limiter.admit(key(note), now) {
            Some(skipped) => self.log(note, skipped),
            None => {
                self.metrics.skipped.inc();
            }
        }
    }

    /// Logs and counts what a probe found.
    pub fn probed(&self, target: &target::Id, outcome: Outcome, now: Instant) {
        self.metrics.probe(outcome);
        match self.limiter.admit("probed", now) {
            Some(skipped) => slog::info!(self.logger, "target probed"; "target" => %target,
                "outcome" => %outcome, "skipped" => skipped),
            None => {
                self.metrics.skipped.inc();
            }
        }
    }

    fn log(&self, note: &Note, skipped: u64) {
        let log = &self.logger;
        match note {
            Note::Placed { flow, target, copies, waiting, age } => {
                slog::info!(log, "flow placed"; "flow" => %flow, "target" => %target,
                    "copies" => copies, "waiting" => waiting, "age" => show(*age),
                    "skipped" => skipped);
            }
            Note::Reset { flow, target, reason, age } => {
                let target = target.as_ref().map_or("", |target| target.as_str());
                slog::info!(log, "flow reset"; "flow" => %flow, "target" => target,
                    "reason" => %reason, "age" => show(*age), "skipped" => skipped);
            }
            Note::Doubted { target, flow } => {
                let flow = flow.map_or_else(String::new, |flow| flow.to_string());
                slog::info!(log, "target doubted"; "target" => %target, "flow" => flow,
                    "skipped" => skipped);
            }
            Note::Lost { target, flows } => {
                slog::warn!(log, "target lost"; "target" => %target, "flows" => flows,
                    "skipped" => skipped);
            }
            Note::Trusted { target } => {
                slog::info!(log, "target trusted"; "target" => %target, "skipped" => skipped);
            }
            Note::Configured { version, routes } => {
                slog::info!(log, "configuration in force"; "version" => version,
                    "routes" => routes, "skipped" => skipped);
            }
            Note::Registered { target, leaving } => {
                slog::info!(log, "target registered"; "target" => %target, "leaving" => leaving,
                    "skipped" => skipped);
            }
            Note::Unregistered { target } => {
                slog::info!(log, "target unregistered"; "target" => %target,
                    "skipped" => skipped);
            }
            Note::Useful { is_useful } => {
                slog::warn!(log, "demand against what can be placed"; "is_met" => is_useful,
                    "skipped" => skipped);
            }
            Note::Evacuated { domain, out } => {
                slog::info!(log, "failure domain evacuated"; "domain" => %domain, "out" => out,
                    "skipped" => skipped);
            }
        }
    }
}

/// By how much a counter has grown beyond what was `told`, which it then equals.
fn grown(told: &mut u64, count: u64) -> u64 {
    let more = count.saturating_sub(*told);
    *told = count;
    more
}

fn show(age: Option<Span>) -> String {
    age.map_or_else(|| "unknown".to_string(), |age| format!("{}ms", age.as_millis()))
}

fn key(note: &Note) -> &'static str {
    match note {
        Note::Placed { .. } => "placed",
        Note::Reset { .. } => "reset",
        Note::Doubted { .. } => "doubted",
        Note::Lost { .. } => "lost",
        Note::Trusted { .. } => "trusted",
        Note::Configured { .. } => "configured",
        Note::Registered { .. } => "registered",
        Note::Unregistered { .. } => "unregistered",
        Note::Useful { .. } => "useful",
        Note::Evacuated { .. } => "evacuated",
    }
}
