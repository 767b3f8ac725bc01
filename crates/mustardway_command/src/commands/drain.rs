//! The command that drains an instance or cancels a drain.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::access::Access;
use crate::failure::Failure;
use crate::output;

/// Tell an instance to hand its targets over and to report that it is not ready.
/// It goes on serving packets, as an ingress, until a signal stops it.
#[derive(Debug, argh::FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    error_code(0, "the instance drains, or with --undrain no longer does"),
    error_code(1, "the instance was not reached or refused; stderr says why")
)]
pub struct Drain {
    /// administration address of the instance, IP:PORT
    #[argh(option)]
    admin: SocketAddr,
    /// take back a drain
    #[argh(switch)]
    undrain: bool,
    /// token of the administration API
    #[argh(option)]
    token: Option<String>,
    /// file that holds the token
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Drain {
    /// Sends the command and prints the state of the instance after it.
    ///
    /// # Errors
    /// Fails if the instance cannot be reached or refuses.
    pub fn execute(self) -> Result<(), Failure> {
        let Drain { admin, undrain, token, token_file, json } = self;
        let access = Access { admin, token, token_file };
        let command = access.call(async |client| match undrain {
            true => client.undrain().await,
            false => client.drain().await,
        })?;
        output::print(&command, json)
    }
}
