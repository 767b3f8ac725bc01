//! The query that compares a folder of configuration files with another configuration.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use mustardway_admin::report::{self, Report};
use mustardway_admin::table::Table;
use mustardway_view::change::{self, Change};
use mustardway_view::model::View;
use serde::Serialize;

use super::check;
use super::movement::{self, Movement, Touched};
use crate::access::Access;
use crate::failure::Failure;
use crate::output;

/// Print what a folder of configuration files would change against what an
/// instance has in force or against another folder: every change, the targets and
/// failure domains touched, and for each service the share of new flows that would
/// go to another target, from 4096 sample flows. Established flows are not counted:
/// they stay on their targets.
#[derive(Debug, argh::FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    error_code(0, "the differences are printed, or there are none"),
    error_code(1, "a folder has problems, or the instance was not reached or refused")
)]
pub struct Diff {
    /// folder of configuration files
    #[argh(positional)]
    directory: PathBuf,
    /// folder to compare with
    #[argh(option)]
    against: Option<PathBuf>,
    /// administration address of the instance to compare with, IP:PORT
    #[argh(option)]
    admin: Option<SocketAddr>,
    /// token of the administration API
    #[argh(option)]
    token: Option<String>,
    /// file that holds the token
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Differences between two configurations.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct Difference {
    changes: Vec<Change>,
    touched: Touched,
    services: Vec<Movement>,
}

impl Diff {
    /// Prints the differences.
    ///
    /// # Errors
    /// Fails if a folder has problems, or if the instance cannot be reached or refuses.
    pub fn execute(&self) -> Result<(), Failure> {
        let new = check::read(&self.directory)?;
        let difference = Difference::of(self.base()?, new);
        if self.json {
            return output::print(&difference, true);
        }
        output::print_text(&difference.lines())
    }

    /// Returns the view to compare with.
    fn base(&self) -> Result<View, Failure> {
        match (&self.against, self.admin) {
            (Some(directory), None) => check::read(directory),
            (None, Some(admin)) => {
                let (token, token_file) = (self.token.clone(), self.token_file.clone());
                Access { admin, token, token_file }.call(async |client| client.view().await)
            }
            _ => Err(Failure::NoBase),
        }
    }
}

impl Difference {
    fn of(old: View, new: View) -> Self {
        let (old, new) = (Arc::new(old), Arc::new(new));
        let changes = change::between(&old, &new);
        let touched = movement::touched(&changes, &old, &new);
        let services = movement::movements(&old, &new);
        Difference { changes, touched, services }
    }

    /// Returns the text output: every change, what they touch, and a table of services.
    fn lines(&self) -> String {
        if self.changes.is_empty() {
            return "nothing changes\n".to_owned();
        }
        let mut lines = String::new();
        for change in &self.changes {
            lines += &format!("{change}\n");
        }
        let Touched { targets, domains } = &self.touched;
        let domain_names: Vec<&str> = domains.iter().map(|domain| domain.as_str()).collect();
        let domain_names = domain_names.join(", ");
        lines += &format!("\ntargets touched: {}\n", targets.len());
        lines += &format!("failure domains touched: {domain_names}\n\n");
        lines + &report::render(self, report::Format::Table)
    }
}

impl Report for Difference {
    fn table(&self) -> Table {
        let columns = ["service", "targets before", "targets after", "new flows moved"];
        let mut table = Table::new(&columns);
        for movement in &self.services {
            let moved = movement.moved.map(|share| format!("{:.1}%", share * 100.0));
            table.row([
                movement.service.to_string(),
                movement.targets_before.to_string(),
                movement.targets_after.to_string(),
                moved.unwrap_or_else(|| "-".to_owned()),
            ]);
        }
        table
    }
}
