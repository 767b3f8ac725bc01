//! Queries that print one response of the administration API unchanged.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::access::Access;
use crate::failure::Failure;
use crate::output;

/// Declares a query that prints the response of one path of the administration API.
macro_rules! query {
    ($(#[$doc:meta])* $name:ident, $text:tt, $method:ident) => {
        $(#[$doc])*
        #[derive(Debug, argh::FromArgs)]
        #[argh(
            subcommand,
            name = $text,
            error_code(0, "the answer is printed"),
            error_code(1, "the instance was not reached or refused; stderr says why")
        )]
        pub struct $name {
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

        impl $name {
            /// Queries the instance and prints its response.
            ///
            /// # Errors
            /// Fails if the instance cannot be reached or refuses.
            pub fn execute(self) -> Result<(), Failure> {
                let $name { admin, token, token_file, json } = self;
                let access = Access { admin, token, token_file };
                let response = access.call(async |client| client.$method().await)?;
                output::print(&response, json)
            }
        }
    };
}

query! {
    /// Print the state of an instance: revision in force, targets owned, flows
    Status, "status", status
}

query! {
    /// Print every target with its owner, and the load of those that the instance owns
    Targets, "targets", targets
}

query! {
    /// Print the other instances as this one sees them
    Peers, "peers", peers
}

query! {
    /// Print how often each promise was seen kept or broken
    Promises, "promises", promises
}
