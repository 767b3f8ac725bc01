//! The query that tells from log files which flows were lost or late, and why.
//!
//! A flow counts once: a reset goes before a late opening. A caller that sends a copy of its
//! opening packet has waited for the timeout of the earlier one, whose fate is the cause.
//!
//! Instances limit the rate of their log lines. A line tells how many like it were skipped: skipped
//! resets count with the reason of that line, and skipped placements are only counted as such,
//! since most of them are not late. Answers that are late without a copy or a reset are not in
//! the logs; the time that requests wait at targets is in the metrics.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use displaydoc::Display;
use mustardway_flow::note::ResetReason;
use serde::Serialize;
use serde_json::Value;

use super::log::{self, Line, field};
use crate::failure::Failure;

/// Longest time between a copy of an opening packet and the event that explains it.
const CAUSE_WINDOW_SECONDS: f64 = 5.0;

/// Print how many flows were lost or late in the packet front, and why, from log files of its
/// instances
#[derive(Debug, argh::FromArgs)]
#[argh(
    subcommand,
    name = "losses",
    error_code(0, "the losses are printed"),
    error_code(1, "a file cannot be read")
)]
pub struct Losses {
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// log files, one or more instances each; - is standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Why a flow was lost or late.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// reset: the service is full
    Refused,
    /// reset: its target no longer answers
    TargetLost,
    /// reset: no target of the route may take it
    NoTarget,
    /// reset: no route or target is known for it
    Unknown,
    /// late: an earlier target was suspected or lost
    DoubtedTarget,
    /// late: an earlier target did not answer
    SilentTarget,
    /// late: an instance was starting or did not run
    InstanceAway,
    /// late: no line tells why
    Unexplained,
}

/// The lost and late flows that log lines tell of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Account {
    /// Flows by second, route and cause.
    pub rows: Vec<Row>,
    /// Number of placements without a line. Late ones among them are missing.
    pub skipped_placements: u64,
}

/// Flows of one route and second with the same cause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// Seconds since the first line.
    pub second: u64,
    /// Address of the route.
    pub route: String,
    /// Why the flows were lost or late.
    pub cause: Cause,
    /// Number of flows, resets whose lines were skipped included.
    pub flows: u64,
}

impl Losses {
    /// Reads the logs and prints the losses.
    ///
    /// # Errors
    /// Fails if a file cannot be read.
    pub fn execute(self) -> Result<(), Failure> {
        let account = find_losses(&log::read(&self.files)?);
        if self.json {
            println!("{}", serde_json::json!(account));
            return Ok(());
        }
        println!("{:>6}  {:<21}  {:>6}  cause", "second", "route", "flows");
        let mut totals: BTreeMap<Cause, u64> = BTreeMap::new();
        for row in &account.rows {
            println!("{:>6}  {:<21}  {:>6}  {}", row.second, row.route, row.flows, row.cause);
            *totals.entry(row.cause).or_default() += row.flows;
        }
        for (cause, flows) in totals {
            println!("{:>6}  {:<21}  {flows:>6}  {cause}", "all", "all");
        }
        println!("placements without a line: {}", account.skipped_placements);
        Ok(())
    }
}

/// Returns the lost and late flows that `lines` tell of, which are in the order of their times.
pub fn find_losses(lines: &[Line]) -> Account {
    let Some(start) = lines.first().map(|line| line.seconds) else { return Account::default() };
    let events = Events::new(lines);
    let reset: BTreeSet<&str> =
        lines.iter().filter(|line| line.message == "flow reset").map(flow).collect();
    let mut skipped_placements = 0;
    let mut placed: BTreeMap<&str, &Line> = BTreeMap::new();
    let mut counted: BTreeSet<&str> = BTreeSet::new();
    let mut counts: BTreeMap<(u64, &str, Cause), u64> = BTreeMap::new();
    for line in lines {
        let flow = flow(line);
        let (cause, flows) = match line.message.as_str() {
            "flow reset" => (reset_cause(field(line, "reason")), 1 + number(line, "skipped")),
            "flow placed" => {
                skipped_placements += number(line, "skipped");
                let earlier = placed.insert(flow, line);
                if number(line, "copies") == 0 || reset.contains(flow) {
                    continue;
                }
                (events.late_cause(earlier, line), 1)
            }
            _ => continue,
        };
        if !counted.insert(flow) {
            continue;
        }
        let route = flow.split_once('>').map_or("", |(_, route)| route);
        let second = (line.seconds - start) as u64;
        *counts.entry((second, route, cause)).or_default() += flows;
    }
    let mut rows = Vec::with_capacity(counts.len());
    for ((second, route, cause), flows) in counts {
        rows.push(Row { second, route: route.to_owned(), cause, flows });
    }
    Account { rows, skipped_placements }
}

fn flow(line: &Line) -> &str {
    field(line, "flow")
}

fn number(line: &Line, name: &str) -> u64 {
    line.fields.get(name).and_then(Value::as_u64).unwrap_or_default()
}

fn reset_cause(reason: &str) -> Cause {
    match ResetReason::ALL.into_iter().find(|known| known.to_string() == reason) {
        Some(ResetReason::Overloaded | ResetReason::CallerShare) => Cause::Refused,
        Some(ResetReason::TargetLost) => Cause::TargetLost,
        Some(ResetReason::NoTarget) => Cause::NoTarget,
        Some(ResetReason::NoRoute | ResetReason::RouteRemoved | ResetReason::UnknownToken)
        | None => Cause::Unknown,
    }
}

/// Times of events that explain why an opening packet was not answered, in order.
#[derive(Debug, Default)]
struct Events<'a> {
    /// Times at which each target was suspected or lost.
    doubts: BTreeMap<&'a str, Vec<f64>>,
    /// Starts and pauses of instances.
    absences: Vec<f64>,
}

impl<'a> Events<'a> {
    fn new(lines: &'a [Line]) -> Self {
        let mut events = Events::default();
        for line in lines {
            match line.message.as_str() {
                "target doubted" | "target lost" => {
                    events.doubts.entry(field(line, "target")).or_default().push(line.seconds);
                }
                "started" | "stopping" | "the process did not run" => {
                    events.absences.push(line.seconds);
                }
                _ => {}
            }
        }
        events
    }

    /// Returns why the copy of an opening packet in `line` was needed. `earlier` placed an earlier
    /// copy.
    fn late_cause(&self, earlier: Option<&Line>, line: &Line) -> Cause {
        let Some(earlier) = earlier else {
            let is_away = is_any_near(&self.absences, line.seconds);
            return if is_away { Cause::InstanceAway } else { Cause::Unexplained };
        };
        let doubts = self.doubts.get(field(earlier, "target"));
        let is_doubted = doubts.is_some_and(|times| is_any_near(times, line.seconds));
        if is_doubted { Cause::DoubtedTarget } else { Cause::SilentTarget }
    }
}

/// Returns whether one of `times`, which are in order, is near `seconds`.
fn is_any_near(times: &[f64], seconds: f64) -> bool {
    let first = times.partition_point(|at| *at < seconds - CAUSE_WINDOW_SECONDS);
    times.get(first).is_some_and(|at| *at <= seconds + CAUSE_WINDOW_SECONDS)
}
