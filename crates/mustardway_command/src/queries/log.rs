//! Reads the log lines of instances of the packet front.

use std::io::{self, Read};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::failure::Failure;

/// One log line with a JSON record.
#[derive(Debug, Clone)]
pub struct Line {
    /// Seconds since the start of the month, see [`month_seconds`]. Only differences matter.
    pub seconds: f64,
    /// Time as written in the line.
    pub time: String,
    /// Name of the instance.
    pub instance: String,
    /// Text of the message.
    pub message: String,
    /// The other fields of the record.
    pub fields: Map<String, Value>,
}

/// Reads the log lines of all files, in the order of their times.
///
/// # Errors
/// Fails if a file cannot be read.
pub fn read(files: &[PathBuf]) -> Result<Vec<Line>, Failure> {
    let mut lines = Vec::new();
    for file in files {
        read_file(file, &mut lines)?;
    }
    lines.sort_by(|one, other| one.seconds.total_cmp(&other.seconds));
    Ok(lines)
}

/// Adds the log lines of a file to `lines`.
fn read_file(file: &Path, lines: &mut Vec<Line>) -> Result<(), Failure> {
    let failed = |cause| Failure::Log { path: file.to_path_buf(), cause };
    let mut bytes = Vec::new();
    if file == Path::new("-") {
        io::stdin().read_to_end(&mut bytes).map_err(failed)?;
    } else {
        bytes = std::fs::read(file).map_err(failed)?;
    }
    let stem = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let text = String::from_utf8_lossy(&bytes);
    lines.extend(text.lines().filter_map(|line| parse(line, &stem)));
    Ok(())
}

/// Parses a line with a JSON record. The word before the record names the instance; if
/// there is none, the file name does. Returns `None` for all other lines.
fn parse(line: &str, file: &str) -> Option<Line> {
    let start = line.find('{')?;
    let record: Value = serde_json::from_str(&line[start..]).ok()?;
    let Value::Object(mut fields) = record else { return None };
    let text = |fields: &Map<String, Value>, name: &str| {
        fields.get(name).and_then(Value::as_str).unwrap_or_default().to_owned()
    };
    let (message, time) = (text(&fields, "msg"), text(&fields, "ts"));
    let prefix = line[..start].split_whitespace().next_back();
    let instance = prefix.unwrap_or(file).to_owned();
    fields.retain(|name, _| !["msg", "ts", "level"].contains(&name.as_str()));
    Some(Line { seconds: month_seconds(&time)?, time, instance, message, fields })
}

/// Returns the seconds from the start of the month to a time such as
/// `2026-03-09T00:57:39.765956166Z`.
fn month_seconds(time: &str) -> Option<f64> {
    let (date, clock) = time.split_once('T')?;
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    let mut seconds = day * 86_400.0;
    for (part, unit) in clock.trim_end_matches('Z').split(':').zip([3_600.0, 60.0, 1.0]) {
        seconds += part.parse::<f64>().ok()? * unit;
    }
    Some(seconds)
}

/// Returns a field of the line, or an empty text if it is missing or not a text.
pub fn field<'a>(line: &'a Line, name: &str) -> &'a str {
    line.fields.get(name).and_then(Value::as_str).unwrap_or_default()
}
