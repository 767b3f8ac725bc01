//! The command line.
//!
//! Modules:
//! - [`platform`], [`target`], [`load`]: one stand-in each.
//! - [`baseline`]: an instance to measure against.
//! - [`deploy`]: a user's whole deployment.
//! - [`measure`]: scenarios over several seeds.

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

/// Stand-ins for what surrounds mustardway
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

/// Why a command failed, in one line.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Runs a command; exits 0 when it is content, 1 when not, 2 when it failed.
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

fn report_failure(error: &Failure) -> ExitCode {
    eprintln!("mustardway_stand_in: {error}");
    ExitCode::from(2)
}

/// Reads a length of time such as `20ms`.
fn duration(text: &str) -> Result<Duration, String> {
    let span: time::Span = text.parse().map_err(|error| format!("{error}"))?;
    Ok(span.into())
}

/// Waits for the signal to stop.
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
