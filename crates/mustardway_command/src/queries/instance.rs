//! Queries that print one answer of an instance as it is.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::access::Access;
use crate::failure::Failure;
use crate::output;

/// Declares a query that prints the answer of one path of the administration API.
macro_rules! query {
    ($(#[$doc:meta])* $name:ident, $text:tt, $path:ident) => {
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
            /// Asks the instance and prints its answer.
            ///
            /// # Errors
            /// When the instance is not reached or refuses.
            pub fn answer(self) -> Result<(), Failure> {
                let $name { admin, token, token_file, json } = self;
                let access = Access { admin, token, token_file };
                let answer = access.ask(async |client| client.$path().await)?;
                output::print(&answer, json)
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
