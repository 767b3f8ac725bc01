//! How the process ends after a failure.

use std::process::ExitCode;

/// Exit code of every failure.
pub const FAILED: u8 = 1;

/// Prints lines to stderr and gives the exit code.
pub fn fail(lines: &[String]) -> ExitCode {
    for line in lines {
        eprintln!("mustardway: {line}");
    }
    ExitCode::from(FAILED)
}
