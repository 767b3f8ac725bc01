//! The command line of mustardway.
//!
//! The packet front is always included. The feature `requests` adds mustardway's own
//! request interface with its administration API and queries.
//!
//! Modules:
//! - [`access`]: access to the administration API of an instance.
//! - [`commands`]: subcommands that run an instance or change its state.
//! - [`exit`]: exit code and error output of a failed command.
//! - [`failure`]: errors with which a subcommand fails.
//! - [`output`]: prints results to stdout.
//! - [`queries`]: subcommands that print information and change nothing.

#[cfg(feature = "requests")]
pub mod access;
pub mod commands;
pub mod exit;
#[cfg(feature = "requests")]
pub mod failure;
#[cfg(feature = "requests")]
pub mod output;
#[cfg(feature = "requests")]
pub mod queries;

use std::process::ExitCode;

use crate::commands::front;
#[cfg(feature = "requests")]
use crate::commands::{drain, run};
#[cfg(feature = "requests")]
use crate::queries::{audit, check, diff, explain, instance, losses, timeline};

/// A layer-4 load balancer whose instances share nothing but what the platform
/// publishes. Packet front: front, timeline, losses. Request interface, commands: run, drain;
/// queries: check, diff, status, targets, peers, promises, audit, explain.
#[derive(Debug, argh::FromArgs)]
#[argh(error_code(1, "the command line is not understood, or the subcommand failed"))]
struct Arguments {
    #[argh(subcommand)]
    subcommand: Subcommand,
}

#[cfg(feature = "requests")]
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Front(front::Run),
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
    Timeline(timeline::Timeline),
    Losses(losses::Losses),
}

#[cfg(not(feature = "requests"))]
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Front(front::Run),
}

/// Parses the command line, runs the subcommand and returns the exit code.
#[cfg(feature = "requests")]
pub fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.subcommand {
        Subcommand::Front(front) => return front.execute(),
        Subcommand::Run(run) => return run.execute(),
        Subcommand::Drain(drain) => drain.execute(),
        Subcommand::Check(check) => check.execute(),
        Subcommand::Diff(diff) => diff.execute(),
        Subcommand::Status(status) => status.execute(),
        Subcommand::Targets(targets) => targets.execute(),
        Subcommand::Peers(peers) => peers.execute(),
        Subcommand::Promises(promises) => promises.execute(),
        Subcommand::Audit(audit) => audit.execute(),
        Subcommand::Explain(explain) => explain.execute(),
        Subcommand::Timeline(timeline) => timeline.execute(),
        Subcommand::Losses(losses) => losses.execute(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(),
    }
}

/// Parses the command line, runs the subcommand and returns the exit code.
#[cfg(not(feature = "requests"))]
pub fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.subcommand {
        Subcommand::Front(front) => front.execute(),
    }
}
