//! The command line of mustardway.
//!
//! Modules:
//! - [`access`]: how an instance is asked.
//! - [`commands`]: what changes something.
//! - [`failure`]: why the command line did not do what it was told.
//! - [`output`]: what is printed.
//! - [`queries`]: what tells something.
//! - [`signals`]: signals that stop the process.

pub mod access;
pub mod commands;
pub mod failure;
pub mod output;
pub mod queries;
pub mod signals;

use std::process::ExitCode;

use crate::commands::{drain, run};
use crate::queries::{audit, check, diff, explain, instance};

/// A layer-4 load balancer whose instances share nothing but what the platform
/// publishes. Commands: run, drain. Queries: check, diff, status, targets, peers,
/// promises, audit, explain.
#[derive(Debug, argh::FromArgs)]
#[argh(error_code(1, "the command line is not understood, or the subcommand failed"))]
struct Arguments {
    #[argh(subcommand)]
    subcommand: Subcommand,
}

#[derive(Debug, argh::FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Run(run::Run),
    Drain(drain::Drain),
    Check(check::Check),
    Diff(diff::Diff),
    Status(instance::Status),
    Targets(instance::Targets),
    Peers(instance::Peers),
    Promises(instance::Promises),
    Audit(audit::Audit),
    Explain(explain::Explain),
}

/// Does what the command line says.
pub fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.subcommand {
        Subcommand::Run(run) => return run.execute(),
        Subcommand::Drain(drain) => drain.execute(),
        Subcommand::Check(check) => check.answer(),
        Subcommand::Diff(diff) => diff.answer(),
        Subcommand::Status(status) => status.answer(),
        Subcommand::Targets(targets) => targets.answer(),
        Subcommand::Peers(peers) => peers.answer(),
        Subcommand::Promises(promises) => promises.answer(),
        Subcommand::Audit(audit) => audit.answer(),
        Subcommand::Explain(explain) => explain.answer(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(),
    }
}
