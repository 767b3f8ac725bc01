//! Log formats, levels and rate limits, and the audit trail in the log stream.
#![allow(clippy::unwrap_used)]

use std::io::{self, Write};
use std::sync::Arc;

use mustardway_telemetry::audit::{Event, Record, Time, Trail, verify};
use mustardway_telemetry::limit::Limiter;
use mustardway_telemetry::log::{Form, Level, Log, Settings};
use mustardway_types::rate::PerSecond;
use mustardway_types::revision;
use mustardway_types::time::{Instant, Span};
use parking_lot::Mutex;
use serde_json::Value;
use slog::{debug, info, warn};

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Output {
    fn lines(&self) -> Vec<String> {
        let bytes = self.0.lock();
        String::from_utf8_lossy(&bytes).lines().map(str::to_owned).collect()
    }
}

#[test]
fn json_form_writes_one_object_per_line() {
    let output = Output::default();
    let settings = Settings { form: Form::Json, level: Level::Info };
    let log = Log::start(settings, output.clone());
    info!(log.logger(), "a \"quoted\" line"; "count" => 3, "name" => "x\ny");
    debug!(log.logger(), "too fine");
    drop(log);
    let lines = output.lines();
    assert_eq!(lines.len(), 1);
    let line: Value = serde_json::from_str(&lines[0]).unwrap();
    assert_eq!(line["msg"], "a \"quoted\" line");
    assert_eq!(line["level"], "INFO");
    assert_eq!(line["count"], 3);
    assert_eq!(line["name"], "x\ny");
}

#[test]
fn terminal_form_writes_message_and_values() {
    let output = Output::default();
    let settings = Settings { form: Form::Terminal, level: Level::Warning };
    let log = Log::start(settings, output.clone());
    warn!(log.logger(), "something"; "count" => 3);
    info!(log.logger(), "too fine");
    drop(log);
    let lines = output.lines();
    assert_eq!(lines.len(), 1);
    assert!(lines[0].contains("something") && lines[0].contains("count: 3"), "{}", lines[0]);
}

#[test]
fn audit_records_reach_log_stream() {
    let output = Output::default();
    let log = Log::start(Settings::default(), output.clone());
    let trail = Trail::new(1, log.logger().clone());
    for number in 1..=3 {
        let errors = vec!["bad".into()];
        trail.write(Time(number), Event::Refused { revision: revision::Number(number), errors });
    }
    drop(trail);
    drop(log);
    let mut records: Vec<Record> = Vec::new();
    for line in output.lines() {
        let line: Value = serde_json::from_str(&line).unwrap();
        records.push(serde_json::from_str(line["record"].as_str().unwrap()).unwrap());
    }
    // The log holds the whole chain although the trail keeps one record in memory.
    assert_eq!(records.len(), 3);
    assert_eq!(verify(&records), Ok(()));
}

#[test]
fn forms_and_levels_parse_their_names() {
    for text in ["json", "terminal"] {
        assert_eq!(text.parse::<Form>().unwrap().to_string(), text);
    }
    for text in ["error", "warning", "info", "debug"] {
        assert_eq!(text.parse::<Level>().unwrap().to_string(), text);
    }
    assert!("JSON".parse::<Form>().is_err());
    assert!("all".parse::<Level>().is_err());
}

#[test]
fn limiter_reports_suppressed_lines() {
    let limiter = Limiter::new(PerSecond(2));
    let now = Instant(5_000_000);
    assert_eq!(limiter.admit("a", now), Some(0));
    assert_eq!(limiter.admit("a", now), Some(0));
    for _ in 0..7 {
        assert_eq!(limiter.admit("a", now + Span::millis(999)), None);
    }
    // Another key has its own limit.
    assert_eq!(limiter.admit("b", now), Some(0));
    assert_eq!(limiter.admit("a", now + Span::seconds(1)), Some(7));
    assert_eq!(limiter.admit("a", now + Span::seconds(1)), Some(0));
    assert_eq!(limiter.admit("a", now + Span::seconds(1)), None);
}
