//! Runs the model checker on a specification and parses its report.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::{fs, io};

use displaydoc::Display;

/// Maximum memory that one run of the checker may use.
const MEMORY_MAX_MEGABYTES: u32 = 1_000;
/// Maximum number of steps of one execution; a longer execution fails the run.
const DEPTH_MAX: u32 = 100_000;

/// A Promela specification in the `spec` folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Specification {
    /// The ownership of a target and a request that may run at most once.
    Ownership,
    /// The adoption of the configuration in force.
    View,
    /// A platform that is restored from a copy.
    Era,
}

impl Specification {
    fn file(self) -> &'static str {
        match self {
            Specification::Ownership => "ownership.pml",
            Specification::View => "view.pml",
            Specification::Era => "era.pml",
        }
    }
}

/// A specification and the variant of it that one run checks.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Name of the run and of its working folder.
    pub name: &'static str,
    /// Specification to check.
    pub specification: Specification,
    /// Preprocessor definitions that set the bounds on faults and select broken variants.
    pub definitions: &'static [&'static str],
}

/// Result of a completed run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// Number of failed properties; at most 1, since the checker stops at the first one.
    pub errors: u64,
    /// Number of distinct states visited.
    pub states: u64,
    /// Number of steps of the longest execution.
    pub depth: u64,
    /// Expression of the assertion that failed.
    pub violated: Option<String>,
}

/// Reason why a run has no result.
#[derive(Debug, Display)]
pub enum Error {
    /// {program} cannot be run ({error}): install it with tools/install-spin
    Missing {
        /// Program that could not be started.
        program: &'static str,
        /// Error of the attempt to start it.
        error: io::Error,
    },
    /// {program} failed: {text}
    Failed {
        /// Program that exited with an error.
        program: &'static str,
        /// Standard output and standard error of the program.
        text: String,
    },
    /// the search was not completed: {0}
    Incomplete(String),
    /// cannot prepare the working folder: {0}
    Prepare(io::Error),
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Error::Prepare(error)
    }
}

/// Checks one variant in its own working folder under `folder`.
///
/// # Errors
///
/// Returns an error if the working folder cannot be prepared, a program is missing or fails, or the
/// checker could not visit every state.
pub fn run(run: &Run, folder: &Path) -> Result<Verdict, Error> {
    let folder = folder.join(run.name);
    fs::create_dir_all(&folder)?;
    let file = run.specification.file();
    let source = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("spec").join(file);
    fs::copy(source, folder.join(file))?;

    let mut spin = Command::new("spin");
    spin.arg("-a");
    for definition in run.definitions {
        spin.arg(format!("-D{definition}"));
    }
    execute("spin", spin.arg(file), &folder)?;

    let memory = format!("-DMEMLIM={MEMORY_MAX_MEGABYTES}");
    let mut compiler = Command::new("cc");
    compiler.args(["-O2", "-w", "-DSAFETY", "-DCOLLAPSE", "-DNOFAIR", &memory]);
    execute("cc", compiler.args(["-o", "pan", "pan.c"]), &folder)?;

    let mut checker = Command::new(folder.join("pan"));
    let output = execute("pan", checker.args(["-E", &format!("-m{DEPTH_MAX}")]), &folder)?;
    parse_report(&String::from_utf8_lossy(&output.stdout))
}

fn execute(program: &'static str, command: &mut Command, folder: &Path) -> Result<Output, Error> {
    let output = command.current_dir(folder).output();
    let output = output.map_err(|error| Error::Missing { program, error })?;
    if output.status.success() {
        return Ok(output);
    }
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    Err(Error::Failed { program, text })
}

/// Parses the report that the checker prints.
///
/// A search that was cut off counts as incomplete unless it found a violation.
fn parse_report(text: &str) -> Result<Verdict, Error> {
    let incomplete = || Error::Incomplete(text.to_owned());
    let errors = number_after(text, "errors: ").ok_or_else(incomplete)?;
    let cut_off_messages = ["Search not completed", "max search depth too small", "out of memory"];
    if errors == 0 && cut_off_messages.iter().any(|message| text.contains(message)) {
        return Err(incomplete());
    }
    Ok(Verdict {
        errors,
        states: number_before(text, " states, stored").ok_or_else(incomplete)?,
        depth: number_after(text, "depth reached ").ok_or_else(incomplete)?,
        violated: violated_property(text),
    })
}

/// Parses the number that directly follows the first `label`.
fn number_after(text: &str, label: &str) -> Option<u64> {
    let (_, rest) = text.split_once(label)?;
    let digits = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..digits].parse().ok()
}

/// Parses the number that precedes the first `label`.
fn number_before(text: &str, label: &str) -> Option<u64> {
    let (rest, _) = text.split_once(label)?;
    rest.split_whitespace().next_back()?.parse().ok()
}

/// Returns the expression of the violated assertion, if the report names one.
fn violated_property(text: &str) -> Option<String> {
    let (_, rest) = text.split_once("assertion violated ")?;
    let (property, _) = rest.split_once(" (at depth")?;
    Some(property.trim().to_owned())
}
