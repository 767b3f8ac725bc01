//! One run of the checker.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::{fs, io};

use displaydoc::Display;

/// Memory of one run, at most.
const MEMORY_MAX_MEGABYTES: u32 = 1_000;
/// Steps of one execution, at most; a longer one fails the run.
const DEPTH_MAX: u32 = 100_000;

/// A specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Specification {
    /// Who owns a target.
    Ownership,
    /// The configuration in force.
    View,
}

impl Specification {
    fn file(self) -> &'static str {
        match self {
            Specification::Ownership => "ownership.pml",
            Specification::View => "view.pml",
        }
    }
}

/// What is to be checked.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Name of the run, and of its folder.
    pub name: &'static str,
    /// The specification.
    pub specification: Specification,
    /// Bounds and broken variants, as preprocessor definitions.
    pub definitions: &'static [&'static str],
}

/// What a run found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// Properties that failed; the checker stops at the first.
    pub errors: u64,
    /// States visited.
    pub states: u64,
    /// Steps of the longest execution.
    pub depth: u64,
    /// The property that failed.
    pub violated: Option<String>,
}

/// Why a run found nothing.
#[derive(Debug, Display)]
pub enum Error {
    /// {program} cannot be run ({error}): install it by tools/install-spin
    Missing {
        /// The program.
        program: &'static str,
        /// Why not.
        error: io::Error,
    },
    /// {program} failed: {text}
    Failed {
        /// The program.
        program: &'static str,
        /// What it printed.
        text: String,
    },
    /// the search was not completed: {0}
    Incomplete(String),
    /// a file cannot be written: {0}
    Folder(io::Error),
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Error::Folder(error)
    }
}

/// Checks one variant in a folder of its own under `folder`.
///
/// # Errors
/// When a program is missing or fails, or not every state could be visited.
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
    read(&String::from_utf8_lossy(&output.stdout))
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

/// Reads what the checker printed.
fn read(text: &str) -> Result<Verdict, Error> {
    let incomplete = || Error::Incomplete(text.to_owned());
    let errors = number(text, "errors: ").ok_or_else(incomplete)?;
    let cut_off = ["Search not completed", "max search depth too small", "out of memory"];
    if errors == 0 && cut_off.iter().any(|sign| text.contains(sign)) {
        return Err(incomplete());
    }
    Ok(Verdict {
        errors,
        states: before(text, " states, stored").ok_or_else(incomplete)?,
        depth: number(text, "depth reached ").ok_or_else(incomplete)?,
        violated: violated(text),
    })
}

/// The number behind `label`.
fn number(text: &str, label: &str) -> Option<u64> {
    let (_, rest) = text.split_once(label)?;
    let digits = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..digits].parse().ok()
}

/// The number before `label`.
fn before(text: &str, label: &str) -> Option<u64> {
    let (rest, _) = text.split_once(label)?;
    rest.split_whitespace().next_back()?.parse().ok()
}

fn violated(text: &str) -> Option<String> {
    let (_, rest) = text.split_once("assertion violated ")?;
    let (property, _) = rest.split_once(" (at depth")?;
    Some(property.trim().to_owned())
}
