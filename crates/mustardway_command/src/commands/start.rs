//! Start time and log settings, for both kinds of instance.

use std::time::SystemTime;

use mustardway_settings::settings::{Form, Level, Log};
use mustardway_telemetry::log;
use mustardway_types::time::Span;

/// Returns the time in microseconds since 1970 UTC. It serves as incarnation, which must
/// be greater after each restart, and as random seed.
pub fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Span::from(since.unwrap_or_default()).0
}

/// Returns the settings of the logger. The logger has no level `trace`, so it logs at
/// `debug` instead.
pub fn log_settings(settings: &Log) -> log::Settings {
    let form = match settings.form {
        Form::Json => log::Form::Json,
        Form::Terminal => log::Form::Terminal,
    };
    let level = match settings.level {
        Level::Error => log::Level::Error,
        Level::Warning => log::Level::Warning,
        Level::Info => log::Level::Info,
        Level::Debug | Level::Trace => log::Level::Debug,
    };
    log::Settings { form, level }
}
