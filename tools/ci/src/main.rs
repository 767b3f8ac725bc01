//! Runs every check of the project's CI, in order, and stops at the first that fails.

use std::process::{Command, ExitCode};

/// Run the checks of CI
#[derive(argh::FromArgs)]
struct Arguments {
    /// run only the step of this name
    #[argh(option)]
    only: Option<String>,
}

/// One check.
struct Step {
    /// Name on the command line.
    name: &'static str,
    /// Arguments for cargo.
    arguments: &'static [&'static str],
}

/// Every check, in order.
const STEPS: &[Step] = &[
    Step { name: "format", arguments: &["fmt", "--all", "--check"] },
    Step {
        name: "lint",
        arguments: &["clippy", "--workspace", "--all-targets", "--locked", "--", "-D", "warnings"],
    },
    Step { name: "test", arguments: &["test", "--workspace", "--locked"] },
];

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    for step in STEPS {
        if arguments.only.as_deref().is_some_and(|only| only != step.name) {
            continue;
        }
        println!("== {}: cargo {}", step.name, step.arguments.join(" "));
        let status = Command::new("cargo").args(step.arguments).status();
        if !status.is_ok_and(|status| status.success()) {
            eprintln!("{} failed", step.name);
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
