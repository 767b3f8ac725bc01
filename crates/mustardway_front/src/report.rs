//! What is logged: one line a decision, bounded for each kind of decision.

use std::collections::BTreeMap;

use mustardway_flow::note::{Dropped, Note};
use mustardway_telemetry::limit::Limiter;
use mustardway_types::rate;
use mustardway_types::time::{Instant, Span};
use slog::Logger;

/// Lines a second of each kind of decision; the rest is counted.
const LINES: rate::PerSecond = rate::PerSecond(20);
/// Time between two lines of counters.
const INTERVAL: Span = Span::seconds(10);

/// What is logged.
pub struct Report {
    logger: Logger,
    limiter: Limiter,
    dropped: BTreeMap<Dropped, u64>,
    forwarded: u64,
    malformed: u64,
    next: Instant,
}

impl Report {
    /// Logs to `logger`.
    pub fn new(logger: Logger) -> Self {
        Report {
            logger,
            limiter: Limiter::new(LINES),
            dropped: BTreeMap::new(),
            forwarded: 0,
            malformed: 0,
            next: Instant::default(),
        }
    }

    /// Counts a packet that was sent on.
    pub fn forwarded(&mut self) {
        self.forwarded += 1;
    }

    /// Counts a datagram that is no packet.
    pub fn malformed(&mut self) {
        self.malformed += 1;
    }

    /// Counts a packet that was dropped.
    pub fn dropped(&mut self, reason: Dropped) {
        *self.dropped.entry(reason).or_default() += 1;
    }

    /// Logs the counters where they are due.
    pub fn tick(&mut self, now: Instant) {
        if now < self.next {
            return;
        }
        self.next = now + INTERVAL;
        let forwarded = std::mem::take(&mut self.forwarded);
        let malformed = std::mem::take(&mut self.malformed);
        if forwarded == 0 && malformed == 0 && self.dropped.is_empty() {
            return;
        }
        slog::info!(self.logger, "packets"; "forwarded" => forwarded, "malformed" => malformed);
        for (reason, count) in std::mem::take(&mut self.dropped) {
            slog::info!(self.logger, "packets dropped"; "reason" => %reason, "count" => count);
        }
    }

    /// Logs a decision.
    pub fn note(&self, note: &Note, now: Instant) {
        let Some(skipped) = self.limiter.admit(key(note), now) else { return };
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
                slog::warn!(log, "target lost"; "target" => %target, "flows" => flows);
            }
            Note::Trusted { target } => {
                slog::info!(log, "target trusted"; "target" => %target, "skipped" => skipped);
            }
            Note::Configured { version, routes } => {
                slog::info!(log, "configuration in force"; "version" => version,
                    "routes" => routes);
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
                slog::warn!(log, "demand against what can be placed"; "is_met" => is_useful);
            }
            Note::Evacuated { domain, out } => {
                slog::info!(log, "failure domain evacuated"; "domain" => %domain, "out" => out);
            }
        }
    }
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
