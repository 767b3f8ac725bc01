//! A running deployment: its processes, readiness checks and control calls.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use compact_str::CompactString;
use displaydoc::Display;
use futures::future::join_all;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::files::Folder;
use super::plan::{Instance, Plan};
use super::process::{Process, Signal};
use crate::http;
use crate::platform::fault::Faults;
use crate::target::behaviour::Behaviour;
use crate::target::group::{Change, Cold, Ledgers, Runs};
use crate::target::ledger::{Run, Summary};

/// Longest wait until every process is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two readiness checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reasons why a deployment cannot start or be controlled.
#[derive(Debug, Display)]
pub enum Error {
    /// {what}: {error}
    Io {
        /// Operation that failed.
        what: &'static str,
        /// Error of the operating system.
        error: io::Error,
    },
    /// {name} ended before it was ready; its last lines: {tail}
    Ended {
        /// Name of the process.
        name: CompactString,
        /// Last lines that the process printed.
        tail: String,
    },
    /// {name} is not ready after {seconds} s; its last lines: {tail}
    NotReady {
        /// Name of the process.
        name: CompactString,
        /// Length of the wait, in seconds.
        seconds: u64,
        /// Last lines that the process printed.
        tail: String,
    },
    /// no such process: {0}
    NoProcess(CompactString),
    /// {0}
    Http(http::Error),
}

impl std::error::Error for Error {}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        Error::Http(error)
    }
}

/// Returns a function that wraps an I/O error of the operation `what`.
fn io_error(what: &'static str) -> impl Fn(io::Error) -> Error {
    move |error| Error::Io { what, error }
}

/// Condition under which an instance counts as ready.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Readiness {
    /// The admin address answers `GET /ready` with 200.
    #[default]
    Admin,
    /// The front accepts TCP connections.
    Front,
}

/// Readiness probe of a process.
#[derive(Debug, Clone, Copy)]
enum Probe {
    Http { address: SocketAddr, path: &'static str },
    Connect { address: SocketAddr },
}

impl Probe {
    async fn is_ready(self) -> bool {
        match self {
            Probe::Http { address, path } => http::is_ok(address, path).await,
            Probe::Connect { address } => TcpStream::connect(address).await.is_ok(),
        }
    }
}

/// One process of a deployment with its readiness probe.
#[derive(Debug)]
struct Member {
    name: CompactString,
    process: Process,
    probe: Probe,
}

/// Options for starting instances.
#[derive(Debug, Clone)]
pub struct Launch {
    /// Path of the program that instances run.
    pub binary: PathBuf,
    /// Condition under which an instance counts as ready.
    pub readiness: Readiness,
}

/// A running deployment.
///
/// Dropping it kills every process and removes the folder, unless the folder is kept.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    folder: Folder,
    launch: Launch,
    members: Vec<Member>,
    keeps_folder: bool,
}

