//! `run`: an instance of the baseline, in place of the product's.

use std::path::PathBuf;

use argh::FromArgs;

use super::Failure;
use crate::baseline;

/// run an instance that hashes flows over targets, to measure against
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Arguments {
    /// settings of the instance
    #[argh(option)]
    settings: PathBuf,
}

/// Runs until it is stopped.
pub(super) async fn run(arguments: &Arguments) -> Result<bool, Failure> {
    let settings = baseline::settings::Settings::read(&arguments.settings)?;
    tokio::select! {
        ended = baseline::run(&settings) => ended?,
        stopped = super::stop_signal() => stopped?,
    }
    Ok(true)
}
