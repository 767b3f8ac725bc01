//! The command line of the stand-ins.
//!
//! Modules:
//! - [`platform`], [`target`], [`load`]: run the stand-in for the platform, the
//!   targets and the callers.
//! - [`baseline`]: runs an instance of the baseline.
//! - [`deploy`]: runs a user's whole deployment.
//! - [`measure`]: runs scenarios with several seeds.
//! - `launch`: options shared by the commands that start deployments.

pub mod baseline;
pub mod deploy;
mod launch;
pub mod load;
pub mod measure;
pub mod platform;
pub mod target;

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use mustardway_types::time;

/// Stand-ins for the platform, the targets and the callers of mustardway
#[derive(Debug, FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(platform::Arguments),
    Target(target::Arguments),
    Load(load::Arguments),
    Baseline(baseline::Arguments),
    Deploy(deploy::Arguments),
    Measure(measure::Arguments),
}

/// Reason why a command failed; its message has one line.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Runs a command; exits 0 when its checks passed, 1 when they did not, and 2 when
/// the command failed.
pub fn main(arguments: &Arguments) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return report_failure(&error.into()),
    };
    let result = runtime.block_on(async {
        match &arguments.command {
            Command::Platform(arguments) => platform::run(arguments).await,
            Command::Target(arguments) => target::run(arguments).await,
            Command::Load(arguments) => load::run(arguments).await,
            Command::Baseline(arguments) => baseline::run(arguments).await,
            Command::Deploy(arguments) => deploy::run(arguments).await,
            Command::Measure(arguments) => measure::run(arguments).await,
        }
    });
    runtime.shutdown_background();
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => report_failure(&error),
    }
}

/// Prints the reason of a failed command and returns exit code 2.
fn report_failure(error: &Failure) -> ExitCode {
    eprintln!("mustardway_stand_in: {error}");
    ExitCode::from(2)
}

/// Parses a duration such as `20ms`.
fn duration(text: &str) -> Result<Duration, String> {
    let span: time::Span = text.parse().map_err(|error| format!("{error}"))?;
    Ok(span.into())
}

/// Waits for SIGTERM, SIGINT or SIGHUP.
async fn stop_signal() -> Result<(), Failure> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        _ = hangup.recv() => {}
    }
    Ok(())
}