impl Fleet {
    /// Starts every process of `plan` and waits until all are ready.
    ///
    /// Instances start as `launch` says. The stand-ins for the platform and the
    /// targets run the current executable.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started or is not ready in time.
    pub async fn start(plan: Plan, launch: Launch, root: PathBuf) -> Result<Fleet, Error> {
        let folder =
            Folder::create(root, &plan).map_err(io_error("the files cannot be written"))?;
        let mut fleet = Fleet { plan, folder, launch, members: Vec::new(), keeps_folder: false };
        fleet.start_stand_ins()?;
        fleet.wait_ready().await?;
        for instance in fleet.plan.instances.clone() {
            fleet.start_instance(&instance)?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Returns the plan of the deployment.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the folder of the deployment.
    pub fn folder(&self) -> &Folder {
        &self.folder
    }

    /// Keeps the folder when the deployment is dropped.
    pub fn keep_folder(&mut self) {
        self.keeps_folder = true;
    }

    /// Starts the platform and one target process for each failure domain.
    fn start_stand_ins(&mut self) -> Result<(), Error> {
        let program = std::env::current_exe().map_err(io_error("the program has no path"))?;
        let arguments = self.platform_arguments();
        let probe = Probe::Http { address: self.plan.platform, path: "/calls" };
        self.add("platform".into(), &program, &arguments, probe)?;
        for domain in self.plan.domains.clone() {
            let arguments = self.target_arguments(&domain.name, domain.control);
            let probe = Probe::Http { address: domain.control, path: "/ledger" };
            self.add(targets_process_name(&domain.name), &program, &arguments, probe)?;
        }
        Ok(())
    }

    fn platform_arguments(&self) -> Vec<String> {
        vec![
            "platform".to_owned(),
            format!("--listen={}", self.plan.platform),
            format!("--control={}", self.plan.platform_control),
            format!("--folder={}", self.folder.configuration().display()),
            format!("--instances={}", self.folder.instances().display()),
        ]
        .into_iter()
        .flat_map(split_option)
        .collect()
    }

    fn target_arguments(&self, domain: &str, control: SocketAddr) -> Vec<String> {
        let limits = &self.plan.limits;
        let mut arguments = vec![
            "target".to_owned(),
            format!("--control={control}"),
            format!("--slots={}", limits.slots),
            format!("--cold-slots={}", limits.cold_slots),
            format!("--warm-up={}ms", limits.warm_up.as_millis()),
        ];
        for target in self.plan.targets_in(domain) {
            arguments.push(format!("--listen={}", target.endpoint));
            arguments.push(format!("--name={}", target.id));
            arguments.push(format!("--address={}", target.address));
        }
        arguments.into_iter().flat_map(split_option).collect()
    }

    /// Starts an instance, and replaces its previous process if there is one.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn start_instance(&mut self, instance: &Instance) -> Result<(), Error> {
        let settings = self.folder.settings(instance).display().to_string();
        let arguments = ["run".to_owned(), "--settings".to_owned(), settings];
        let probe = match self.launch.readiness {
            Readiness::Admin => Probe::Http { address: instance.admin, path: "/ready" },
            Readiness::Front => Probe::Connect { address: instance.front },
        };
        let binary = self.launch.binary.clone();
        self.add(instance.id.clone(), &binary, &arguments, probe)
    }

    fn add(
        &mut self,
        name: CompactString,
        program: &Path,
        arguments: &[String],
        probe: Probe,
    ) -> Result<(), Error> {
        let log = self.folder.logs().join(format!("{name}.log"));
        let process = Process::start(program, arguments, log)
            .map_err(io_error("a process cannot be started"))?;
        self.members.retain(|member| member.name != name);
        self.members.push(Member { name, process, probe });
        Ok(())
    }

    /// Waits until every process is ready.
    ///
    /// # Errors
    ///
    /// Fails when a process ends before it is ready, or is not ready in time.
    pub async fn wait_ready(&mut self) -> Result<(), Error> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for member in &mut self.members {
            while !member.probe.is_ready().await {
                let name = member.name.clone();
                if member.process.exit_status().is_some() {
                    return Err(Error::Ended { name, tail: member.process.tail() });
                }
                if Instant::now() >= deadline {
                    let seconds = READY_TIMEOUT.as_secs();
                    return Err(Error::NotReady { name, seconds, tail: member.process.tail() });
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    fn member(&mut self, name: &str) -> Result<&mut Member, Error> {
        self.members
            .iter_mut()
            .find(|member| member.name == name)
            .ok_or_else(|| Error::NoProcess(name.into()))
    }

    /// Sends a signal to the process `name`.
    ///
    /// # Errors
    ///
    /// Fails when the deployment has no such process.
    pub fn signal(&mut self, name: &str, signal: Signal) -> Result<(), Error> {
        self.member(name)?.process.signal(signal).map_err(io_error("the signal cannot be sent"))
    }

    /// Waits until the process `name` ends and returns its exit code; `None` when
    /// a signal killed it or it does not end within `time`.
    ///
    /// # Errors
    ///
    /// Fails when the deployment has no such process.
    pub async fn wait_exit(&mut self, name: &str, time: Duration) -> Result<Option<i32>, Error> {
        let status = self.member(name)?.process.wait(time).await;
        Ok(status.and_then(|status| status.code()))
    }

    /// Removes a process from the deployment, and kills it if it still runs.
    pub fn remove(&mut self, name: &str) {
        self.members.retain(|member| member.name != name);
    }

    /// Returns the last lines that the process `name` printed.
    ///
    /// # Errors
    ///
    /// Fails when the deployment has no such process.
    pub fn tail(&mut self, name: &str) -> Result<String, Error> {
        Ok(self.member(name)?.process.tail())
    }

    /// Returns the totals of every target, sorted by name.
    ///
    /// # Errors
    ///
    /// Fails when a target process does not answer.
    pub async fn ledgers(&self) -> Result<Vec<Summary>, Error> {
        let calls = self.plan.domains.iter().map(|domain| http::get(domain.control, "/ledger"));
        let mut summaries = Vec::new();
        for ledgers in join_all(calls).await {
            let ledgers: Ledgers = ledgers?;
            summaries.extend(ledgers.targets);
        }
        summaries.sort_by(|one, other| one.name.cmp(&other.name));
        Ok(summaries)
    }

    /// Returns every run of every target.
    ///
    /// # Errors
    ///
    /// Fails when a target process does not answer.
    pub async fn runs(&self) -> Result<Vec<Run>, Error> {
        let mut runs = Vec::new();
        for domain in &self.plan.domains {
            let part: Runs = http::get(domain.control, "/runs").await?;
            runs.extend(part.runs);
        }
        Ok(runs)
    }

    /// Sets the behaviour of a target.
    ///
    /// # Errors
    ///
    /// Fails when there is no such target, or its process does not answer.
    pub async fn set_behaviour(&self, target: &str, behaviour: Behaviour) -> Result<(), Error> {
        let change = Change { target: target.into(), behaviour };
        http::post(self.control(target)?, "/behaviour", &change).await?;
        Ok(())
    }

    /// Makes a target cold, so that it warms up again.
    ///
    /// # Errors
    ///
    /// Fails when there is no such target, or its process does not answer.
    pub async fn turn_cold(&self, target: &str) -> Result<(), Error> {
        let cold = Cold { target: target.into() };
        http::post(self.control(target)?, "/cold", &cold).await?;
        Ok(())
    }

    /// Sets the injected faults of the platform.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn set_platform(&self, switch: &Faults) -> Result<(), Error> {
        http::post(self.plan.platform_control, "/switch", switch).await?;
        Ok(())
    }

    /// Returns the control address of the process that runs `target`.
    fn control(&self, target: &str) -> Result<SocketAddr, Error> {
        let not_found = || Error::NoProcess(target.into());
        let found =
            self.plan.targets.iter().find(|other| other.id == target).ok_or_else(not_found)?;
        let domain = self.plan.domains.iter().find(|domain| domain.name == found.domain);
        Ok(domain.ok_or_else(not_found)?.control)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.members.clear();
        if !self.keeps_folder {
            let _ = std::fs::remove_dir_all(self.folder.root());
        }
    }
}

/// Returns the name of the process that runs the targets of a failure domain.
pub fn targets_process_name(domain: &str) -> CompactString {
    compact_str::format_compact!("targets-{domain}")
}

/// Splits `--name=value` in two, because the command line takes an option's value
/// as a separate argument.
fn split_option(argument: String) -> Vec<String> {
    match argument.split_once('=') {
        Some((name, value)) => vec![name.to_owned(), value.to_owned()],
        None => vec![argument],
    }
}
