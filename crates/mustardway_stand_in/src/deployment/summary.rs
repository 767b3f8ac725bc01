//! The result of a run as tables and JSON.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::audit::Audit;
use super::table::Table;
use crate::caller::report::{Counts, Latency};
use crate::target::ledger;

/// Results of one kind of request.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// Name of the kind of request.
    pub name: CompactString,
    /// Counts of requests by outcome.
    pub counts: Counts,
    /// Latencies of complete answers.
    pub latency: Latency,
}

/// Results of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Summary {
    /// One row for each kind of request, with a separate row for packets that only open flows.
    pub requests: Vec<Row>,
    /// One row for each target.
    pub targets: Vec<ledger::Summary>,
    /// Broken execution guarantees.
    pub audit: Audit,
    /// Time from readiness until every target had run a request; `None` when
    /// that did not happen before the timeout.
    pub reached_millis: Option<u64>,
    /// How the stopped instance ended; `None` when no instance was stopped.
    pub stopped: Option<Stop>,
}

/// Outcome of stopping an instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Stop {
    /// Name of the instance.
    pub instance: CompactString,
    /// Exit code; `None` when the instance did not end in time or was killed.
    pub code: Option<i32>,
}

impl Summary {
    /// Returns whether every request received its own answer, no execution
    /// guarantee was broken, no packet reached a target of another service, and a
    /// stopped instance exited with code 0.
    pub fn passed(&self) -> bool {
        let answered = self.requests.iter().all(|row| {
            let counts = &row.counts;
            counts.in_time + counts.late == counts.asked
        });
        let guarantees_kept = self.audit == Audit::default();
        let no_misrouting = self.targets.iter().all(|target| target.wrong_service == 0);
        let stopped = self.stopped.as_ref().is_none_or(|stop| stop.code == Some(0));
        answered && guarantees_kept && no_misrouting && stopped
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", request_table(&self.requests))?;
        writeln!(f, "{}", target_table(&self.targets))?;
        for row in &self.requests {
            for (reason, count) in &row.counts.reasons {
                writeln!(f, "{}: {count} ended with: {reason}", row.name)?;
            }
        }
        writeln!(f, "requests run twice that may run once: {}", self.audit.doubles)?;
        writeln!(f, "answers \"not run\" that were not true: {}", self.audit.false_not_run)?;
        if let Some(stop) = &self.stopped {
            let code = stop.code.map_or("none in time".to_owned(), |code| code.to_string());
            writeln!(f, "instance {} stopped, exit code: {code}", stop.instance)?;
        }
        match self.reached_millis {
            Some(millis) => writeln!(f, "every target had work {millis} ms after ready")?,
            None => writeln!(f, "some targets had no work before the run")?,
        }
        let verdict = if self.passed() { "yes" } else { "NO" };
        writeln!(f, "every request answered once: {verdict}")
    }
}

fn request_table(rows: &[Row]) -> Table {
    let mut table = Table::new(&[
        "requests",
        "asked",
        "in time",
        "late",
        "refused",
        "unknown",
        "ended",
        "wrong",
        "lost",
        "broken flows",
        "given up",
        "resent",
        "p50 ms",
        "p99 ms",
        "max ms",
    ]);
    for row in rows {
        let counts = &row.counts;
        let numbers = [
            counts.asked,
            counts.in_time,
            counts.late,
            counts.refused,
            counts.unknown,
            counts.flow_ended,
            counts.wrong + counts.bad,
            counts.lost,
            counts.broken_flows,
            counts.given_up_flows,
            counts.resent,
        ];
        let mut cells = vec![row.name.to_string()];
        cells.extend(numbers.iter().map(u64::to_string));
        let Latency { p50_micros, p99_micros, max_micros } = row.latency;
        cells.extend([p50_micros, p99_micros, max_micros].map(format_millis));
        table.add(cells);
    }
    table
}

fn target_table(rows: &[ledger::Summary]) -> Table {
    let mut table = Table::new(&[
        "targets",
        "packets",
        "runs",
        "flows",
        "in flight max",
        "overloads",
        "cold overloads",
        "falls",
        "doubles",
        "wrong service",
        "unknown flows",
    ]);
    for row in rows {
        let numbers = [
            row.packets,
            row.runs,
            row.flows,
            u64::from(row.in_flight_max),
            row.overloads,
            row.cold_overloads,
            row.falls,
            row.doubles,
            row.wrong_service,
            row.unknown_flows,
        ];
        let mut cells = vec![row.name.to_string()];
        cells.extend(numbers.iter().map(u64::to_string));
        table.add(cells);
    }
    table
}

fn format_millis(micros: u64) -> String {
    format!("{:.1}", micros as f64 / 1_000.0)
}
