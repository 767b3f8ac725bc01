//! `target`: runs targets in one process.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use compact_str::CompactString;
use mustardway_types::address;

use super::Failure;
use crate::target::{Settings, behaviour, group};

/// run one or more targets in one process
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "target")]
pub struct Arguments {
    /// where a target listens, ip:port; once a target
    #[argh(option)]
    listen: Vec<SocketAddr>,
    /// name of a target; once a target, in the same order
    #[argh(option)]
    name: Vec<CompactString>,
    /// service address of a target, ip:port; once a target or not at all
    #[argh(option)]
    address: Vec<address::Address>,
    /// where the ledger and the switches listen, ip:port
    #[argh(option)]
    control: SocketAddr,
    /// requests that run at one time
    #[argh(option, default = "2")]
    slots: u32,
    /// requests that a target bears when cold
    #[argh(option, default = "1")]
    cold_slots: u32,
    /// time from cold to warm
    #[argh(option, default = "Duration::from_secs(5)", from_str_fn(super::duration))]
    warm_up: Duration,
    /// work on a request that does not wish otherwise
    #[argh(option, default = "Duration::from_millis(20)", from_str_fn(super::duration))]
    service_time: Duration,
}

/// Runs until it is stopped.
pub(super) async fn run(arguments: &Arguments) -> Result<bool, Failure> {
    let _group = group::Group::start(settings(arguments)?, arguments.control).await?;
    super::stop_signal().await?;
    Ok(true)
}

fn settings(arguments: &Arguments) -> Result<Vec<Settings>, Failure> {
    let count = arguments.listen.len();
    if arguments.name.len() != count {
        return Err("give --name once for each --listen".into());
    }
    if !arguments.address.is_empty() && arguments.address.len() != count {
        return Err("give --address once for each --listen, or not at all".into());
    }
    let mut targets = Vec::with_capacity(count);
    for (index, listen) in arguments.listen.iter().enumerate() {
        targets.push(Settings {
            name: arguments.name[index].clone(),
            listen: *listen,
            addresses: arguments.address.get(index).copied().into_iter().collect(),
            slots: arguments.slots,
            cold_slots: arguments.cold_slots,
            warm_up: arguments.warm_up,
            service_time: arguments.service_time,
            behaviour: behaviour::Behaviour::default(),
        });
    }
    Ok(targets)
}
