//! Exit code and error output of a failed command.

use std::process::ExitCode;

/// Exit code of every failed command.
pub const FAILED: u8 = 1;

/// Prints the lines to stderr and returns the exit code of a failure.
pub fn fail(lines: &[String]) -> ExitCode {
    for line in lines {
        eprintln!("mustardway: {line}");
    }
    ExitCode::from(FAILED)
}
