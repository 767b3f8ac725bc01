//! Runs the CI checks in order and stops at the first one that fails.
//!
//! Tests that are listed in `KNOWN-RED.txt` are printed and skipped.

use std::path::Path;
use std::process::{Command, ExitCode};

/// File that lists the tests that fail because of a known fault.
///
/// Each line holds the full name of a test and, after `|`, the command, the seed, the observed
/// failure and the issue.
const KNOWN_FAILURES_FILE: &str = "KNOWN-RED.txt";

/// Run the CI checks
#[derive(argh::FromArgs)]
struct Arguments {
    /// run only the step with this name: tools, format, lint, generated or test
    #[argh(option)]
    only: Option<String>,
}

/// A check and the name that selects it.
struct Step {
    /// Name of the step on the command line.
    name: &'static str,
    /// Runs the step and returns whether it succeeded.
    run: fn() -> bool,
}

/// All steps, in the order in which they run.
const STEPS: &[Step] = &[
    Step { name: "tools", run: install_tools },
    Step { name: "format", run: format },
    Step { name: "lint", run: lint },
    Step { name: "generated", run: check_generated_code },
    Step { name: "test", run: test },
];

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if let Some(only) = &arguments.only
        && STEPS.iter().all(|step| step.name != only)
    {
        eprintln!("there is no step {only}");
        return ExitCode::FAILURE;
    }
    for step in STEPS {
        if arguments.only.as_deref().is_some_and(|only| only != step.name) {
            continue;
        }
        println!("== {}", step.name);
        if !(step.run)() {
            eprintln!("{} failed", step.name);
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Runs a program and returns whether it succeeded.
fn run(program: &str, arguments: &[&str]) -> bool {
    println!("{program} {}", arguments.join(" "));
    let status = Command::new(program).args(arguments).status();
    status.is_ok_and(|status| status.success())
}

/// Installs the model checker and a C compiler where they are missing.
fn install_tools() -> bool {
    run("bash", &["tools/install-spin"])
}

fn format() -> bool {
    run("cargo", &["fmt", "--all", "--check"])
}

fn lint() -> bool {
    let arguments = ["clippy", "--workspace", "--all-targets", "--locked", "--", "-D", "warnings"];
    run("cargo", &arguments)
}

/// Regenerates the gRPC code and compares it with the committed code.
fn check_generated_code() -> bool {
    let regenerated = Path::new("target/generated");
    let out = regenerated.display().to_string();
    if !run("cargo", &["run", "--quiet", "--locked", "--package", "codegen", "--", "--out", &out]) {
        return false;
    }
    run("diff", &["--recursive", &out, "crates/mustardway_wire/src/generated"])
}

/// Runs all tests except those that are known to fail.
fn test() -> bool {
    let known = match known_failures() {
        Ok(known) => known,
        Err(error) => {
            eprintln!("{KNOWN_FAILURES_FILE}: {error}");
            return false;
        }
    };
    let mut arguments = vec!["test", "--workspace", "--locked", "--no-fail-fast"];
    if !known.is_empty() {
        // Without `--exact`, a test whose name contains a listed one would be skipped too.
        arguments.extend(["--", "--exact"]);
    }
    for name in &known {
        println!("known to fail, skipped: {name}");
        arguments.extend(["--skip", name.as_str()]);
    }
    run("cargo", &arguments)
}

/// Returns the names of the tests that are known to fail. Each must be the name of a test.
fn known_failures() -> std::io::Result<Vec<String>> {
    let text = std::fs::read_to_string(KNOWN_FAILURES_FILE)?;
    let mut names = Vec::new();
    for line in text.lines() {
        let Some((name, _)) = line.split_once('|') else { continue };
        names.push(name.trim().to_string());
    }
    if names.is_empty() {
        return Ok(names);
    }
    let arguments = ["test", "--workspace", "--locked", "--quiet", "--", "--list"];
    let listed = Command::new("cargo").args(arguments).output()?.stdout;
    let listed = String::from_utf8_lossy(&listed);
    for name in &names {
        if !listed.lines().any(|line| line.strip_suffix(": test") == Some(name)) {
            return Err(std::io::Error::other(format!("there is no test {name}")));
        }
    }
    Ok(names)
}
