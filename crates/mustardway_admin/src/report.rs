//! Renders responses as tables or JSON text.

use mustardway_telemetry::{audit, label};
use serde::Serialize;

use crate::response;
use crate::table::Table;

/// Output format of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Text table for people.
    Table,
    /// Indented JSON for programs.
    Json,
}

/// A response that can be rendered as a table.
pub trait Report: Serialize {
    /// Returns the response as a table.
    fn table(&self) -> Table;
}

/// Renders a response in the given format.
pub fn render(report: &impl Report, format: Format) -> String {
    match format {
        Format::Table => report.table().to_string(),
        // Responses are plain data, so serialisation cannot fail.
        Format::Json => serde_json::to_string_pretty(report).unwrap_or_default() + "\n",
    }
}

/// Returns the value as text, or `-` for `None`.
fn or_dash<T: ToString>(value: Option<&T>) -> String {
    value.map_or_else(|| "-".to_owned(), ToString::to_string)
}

impl Report for response::Status {
    fn table(&self) -> Table {
        let mut table = Table::new(&["what", "value"]);
        let mut row = |what: &str, value: String| table.row([what.to_owned(), value]);
        row("instance", self.id.to_string());
        row("failure domain", self.domain.to_string());
        row("state", label::of(self.state));
        row("up", format!("{:.0}s", self.up.as_seconds()));
        row("revision", self.revision.to_string());
        row("digest", self.digest.to_string());
        row("live peers", self.peers.to_string());
        row("targets owned", self.targets_owned.to_string());
        row("flows", self.flows.to_string());
        row("running", self.running.to_string());
        row("queued", self.queued.to_string());
        row("platform calls", self.platform_calls.to_string());
        table
    }
}

impl Report for response::Ready {
    fn table(&self) -> Table {
        let mut table = Table::new(&["ready", "reason"]);
        table.row([self.ready.to_string(), or_dash(self.reason.as_ref())]);
        table
    }
}

impl Report for response::Targets {
    fn table(&self) -> Table {
        let mut table = Table::new(&[
            "target", "service", "domain", "endpoint", "owner", "state", "running", "queued",
            "flows",
        ]);
        for target in &self.targets {
            let load = target.load.as_ref();
            table.row([
                target.id.to_string(),
                target.service.to_string(),
                target.domain.to_string(),
                target.endpoint.to_string(),
                or_dash(target.owner.as_ref()),
                or_dash(load.map(|load| &load.state)),
                load.map_or_else(|| "-".into(), |load| format!("{}/{}", load.running, load.slots)),
                or_dash(load.map(|load| &load.queued)),
                or_dash(load.map(|load| &load.flows)),
            ]);
        }
        table
    }
}

impl Report for response::Flows {
    fn table(&self) -> Table {
        let mut table = Table::new(&["flow", "address", "target", "idle"]);
        for flow in &self.shown {
            table.row([
                flow.id.to_string(),
                flow.address.to_string(),
                flow.target.to_string(),
                format!("{:.1}s", flow.idle.as_seconds()),
            ]);
        }
        table
    }
}

impl Report for response::Peers {
    fn table(&self) -> Table {
        let mut table =
            Table::new(&["instance", "domain", "address", "state", "heard", "revision"]);
        for peer in &self.peers {
            let heard = peer.heard.map(|heard| format!("{:.1}s", heard.as_seconds()));
            table.row([
                peer.id.to_string(),
                peer.domain.to_string(),
                peer.address.to_string(),
                peer.state.to_string(),
                or_dash(heard.as_ref()),
                peer.revision.to_string(),
            ]);
        }
        table
    }
}

impl Report for response::Audit {
    fn table(&self) -> Table {
        let mut table =
            Table::new(&["revision", "digest", "adopted at", "in force after", "change"]);
        for change in &self.changes {
            add_change(&mut table, change);
        }
        for record in &self.records {
            let audit::Event::Refused { revision, errors } = &record.event else {
                continue;
            };
            for error in errors {
                let none = || "-".to_owned();
                let text = format!("refused at {}: {error}", record.at);
                table.row([revision.to_string(), none(), none(), none(), text]);
            }
        }
        table
    }
}

/// Adds the rows of one revision: one for each file, then one for each change. Only
/// the first row shows the revision, its digest and its times.
fn add_change(table: &mut Table, change: &audit::Change) {
    let mut lines: Vec<String> = change.files.iter().map(file_line).collect();
    lines.extend(change.changes.iter().map(ToString::to_string));
    if lines.is_empty() {
        lines.push("-".to_owned());
    }
    let in_force = change.in_force_at.map(|at| {
        let micros = at.0.saturating_sub(change.adopted_at.0);
        format!("{:.3}s", micros as f64 / 1e6)
    });
    for (index, line) in lines.into_iter().enumerate() {
        let first = |text: String| if index == 0 { text } else { String::new() };
        table.row([
            first(change.revision.to_string()),
            first(change.digest.to_string()),
            first(change.adopted_at.to_string()),
            first(or_dash(in_force.as_ref())),
            line,
        ]);
    }
}

fn file_line(file: &audit::File) -> String {
    let verb = match (&file.before, &file.after) {
        (None, _) => "added",
        (Some(_), Some(_)) => "replaced",
        (Some(_), None) => "removed",
    };
    format!("file {} {verb}", file.name)
}

impl Report for response::Promises {
    fn table(&self) -> Table {
        let mut table = Table::new(&["promise", "decided", "violated", "unknown"]);
        for count in &self.promises {
            table.row([
                count.promise.to_string(),
                count.decided.to_string(),
                count.violated.to_string(),
                count.unknown.to_string(),
            ]);
        }
        table
    }
}

impl Report for response::Explanation {
    fn table(&self) -> Table {
        let mut table = Table::new(&["what", "value"]);
        let mut row = |what: &str, value: String| table.row([what.to_owned(), value]);
        row("flow", self.flow.to_string());
        row("address", self.address.to_string());
        row("service", or_dash(self.service.as_ref()));
        row("target", or_dash(self.target.as_ref()));
        row("owner", or_dash(self.owner.as_ref()));
        for step in &self.steps {
            row("step", step.to_string());
        }
        table
    }
}

impl Report for response::Command {
    fn table(&self) -> Table {
        let mut table = Table::new(&["state"]);
        table.row([label::of(self.state)]);
        table
    }
}
