//! Conversion of the settings file into the settings of each component of an instance.

use mustardway_admin::server;
use mustardway_reader::client;
use mustardway_runtime::run;
use mustardway_settings::Settings;
use mustardway_types::instance::Incarnation;

/// Returns the settings of the instance itself. `seed` is also its incarnation.
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

/// Returns the settings of the client that reads the platform.
pub fn platform_settings(settings: &Settings, seed: u64) -> client::Settings {
    client::Settings::new(settings.platform.addresses.clone(), seed)
}

/// Returns the settings of the administration API.
pub fn admin_settings(settings: &Settings) -> server::Settings {
    let token = settings.instance.token.clone();
    server::Settings { listen: settings.instance.admin, token }
}
