//! The query that validates a folder of configuration files and summarises it.

use std::path::{Path, PathBuf};

use compact_str::CompactString;
use mustardway_admin::report::Report;
use mustardway_admin::table::Table;
use mustardway_routing::snapshot;
use mustardway_types::{revision, service};
use mustardway_view::model::View;
use mustardway_view::{directory, folder};
use serde::Serialize;

use crate::failure::Failure;
use crate::output;

/// Merge a folder of configuration files in the order of their names and print
/// what it stands for, or every problem on stderr: file, line, section, key, what
/// was found and what is allowed
#[derive(Debug, argh::FromArgs)]
#[argh(
    subcommand,
    name = "check",
    error_code(0, "the folder is a configuration"),
    error_code(1, "the folder has problems or cannot be read")
)]
pub struct Check {
    /// folder of configuration files
    #[argh(positional)]
    directory: PathBuf,
    /// print JSON; problems stay on stderr
    #[argh(switch)]
    json: bool,
}

/// Summary of the merged folder.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct Summary {
    digest: CompactString,
    domains: usize,
    services: Vec<Service>,
}

/// Totals of one service. A target is open if it accepts new flows.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct Service {
    name: service::Name,
    addresses: usize,
    targets: usize,
    open_targets: usize,
    open_slots: u64,
}

impl Check {
    /// Prints the summary of the merged folder.
    ///
    /// # Errors
    /// Fails if the folder has problems or cannot be read.
    pub fn execute(&self) -> Result<(), Failure> {
        output::print(&Summary::of(&read(&self.directory)?), self.json)
    }
}

/// Reads the folder at `path` and returns its view.
///
/// # Errors
/// Fails if the folder cannot be read, or with all problems of its files.
pub fn read(path: &Path) -> Result<View, Failure> {
    let files =
        directory::read(path).map_err(|cause| Failure::Folder { path: path.to_owned(), cause })?;
    folder::parse(revision::Number::default(), &files)
        .map_err(|problems| Failure::Problems(problems.iter().map(ToString::to_string).collect()))
}

impl Summary {
    fn of(view: &View) -> Self {
        let mut services = Vec::with_capacity(view.services.len());
        for (name, service) in &view.services {
            services.push(Service::of(view, name, service.addresses.len()));
        }
        let digest = compact_str::format_compact!("{}", view.digest);
        Summary { digest, domains: view.domains.len(), services }
    }
}

impl Service {
    fn of(view: &View, name: &service::Name, addresses: usize) -> Self {
        let (mut targets, mut open_targets, mut open_slots) = (0, 0, 0);
        for target in view.targets.values().filter(|target| target.service == *name) {
            targets += 1;
            if !snapshot::accepts_new_flows(view, target) {
                continue;
            }
            open_targets += 1;
            open_slots += u64::from(target.limits.slots);
        }
        Service { name: name.clone(), addresses, targets, open_targets, open_slots }
    }
}

impl Report for Summary {
    fn table(&self) -> Table {
        let columns = ["service", "addresses", "targets", "open targets", "open slots"];
        let mut table = Table::new(&columns);
        for service in &self.services {
            table.row([
                service.name.to_string(),
                service.addresses.to_string(),
                service.targets.to_string(),
                service.open_targets.to_string(),
                service.open_slots.to_string(),
            ]);
        }
        table
    }
}
