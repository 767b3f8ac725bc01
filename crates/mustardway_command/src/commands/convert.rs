//! Settings as the parts of an instance want them.

use std::time::SystemTime;

use mustardway_admin::server;
use mustardway_platform::client;
use mustardway_runtime::run;
use mustardway_settings::Settings;
use mustardway_settings::settings::{Form, Level};
use mustardway_telemetry::log;
use mustardway_types::instance::Incarnation;
use mustardway_types::time::Span;

/// Microseconds since 1970: greater with every start.
pub fn start_number() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Span::from(since.unwrap_or_default()).0
}

/// What is logged.
pub fn log_settings(settings: &Settings) -> log::Settings {
    let form = match settings.log.form {
        Form::Json => log::Form::Json,
        Form::Terminal => log::Form::Terminal,
    };
    let level = match settings.log.level {
        Level::Error => log::Level::Error,
        Level::Warning => log::Level::Warning,
        Level::Info => log::Level::Info,
        Level::Debug | Level::Trace => log::Level::Debug,
    };
    log::Settings { form, level }
}

/// What the instance itself wants.
pub fn run_settings(settings: &Settings, seed: u64) -> run::Settings {
    run::Settings {
        id: settings.instance.name.clone(),
        domain: settings.instance.domain.clone(),
        front: settings.instance.front,
        peer: settings.instance.peer,
        heartbeat: settings.timing.heartbeat,
        lease: settings.timing.lease,
        drain: settings.timing.drain,
        packet_max: settings.limits.packet,
        flows_max: settings.limits.flows as usize,
        seed,
        incarnation: Incarnation(seed),
        cut_allowed: false,
    }
}

/// Where the platform is.
pub fn platform_settings(settings: &Settings, seed: u64) -> client::Settings {
    client::Settings::new(settings.platform.addresses.clone(), seed)
}

/// Where operators ask, and what they must show.
pub fn admin_settings(settings: &Settings) -> server::Settings {
    let token = settings.instance.token.clone();
    server::Settings { listen: settings.instance.admin, token }
}
