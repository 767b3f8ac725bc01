//! The command line of mustardway. Commands change something, queries tell.
//!
//! Modules:
//! - [`run`]: the command that runs an instance.
//! - [`signals`]: signals that stop the process.

pub mod run;
pub mod signals;

use std::process::ExitCode;

/// A layer-4 load balancer whose instances share nothing but what the platform
/// publishes
#[derive(Debug, argh::FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(run::Run),
}

/// Does what the command line says.
pub fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Run(run) => run.execute(),
    }
}
