//! Settings as the parts of an instance want them.

use mustardway_admin::server;
use mustardway_reader::client;
use mustardway_runtime::run;
use mustardway_settings::Settings;
use mustardway_types::instance::Incarnation;

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
