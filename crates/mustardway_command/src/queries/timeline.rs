//! The query that reconstructs the course of a caller's flow from log files.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use mustardway_flow::note::ResetReason;
use serde_json::Value;

use super::log::{self, Line, field};
use crate::failure::Failure;

/// Log messages about an instance as a whole that may explain why a flow failed.
const INSTANCE_MESSAGES: [&str; 10] = [
    "started",
    "stopping",
    "stopped",
    "the process did not run",
    "the process ran late",
    "the platform does not answer",
    "the platform answers again",
    "failure domain evacuated",
    "demand against what can be placed",
    "changed settings are in force",
];
/// Log message about a change of the load of a service.
const CONTENTION: &str = "service contended";
/// Fields that are not printed: every line has them, or they add nothing to a timeline.
const HIDDEN_FIELDS: [&str; 5] = ["msg", "ts", "level", "skipped", "flow"];
/// Time before the first and after the last line of the flow within which lines about its
/// targets and instances are printed, too.
const WINDOW_SECONDS: f64 = 5.0;

/// Print what became of a caller's flow in the packet front, from log files of
/// its instances
#[derive(Debug, argh::FromArgs)]
#[argh(
    subcommand,
    name = "timeline",
    error_code(0, "the timeline is printed"),
    error_code(1, "no line tells of the flow, or a file cannot be read")
)]
pub struct Timeline {
    /// the caller's end of the flow, IP:PORT
    #[argh(positional)]
    caller: String,
    /// log files, one or more instances each; - is standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl Timeline {
    /// Reads the logs and prints the timeline.
    ///
    /// # Errors
    /// Fails if a file cannot be read or no line is about the flow.
    pub fn execute(self) -> Result<(), Failure> {
        let lines = log::read(&self.files)?;
        let selected = select(&lines, &self.caller);
        if selected.is_empty() {
            return Err(Failure::NoLines(self.caller));
        }
        for line in &selected {
            println!("{}", format_line(line));
        }
        println!("{}", conclusion(&selected, &self.caller));
        Ok(())
    }
}

/// Returns whether the line is about the caller's flow. The field `flow` starts with the
/// caller's address.
fn is_of_flow(line: &Line, caller: &str) -> bool {
    field(line, "flow").split('>').next() == Some(caller)
}

/// Returns whether the line tells that a full service refused a new flow.
fn is_refusal(line: &Line) -> bool {
    let refusals = [ResetReason::Overloaded, ResetReason::CallerShare];
    let reason = field(line, "reason");
    line.message == "flow reset" && refusals.iter().any(|refusal| refusal.to_string() == reason)
}

/// Returns the indexes of the lines that state the load of each service when its instance
/// refused the caller's flow: the latest change before the refusal, however old. A refusal
/// does not name its service, so the state of every service that was refusing is among them.
fn contention(lines: &[Line], caller: &str) -> BTreeSet<usize> {
    let mut latest: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    let mut found = BTreeSet::new();
    for (index, line) in lines.iter().enumerate() {
        if line.message == CONTENTION {
            latest.insert((&line.instance, field(line, "service")), index);
        }
        if !is_of_flow(line, caller) || !is_refusal(line) {
            continue;
        }
        for ((instance, _), index) in &latest {
            if *instance == line.instance && field(&lines[*index], "state") == "refusing" {
                found.insert(*index);
            }
        }
    }
    found
}

/// Selects the lines about the flow, about its targets, and about the instances that
/// logged the flow. A doubted target concerns every flow to it, so that message is
/// selected even if it names another flow.
fn select(lines: &[Line], caller: &str) -> Vec<Line> {
    let matching: Vec<&Line> = lines.iter().filter(|line| is_of_flow(line, caller)).collect();
    let (Some(first), Some(last)) = (matching.first(), matching.last()) else { return Vec::new() };
    let span = first.seconds - WINDOW_SECONDS..last.seconds + WINDOW_SECONDS;
    let contention = contention(lines, caller);
    let targets: BTreeSet<&str> = matching.iter().map(|line| field(line, "target")).collect();
    let instances: BTreeSet<&str> = matching.iter().map(|line| line.instance.as_str()).collect();
    let mut selected = Vec::new();
    for (index, line) in lines.iter().enumerate() {
        if contention.contains(&index) {
            selected.push(line.clone());
            continue;
        }
        let target = field(line, "target");
        let is_about_target = !target.is_empty() && targets.contains(target);
        let is_about_other_flow = !field(line, "flow").is_empty() && !is_of_flow(line, caller);
        let is_about_instance = INSTANCE_MESSAGES.contains(&line.message.as_str());
        let is_relevant = match is_of_flow(line, caller) {
            true => true,
            false if is_about_other_flow && line.message != "target doubted" => false,
            false => {
                is_about_target || (is_about_instance && instances.contains(line.instance.as_str()))
            }
        };
        if is_relevant && span.contains(&line.seconds) {
            selected.push(line.clone());
        }
    }
    selected
}

/// Returns the line as text: time, instance, message and the fields that are not hidden.
fn format_line(line: &Line) -> String {
    let mut text = format!("{} {} {}", line.time, line.instance, line.message);
    for (name, value) in &line.fields {
        if HIDDEN_FIELDS.contains(&name.as_str()) {
            continue;
        }
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        text.push_str(&format!(" {name}={value}"));
    }
    text
}

/// Returns a sentence on a refusal with the load of the services that were refusing then.
fn format_refusal(reset: &Line, lines: &[Line]) -> String {
    let mut text = format!(
        "the flow was refused by {} before any target had it: {}",
        reset.instance,
        field(reset, "reason")
    );
    let mut latest: BTreeMap<&str, &Line> = BTreeMap::new();
    for line in lines {
        let is_before = line.message == CONTENTION && line.seconds <= reset.seconds;
        if is_before && line.instance == reset.instance {
            latest.insert(field(line, "service"), line);
        }
    }
    latest.retain(|_, line| field(line, "state") == "refusing");
    for (service, line) in latest {
        let number = |name| line.fields.get(name).and_then(Value::as_f64).unwrap_or_default();
        text.push_str(&format!(
            "; {service} had been refusing since {} with {:.1} offered for {:.1} slots",
            line.time,
            number("offered"),
            number("slots")
        ));
    }
    text
}

/// Returns a sentence on the end of the flow as far as the lines show it.
fn conclusion(lines: &[Line], caller: &str) -> String {
    let matching: Vec<&Line> = lines.iter().filter(|line| is_of_flow(line, caller)).collect();
    let reset = matching.iter().rev().find(|line| line.message == "flow reset");
    if let Some(reset) = reset {
        let (reason, target) = (field(reset, "reason"), field(reset, "target"));
        if is_refusal(reset) {
            return format_refusal(reset, lines);
        }
        let suffix = if target.is_empty() { String::new() } else { format!(" ({target})") };
        return format!("the flow was reset by {}: {reason}{suffix}", reset.instance);
    }
    let target = matching.last().map(|line| field(line, "target")).unwrap_or_default();
    let lost =
        lines.iter().find(|line| line.message == "target lost" && field(line, "target") == target);
    match lost {
        Some(lost) => format!(
            "the flow was not reset; its target {target} was lost to {} at {}: a request that may \
            run once only is left to its target",
            lost.instance, lost.time
        ),
        None => format!("the flow was placed at {target}; no line tells of its end"),
    }
}
