//! Errors with which a subcommand fails.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use displaydoc::Display;
use mustardway_admin::client;
use mustardway_settings::token;
use mustardway_telemetry::audit::Fault;
use mustardway_view::directory;

use crate::exit::fail;

/// Reasons why a subcommand failed.
#[derive(Debug, Display)]
pub enum Failure {
    /// give either --token or --token-file
    TwoTokens,
    /// cannot read the token file {path}: {cause}
    TokenFile {
        /// Path as given on the command line.
        path: PathBuf,
        /// Error of the system call.
        cause: io::Error,
    },
    /// {0}: a token is 16 to 256 visible ASCII characters
    Token(token::Error),
    /// give either --admin or --against, to have something to compare with
    NoBase,
    /// {path}: {cause}
    Folder {
        /// Path as given on the command line.
        path: PathBuf,
        /// Error while reading the folder.
        cause: directory::Error,
    },
    /// the folder is not a valid configuration
    Problems(Vec<String>),
    /// {0}
    Instance(client::Error),
    /// the hash chain of the audit trail is broken: {0}; compare with the log streams of this and other instances
    BrokenChain(Fault),
    /// the hash chain of the audit trail is broken: its latest record is not the head; compare with the log streams
    HeadMismatch,
    /// cannot read the log {path}: {cause}
    Log {
        /// Path as given on the command line.
        path: PathBuf,
        /// Error of the system call.
        cause: io::Error,
    },
    /// no line tells of a flow of {0}
    NoLines(String),
    /// cannot start the async runtime: {0}
    Runtime(io::Error),
    /// cannot write to stdout: {0}
    Output(io::Error),
}

impl std::error::Error for Failure {}

impl Failure {
    /// Prints the failure to stderr, with one line for each problem of a folder, and
    /// returns the exit code.
    pub fn report(&self) -> ExitCode {
        match self {
            Failure::Problems(lines) => fail(lines),
            other => fail(&[other.to_string()]),
        }
    }
}
