//! Options shared by the commands that start deployments.

use std::path::{Path, PathBuf};
use std::str::FromStr;

use super::Failure;
use crate::deployment::fleet::{Launch, Readiness};

/// A percentage, such as `50%` or `50`.
#[derive(Debug, Clone, Copy)]
pub(super) struct Percent(pub(super) u32);

impl Percent {
    /// Returns the percentage as a fraction, where 100 % is 1.
    pub(super) fn fraction(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl FromStr for Percent {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_suffix('%').unwrap_or(text);
        digits.parse().map(Percent).map_err(|_| format!("{text}: not a percentage such as 50%"))
    }
}

/// Returns the options for starting instances of `binary`, by default of the
/// `mustardway` binary in the folder of this program.
pub(super) fn from_options(binary: Option<&Path>, ready_by_front: bool) -> Result<Launch, Failure> {
    let binary = match binary {
        Some(path) => path.to_owned(),
        None => std::env::current_exe()?.with_file_name("mustardway"),
    };
    if !binary.is_file() {
        let path = binary.display();
        return Err(format!(
            "no binary at {path}; build it with: cargo build --release --workspace"
        )
        .into());
    }
    let readiness = if ready_by_front { Readiness::Front } else { Readiness::Admin };
    Ok(Launch { binary, readiness })
}

/// Returns the folder for a deployment that this process starts.
pub(super) fn deployment_folder() -> PathBuf {
    std::env::temp_dir().join(format!("mustardway-{}", std::process::id()))
}
