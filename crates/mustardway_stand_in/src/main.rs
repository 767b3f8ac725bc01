//! Runs the stand-ins from the command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    mustardway_stand_in::command::main(&argh::from_env())
}
