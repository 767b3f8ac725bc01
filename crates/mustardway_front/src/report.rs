//! Reports decisions: one log line for each decision, rate-limited for each kind, and
//! counters.

use std::sync::Arc;

use mustardway_flow::health::Outcome;
use mustardway_flow::note::{DropReason, Note};
use mustardway_mirror::usage::Pushed;
use mustardway_telemetry::limit::Limiter;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{rate, target};
use slog::Logger;

use crate::load::rounded;
use crate::metrics::Metrics;

/// Log lines per second of each kind of decision; the rest is only counted.
const LINES_PER_SECOND: rate::PerSecond = rate::PerSecond(20);
/// Log lines per second of reset flows. The limit is higher, since resets are what an
/// operator searches for first when a caller complains.
const RESET_LINES_PER_SECOND: rate::PerSecond = rate::PerSecond(100);
/// Delay of a timer tick from which it is logged: the shortest timeout by which an
/// instance judges targets (150 ms).
const TICK_DELAY_LOGGED_MIN: Span = Span::millis(150);
/// Interval of the log lines with counters.
const COUNTER_LOG_INTERVAL: Span = Span::seconds(10);

/// Counter values at the latest log lines with counters.
#[derive(Debug, Default)]
struct LoggedCounts {
    forwarded: u64,
    malformed: u64,
    dropped: [u64; DropReason::ALL.len()],
}

/// Logs and counts decisions.
pub struct Report {
    logger: Logger,
    metrics: Arc<Metrics>,
    limiter: Limiter,
    reset_limiter: Limiter,
    logged: LoggedCounts,
    next_counter_log: Instant,
}

