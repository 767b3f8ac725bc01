//! What both kinds of instance need at their start.

use std::time::SystemTime;

use mustardway_settings::settings::{Form, Level, Log};
use mustardway_telemetry::log;
use mustardway_types::time::Span;

/// Microseconds since 1970: greater with every start.
pub fn start_number() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Span::from(since.unwrap_or_default()).0
}

/// What is logged.
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
