//! `target`: runs one or more targets in one process.

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
    /// address on which a target listens, ip:port; once for each target
    #[argh(option)]
    listen: Vec<SocketAddr>,
    /// name of a target; once for each target, in the same order
    #[argh(option)]
    name: Vec<CompactString>,
    /// service address of a target, ip:port; once for each target or not at all
    #[argh(option)]
    address: Vec<address::Address>,
    /// control address that serves the ledgers and sets behaviours, ip:port
    #[argh(option)]
    control: SocketAddr,
    /// number of requests that a warm target runs at one time
    #[argh(option, default = "2")]
    slots: u32,
    /// number of requests that a cold target runs at one time
    #[argh(option, default = "1")]
    cold_slots: u32,
    /// time that a cold target needs to become warm
    #[argh(option, default = "Duration::from_secs(5)", from_str_fn(super::duration))]
    warm_up: Duration,
    /// processing time of a request that does not give its own
    #[argh(option, default = "Duration::from_millis(20)", from_str_fn(super::duration))]
    service_time: Duration,
}

/// Runs the targets until a stop signal arrives.
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
