//! Prints results to stdout.

use std::io::{self, Write};

use mustardway_admin::report::{self, Format, Report};

use crate::failure::Failure;

/// Returns the output format that the switch `--json` selects.
pub fn format(json: bool) -> Format {
    if json { Format::Json } else { Format::Table }
}

/// Prints a report as a table or as JSON.
///
/// # Errors
/// Fails if stdout cannot be written.
pub fn print(report: &impl Report, json: bool) -> Result<(), Failure> {
    print_text(&report::render(report, format(json)))
}

/// Prints text as it is. It is no failure if the reader has closed the pipe.
///
/// # Errors
/// Fails if stdout cannot be written.
pub fn print_text(text: &str) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(Failure::Output(error)),
        _ => Ok(()),
    }
}
