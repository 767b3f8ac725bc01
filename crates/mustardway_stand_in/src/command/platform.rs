//! `platform`: publishes a folder.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;

use super::Failure;
use crate::platform::{Server, folder};

/// publish a folder of configuration files as the platform would
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct Arguments {
    /// where it listens, ip:port
    #[argh(option)]
    listen: SocketAddr,
    /// where failure tests switch it, ip:port
    #[argh(option)]
    control: Option<SocketAddr>,
    /// folder of .ini files
    #[argh(option)]
    folder: PathBuf,
    /// JSON file of the instance list
    #[argh(option)]
    instances: Option<PathBuf>,
}

/// Runs until it is stopped.
pub(super) async fn run(arguments: &Arguments) -> Result<bool, Failure> {
    folder::read(&arguments.folder)?;
    let server = Server::start(arguments.listen).await?;
    let _control = match arguments.control {
        Some(address) => Some(server.open_control(address).await?),
        None => None,
    };
    let state = Arc::clone(server.state());
    let source =
        folder::Source { folder: arguments.folder.clone(), instances: arguments.instances.clone() };
    source.publish(&state);
    tokio::spawn(source.follow(state));
    super::stop_signal().await?;
    Ok(true)
}
