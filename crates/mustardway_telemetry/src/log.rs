//! The log stream: JSON lines or a terminal form, written by a thread of its own.
//!
//! Logging never waits. Where lines come faster than they can be written they are
//! dropped, and the log says how many.

use std::fmt;
use std::io::{self, Write};
use std::str::FromStr;

use mustardway_types::parse;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use slog::{Drain, Logger, o};
use slog_async::{AsyncGuard, OverflowStrategy};

/// Lines that wait to be written, at most.
const LINES_WAITING_MAX: usize = 4_096;

/// How lines look.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// One JSON object a line.
    #[default]
    Json,
    /// For reading in a terminal.
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

/// The least severe lines that are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// What needs somebody to act.
    Error,
    /// What may need somebody to act.
    Warning,
    /// What changes.
    #[default]
    Info,
    /// What helps to find faults.
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

/// How to log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// How lines look.
    pub form: Form,
    /// The least severe lines that are written.
    pub level: Level,
}

/// A log that is being written. Dropped, it writes what waits and ends.
pub struct Log {
    logger: Logger,
    /// Joins the thread when dropped.
    _guard: AsyncGuard,
}

impl Log {
    /// Logs to standard error.
    pub fn stderr(settings: Settings) -> Self {
        Log::start(settings, io::stderr())
    }

    /// Logs to `output`.
    pub fn start(settings: Settings, output: impl Write + Send + 'static) -> Self {
        match settings.form {
            Form::Json => Log::drain(settings, json(output)),
            Form::Terminal => Log::drain(settings, terminal(output)),
        }
    }

    /// Where to log; clones share one stream.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    fn drain<D>(settings: Settings, drain: D) -> Self
    where
        D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
    {
        let (drain, guard) = slog_async::Async::new(drain)
            .chan_size(LINES_WAITING_MAX)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .thread_name("log".into())
            .build_with_guard();
        let drain = drain.filter_level(settings.level.into()).fuse();
        Log { logger: Logger::root(drain, o!()), _guard: guard }
    }
}

/// Lines that cannot be written are dropped: there is nowhere to say so.
fn json(
    output: impl Write + Send + 'static,
) -> impl Drain<Err = slog::Never, Ok = ()> + Send + 'static {
    let drain = slog_json::Json::new(output).add_default_keys().set_flush(true).build();
    Locked(Mutex::new(drain)).ignore_res()
}

fn terminal(
    output: impl Write + Send + 'static,
) -> impl Drain<Err = slog::Never, Ok = ()> + Send + 'static {
    let decorator = slog_term::PlainDecorator::new(output);
    Locked(Mutex::new(slog_term::FullFormat::new(decorator).build())).ignore_res()
}

/// A drain behind a lock.
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
