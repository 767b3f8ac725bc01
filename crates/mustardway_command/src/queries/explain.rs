//! The query for the target of a flow's next packet and the reasons for it.

use std::net::SocketAddr;
use std::path::PathBuf;

use mustardway_types::{address, flow};

use crate::access::Access;
use crate::failure::Failure;
use crate::output;

/// Print where an instance would send the next packet of a flow, and why
#[derive(Debug, argh::FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    error_code(0, "the answer is printed"),
    error_code(1, "the instance was not reached or refused; stderr says why")
)]
pub struct Explain {
    /// id of the flow, in hexadecimal digits
    #[argh(positional)]
    flow: flow::Id,
    /// address of the service, IP:PORT
    #[argh(option)]
    address: address::Address,
    /// administration address of the instance, IP:PORT
    #[argh(option)]
    admin: SocketAddr,
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

impl Explain {
    /// Queries the instance and prints its explanation.
    ///
    /// # Errors
    /// Fails if the instance cannot be reached or refuses.
    pub fn execute(self) -> Result<(), Failure> {
        let Explain { flow, address, admin, token, token_file, json } = self;
        let access = Access { admin, token, token_file };
        let explanation = access.call(async |client| client.explain(flow, address).await)?;
        output::print(&explanation, json)
    }
}
