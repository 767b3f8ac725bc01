//! `platform`: publishes a folder of configuration files and the instance list.

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
    /// address to listen on, ip:port
    #[argh(option)]
    listen: SocketAddr,
    /// address on which tests set faults of the platform, ip:port
    #[argh(option)]
    control: Option<SocketAddr>,
    /// folder of .ini files
    #[argh(option)]
    folder: PathBuf,
    /// JSON file with the instance list
    #[argh(option)]
    instances: Option<PathBuf>,
}

/// Publishes the folder until a stop signal arrives.
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
