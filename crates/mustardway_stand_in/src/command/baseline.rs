//! `run`: an instance of the baseline, with the same command line as an instance
//! of mustardway.

use std::path::PathBuf;

use argh::FromArgs;

use super::Failure;
use crate::baseline;

/// run a baseline instance that only hashes flows over targets, for comparison
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Arguments {
    /// settings file of the instance
    #[argh(option)]
    settings: PathBuf,
}

/// Runs the instance until it fails or a stop signal arrives.
pub(super) async fn run(arguments: &Arguments) -> Result<bool, Failure> {
    let settings = baseline::settings::Settings::read(&arguments.settings)?;
    tokio::select! {
        ended = baseline::run(&settings) => ended?,
        stopped = super::stop_signal() => stopped?,
    }
    Ok(true)
}