impl Report {
    /// Creates a report that logs to `logger` and counts in `metrics`.
    pub fn new(logger: Logger, metrics: Arc<Metrics>) -> Self {
        Report {
            logger,
            metrics,
            limiter: Limiter::new(LINES_PER_SECOND),
            reset_limiter: Limiter::new(RESET_LINES_PER_SECOND),
            logged: LoggedCounts::default(),
            next_counter_log: Instant::default(),
        }
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Logs the counters that have increased, once per `COUNTER_LOG_INTERVAL`.
    pub fn tick(&mut self, now: Instant) {
        if now < self.next_counter_log {
            return;
        }
        self.next_counter_log = now + COUNTER_LOG_INTERVAL;
        let forwarded = increase(&mut self.logged.forwarded, self.metrics.forwarded.get());
        let malformed = increase(&mut self.logged.malformed, self.metrics.malformed.get());
        if forwarded > 0 || malformed > 0 {
            slog::info!(self.logger, "packets"; "forwarded" => forwarded, "malformed" => malformed);
        }
        for (reason, logged) in DropReason::ALL.into_iter().zip(&mut self.logged.dropped) {
            let count = increase(logged, self.metrics.dropped(reason));
            if count > 0 {
                slog::info!(self.logger, "packets dropped"; "reason" => %reason, "count" => count);
            }
        }
    }

    /// Counts a decision, and logs it unless its kind exceeds the rate limit.
    pub fn log_decision(&self, note: &Note, now: Instant) {
        self.metrics.count_decision(note);
        let limiter =
            if matches!(note, Note::Reset { .. }) { &self.reset_limiter } else { &self.limiter };
        match limiter.admit(limiter_key(note), now) {
            Some(skipped) => self.write(note, skipped),
            None => {
                self.metrics.log_lines_skipped.inc();
            }
        }
    }

    /// Records by how much a timer tick came late, and logs long delays.
    pub fn observe_tick_delay(&self, delay: Span, now: Instant) {
        self.metrics.tick_delay.observe(delay.as_seconds());
        if delay < TICK_DELAY_LOGGED_MIN {
            return;
        }
        match self.limiter.admit("late", now) {
            Some(skipped) => slog::warn!(self.logger, "the process ran late"; "by" => %delay,
                "skipped" => skipped),
            None => {
                self.metrics.log_lines_skipped.inc();
            }
        }
    }

    /// Counts a probe, and logs its outcome unless probes exceed the rate limit.
    pub fn log_probe(&self, target: &target::Id, outcome: Outcome, now: Instant) {
        self.metrics.count_probe(outcome);
        match self.limiter.admit("probed", now) {
            Some(skipped) => slog::info!(self.logger, "target probed"; "target" => %target,
                "outcome" => %outcome, "skipped" => skipped),
            None => {
                self.metrics.log_lines_skipped.inc();
            }
        }
    }

    /// Counts changes that a peer sent, and logs them unless they exceed the rate limit.
    pub fn log_push(&self, push: &Pushed, now: Instant) {
        self.metrics.count_push(push);
        match self.limiter.admit("pushed", now) {
            Some(skipped) => slog::info!(self.logger, "published changes received";
                "peer" => %push.from, "version" => %push.version, "bytes" => push.bytes,
                "use" => %push.usage, "skipped" => skipped),
            None => {
                self.metrics.log_lines_skipped.inc();
            }
        }
    }

    fn write(&self, note: &Note, skipped: u64) {
        let log = &self.logger;
        match note {
            Note::Placed { flow, target, copies, waiting, age } => {
                slog::info!(log, "flow placed"; "flow" => %flow, "target" => %target,
                    "copies" => copies, "waiting" => waiting, "age" => format_age(*age),
                    "skipped" => skipped);
            }
            Note::Contested { flow, target } => {
                slog::info!(log, "flow opened at one of several targets"; "flow" => %flow,
                    "target" => %target, "skipped" => skipped);
            }
            Note::Moved { flow, target, is_marked } => {
                slog::info!(log, "flow continued that opened elsewhere"; "flow" => %flow,
                    "target" => %target, "marked" => is_marked, "skipped" => skipped);
            }
            Note::Misdirected { flow, target, holder } => {
                slog::warn!(log, "packets of a flow were sent to another target than its holder";
                    "flow" => %flow, "target" => %target, "holder" => %holder, "skipped" => skipped);
            }
            Note::Reset { flow, target, reason, age } => {
                let target = target.as_ref().map_or("", |target| target.as_str());
                slog::info!(log, "flow reset"; "flow" => %flow, "target" => target,
                    "reason" => %reason, "age" => format_age(*age), "skipped" => skipped);
            }
            Note::Doubted { target, flow } => {
                let flow = flow.map_or_else(String::new, |flow| flow.to_string());
                slog::info!(log, "target doubted"; "target" => %target, "flow" => flow,
                    "skipped" => skipped);
            }
            Note::Lost { target, flows, evidence, answered_probe_age } => {
                slog::warn!(log, "target lost"; "target" => %target, "flows" => flows,
                    "unanswered" => evidence.unanswered, "failed_probes" => evidence.failed_probes,
                    "evidence_age" => format_age(Some(evidence.age)),
                    "answered_probe_age" => format_age(*answered_probe_age), "skipped" => skipped);
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
            Note::Reachable { domain, is_reachable } => {
                slog::warn!(log, "failure domain reachable"; "domain" => %domain,
                    "is_reachable" => is_reachable, "skipped" => skipped);
            }
            Note::Evacuated { domain, out } => {
                slog::info!(log, "failure domain evacuated"; "domain" => %domain, "out" => out,
                    "skipped" => skipped);
            }
            Note::Contention { service, change } => {
                slog::warn!(log, "service contended"; "service" => %service,
                    "state" => %change.state, "offered" => rounded(change.offered),
                    "slots" => rounded(change.slots), "skipped" => skipped);
            }
            Note::Slow { target, slowness, short_share } => {
                slog::info!(log, "target slow"; "target" => %target, "slowness" => rounded(*slowness),
                    "short_share" => rounded(*short_share), "skipped" => skipped);
            }
        }
    }
}

/// Returns the increase of a counter since `logged`, and sets `logged` to `count`.
fn increase(logged: &mut u64, count: u64) -> u64 {
    let difference = count.saturating_sub(*logged);
    *logged = count;
    difference
}

/// Formats the age of the published state for a log line.
fn format_age(age: Option<Span>) -> String {
    age.map_or_else(|| "unknown".to_string(), |age| format!("{}ms", age.as_millis()))
}

/// Returns the key under which the rate limiter counts a decision.
fn limiter_key(note: &Note) -> &'static str {
    match note {
        Note::Placed { .. } => "placed",
        Note::Contested { .. } => "contested",
        Note::Moved { .. } => "moved",
        Note::Misdirected { .. } => "misdirected",
        Note::Reset { .. } => "reset",
        Note::Doubted { .. } => "doubted",
        Note::Lost { .. } => "lost",
        Note::Trusted { .. } => "trusted",
        Note::Configured { .. } => "configured",
        Note::Registered { .. } => "registered",
        Note::Unregistered { .. } => "unregistered",
        Note::Useful { .. } => "useful",
        Note::Reachable { .. } => "reachable",
        Note::Evacuated { .. } => "evacuated",
        Note::Contention { .. } => "contention",
        Note::Slow { .. } => "slow",
    }
}
