//! What is printed.

use std::io::{self, Write};

use mustardway_admin::report::{self, Format, Report};

use crate::failure::Failure;

/// The form that the switch `--json` asks for.
pub fn format(json: bool) -> Format {
    if json { Format::Json } else { Format::Table }
}

/// Prints an answer.
///
/// # Errors
/// When stdout cannot be written.
pub fn print(answer: &impl Report, json: bool) -> Result<(), Failure> {
    text(&report::render(answer, format(json)))
}

/// Prints text as it is. A reader that has gone is no failure.
///
/// # Errors
/// When stdout cannot be written.
pub fn text(text: &str) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(Failure::Output(error)),
        _ => Ok(()),
    }
}
