//! The query for the audit trail of an instance.

use std::net::SocketAddr;
use std::path::PathBuf;

use mustardway_admin::response;
use mustardway_telemetry::audit;

use crate::access::Access;
use crate::failure::Failure;
use crate::output;

/// Print the revisions that an instance adopted: digest, when adopted, when seen
/// in force everywhere, and what each changed
#[derive(Debug, argh::FromArgs)]
#[argh(
    subcommand,
    name = "audit",
    error_code(0, "the trail is printed and, with --verify, its chain holds"),
    error_code(1, "the chain does not hold, or the instance was not reached or refused")
)]
pub struct Audit {
    /// administration address of the instance, IP:PORT
    #[argh(option)]
    admin: SocketAddr,
    /// check that no record was altered, removed or moved
    #[argh(switch)]
    verify: bool,
    /// token of the administration API
    #[argh(option)]
    token: Option<String>,
    /// file that holds the token
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// print JSON, with every record
    #[argh(switch)]
    json: bool,
}

impl Audit {
    /// Prints the audit trail. With `--verify` it verifies the hash chain before.
    ///
    /// # Errors
    /// Fails if the instance cannot be reached or refuses, or if the chain is broken.
    pub fn execute(self) -> Result<(), Failure> {
        let Audit { admin, verify, token, token_file, json } = self;
        let access = Access { admin, token, token_file };
        let trail = access.call(async |client| client.audit().await)?;
        if verify {
            verify_chain(&trail)?;
        }
        output::print(&trail, json)?;
        if verify && !json {
            let (records, head) = (trail.records.len(), &trail.head);
            let line = format!(
                "{records} records verified up to record {} {}\n",
                head.number.0, head.hash
            );
            output::print_text(&line)?;
        }
        Ok(())
    }
}

/// Verifies the hash chain of the records, and that the latest record is the head.
fn verify_chain(trail: &response::Audit) -> Result<(), Failure> {
    audit::verify(&trail.records).map_err(Failure::BrokenChain)?;
    let latest = trail.records.last();
    let latest = latest.map_or_else(audit::Head::default, |record| audit::Head {
        number: record.number,
        hash: record.hash,
    });
    if latest == trail.head { Ok(()) } else { Err(Failure::HeadMismatch) }
}
