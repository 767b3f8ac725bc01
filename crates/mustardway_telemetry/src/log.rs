//! The log stream, as JSON lines or in a terminal form, written by its own thread.
//!
//! Logging never waits. If lines are logged faster than they can be written, the excess
//! is dropped and the log reports how many lines were lost.

use std::fmt;
use std::io::{self, Write};
use std::str::FromStr;

use mustardway_types::parse;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use slog::{Drain, Logger, o};
use slog_async::{AsyncGuard, OverflowStrategy};

/// Maximum number of lines that are queued for writing.
const QUEUED_LINES_MAX: usize = 4_096;

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text for a terminal.
    Terminal,
}

impl fmt::Display for Form {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Form::Json => "json",
            Form::Terminal => "terminal",
        })
    }
}

impl FromStr for Form {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "json" => Ok(Form::Json),
            "terminal" => Ok(Form::Terminal),
            _ => Err(parse::Error::value(text, "log form: json or terminal")),
        }
    }
}

/// The severity of a log line, or the minimum severity of lines that are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// A failure that needs an operator to act.
    Error,
    /// A condition that may need an operator to act.
    Warning,
    /// A change of state.
    #[default]
    Info,
    /// Details for finding faults.
    Debug,
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Level::Error => "error",
            Level::Warning => "warning",
            Level::Info => "info",
            Level::Debug => "debug",
        })
    }
}

impl FromStr for Level {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "error" => Ok(Level::Error),
            "warning" => Ok(Level::Warning),
            "info" => Ok(Level::Info),
            "debug" => Ok(Level::Debug),
            _ => Err(parse::Error::value(text, "log level: error, warning, info or debug")),
        }
    }
}

impl From<Level> for slog::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => slog::Level::Error,
            Level::Warning => slog::Level::Warning,
            Level::Info => slog::Level::Info,
            Level::Debug => slog::Level::Debug,
        }
    }
}

/// Format and level of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// Format of log lines.
    pub form: Form,
    /// Minimum severity of lines that are written.
    pub level: Level,
}

/// A running log stream. Dropping it writes the queued lines and ends its thread.
pub struct Log {
    logger: Logger,
    /// Joins the writing thread when dropped.
    _guard: AsyncGuard,
}

impl Log {
    /// Starts a log stream to standard error.
    pub fn stderr(settings: Settings) -> Self {
        Log::start(settings, io::stderr())
    }

    /// Starts a log stream to `output`.
    pub fn start(settings: Settings, output: impl Write + Send + 'static) -> Self {
        match settings.form {
            Form::Json => Log::with_drain(settings, json_drain(output)),
            Form::Terminal => Log::with_drain(settings, terminal_drain(output)),
        }
    }

    /// Returns the logger of the stream; its clones share the stream.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    fn with_drain<D>(settings: Settings, drain: D) -> Self
    where
        D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
    {
        let (drain, guard) = slog_async::Async::new(drain)
            .chan_size(QUEUED_LINES_MAX)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .thread_name("log".into())
            .build_with_guard();
        let drain = drain.filter_level(settings.level.into()).fuse();
        Log { logger: Logger::root(drain, o!()), _guard: guard }
    }
}

/// Creates a drain for JSON lines. Write errors are ignored, since there is no other
/// place to report them.
fn json_drain(
    output: impl Write + Send + 'static,
) -> impl Drain<Err = slog::Never, Ok = ()> + Send + 'static {
    let drain = slog_json::Json::new(output).add_default_keys().set_flush(true).build();
    Locked(Mutex::new(drain)).ignore_res()
}

/// Creates a drain for the terminal form, also ignoring write errors.
fn terminal_drain(
    output: impl Write + Send + 'static,
) -> impl Drain<Err = slog::Never, Ok = ()> + Send + 'static {
    let decorator = slog_term::PlainDecorator::new(output);
    Locked(Mutex::new(slog_term::FullFormat::new(decorator).build())).ignore_res()
}

/// A drain that serialises access with a mutex.
struct Locked<D>(Mutex<D>);

impl<D: Drain> Drain for Locked<D> {
    type Ok = D::Ok;
    type Err = D::Err;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<Self::Ok, Self::Err> {
        self.0.lock().log(record, values)
    }
}
