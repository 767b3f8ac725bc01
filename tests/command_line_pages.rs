//! Checks that the operations page lists every reason, setting and subcommand.
#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::Path;

use mustardway_telemetry::label;
use mustardway_types::answer::{Kind, TABLE};

fn read(path: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path)).unwrap()
}

/// Returns the text that the page has for the kind of an answer.
fn kind_text(kind: Kind) -> &'static str {
    match kind {
        Kind::Done => "done",
        Kind::Refused => "refused",
        Kind::GaveUp => "gave up",
        Kind::Unknown => "unknown",
        Kind::FlowEnded => "flow ended",
        Kind::BadRequest => "bad request",
    }
}

#[test]
fn each_reason() {
    let page = read("docs/OPERATIONS.md");
    for (reason, kind) in TABLE {
        let row = format!("\n| `{}` | {} | ", label::of(reason), kind_text(kind));
        assert!(page.contains(&row), "{row}");
    }
}

#[test]
fn each_setting() {
    let page = read("docs/OPERATIONS.md");
    let example = read("crates/mustardway_settings/examples/instance.ini");
    let mut keys = 0;
    for line in example.lines() {
        let Some((key, _)) = line.trim_start_matches("# ").split_once('=') else {
            continue;
        };
        keys += 1;
        assert!(page.contains(&format!("| `{}` |", key.trim())), "{key}");
    }
    assert!(keys >= 17, "{keys}");
}

#[test]
fn each_subcommand() {
    let page = read("docs/OPERATIONS.md");
    for name in [
        "run", "drain", "check", "diff", "status", "targets", "peers", "promises", "audit",
        "explain",
    ] {
        assert!(page.contains(&format!("`{name}")), "{name}");
    }
}
