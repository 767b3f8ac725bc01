//! A running deployment.

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

/// Longest wait until everything is ready.
const READY_MAX: Duration = Duration::from_secs(30);

/// Time between two looks whether it is.
const POLL: Duration = Duration::from_millis(50);

/// Why a deployment does not come up or go on.
#[derive(Debug, Display)]
pub enum Error {
    /// {what}: {error}
    System {
        /// What was tried.
        what: &'static str,
        /// What the system said.
        error: io::Error,
    },
    /// {name} ended before it was ready; its last lines: {tail}
    Ended {
        /// Process.
        name: CompactString,
        /// What it printed.
        tail: String,
    },
    /// {name} is not ready after {seconds} s; its last lines: {tail}
    NotReady {
        /// Process.
        name: CompactString,
        /// How long was waited.
        seconds: u64,
        /// What it printed.
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

/// Wraps an error of the system.
fn system(what: &'static str) -> impl Fn(io::Error) -> Error {
    move |error| Error::System { what, error }
}

/// What an instance is ready by.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Its admin address answers `GET /ready` with 200.
    #[default]
    Admin,
    /// Its front accepts connections.
    Front,
}

/// What a process is ready by.
#[derive(Debug, Clone, Copy)]
enum Probe {
    Answers { address: SocketAddr, path: &'static str },
    Accepts { address: SocketAddr },
}

impl Probe {
    async fn is_ready(self) -> bool {
        match self {
            Probe::Answers { address, path } => http::is_ok(address, path).await,
            Probe::Accepts { address } => TcpStream::connect(address).await.is_ok(),
        }
    }
}

/// One process of a deployment.
#[derive(Debug)]
struct Member {
    name: CompactString,
    process: Process,
    probe: Probe,
}

/// How instances are started.
#[derive(Debug, Clone)]
pub struct Launch {
    /// Program that they run.
    pub binary: PathBuf,
    /// What they are ready by.
    pub readiness: Readiness,
}

/// A running deployment; all of it ends when dropped.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    folder: Folder,
    launch: Launch,
    members: Vec<Member>,
    keeps_folder: bool,
}

impl Fleet {
    /// Starts everything of `plan` and waits until it is ready. Instances start
    /// as `launch` says; stand-ins run this very program.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started or is not ready in time.
    pub async fn start(plan: Plan, launch: Launch, root: PathBuf) -> Result<Fleet, Error> {
        let folder = Folder::create(root, &plan).map_err(system("the files cannot be written"))?;
        let mut fleet = Fleet { plan, folder, launch, members: Vec::new(), keeps_folder: false };
        fleet.start_stand_ins()?;
        fleet.wait_ready().await?;
        for instance in fleet.plan.instances.clone() {
            fleet.start_instance(&instance)?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Its plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Its files.
    pub fn folder(&self) -> &Folder {
        &self.folder
    }

    /// Keeps its files when it ends.
    pub fn keep_folder(&mut self) {
        self.keeps_folder = true;
    }

    fn start_stand_ins(&mut self) -> Result<(), Error> {
        let own = std::env::current_exe().map_err(system("the program has no path"))?;
        let arguments = self.platform_arguments();
        let probe = Probe::Answers { address: self.plan.platform, path: "/calls" };
        self.add("platform".into(), &own, &arguments, probe)?;
        for domain in self.plan.domains.clone() {
            let arguments = self.target_arguments(&domain.name, domain.control);
            let probe = Probe::Answers { address: domain.control, path: "/ledger" };
            self.add(targets_of(&domain.name), &own, &arguments, probe)?;
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
        .flat_map(split)
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
        arguments.into_iter().flat_map(split).collect()
    }

    /// Starts an instance, or starts it again.
    ///
    /// # Errors
    ///
    /// Returns the error of starting.
    pub fn start_instance(&mut self, instance: &Instance) -> Result<(), Error> {
        let settings = self.folder.settings(instance).display().to_string();
        let arguments = ["run".to_owned(), "--settings".to_owned(), settings];
        let probe = match self.launch.readiness {
            Readiness::Admin => Probe::Answers { address: instance.admin, path: "/ready" },
            Readiness::Front => Probe::Accepts { address: instance.front },
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
            .map_err(system("a process cannot be started"))?;
        self.members.retain(|member| member.name != name);
        self.members.push(Member { name, process, probe });
        Ok(())
    }

    /// Waits until every process is ready.
    ///
    /// # Errors
    ///
    /// Fails when one ends, or is not ready in time.
    pub async fn wait_ready(&mut self) -> Result<(), Error> {
        let deadline = Instant::now() + READY_MAX;
        for member in &mut self.members {
            while !member.probe.is_ready().await {
                let name = member.name.clone();
                if member.process.ended().is_some() {
                    return Err(Error::Ended { name, tail: member.process.tail() });
                }
                if Instant::now() >= deadline {
                    let seconds = READY_MAX.as_secs();
                    return Err(Error::NotReady { name, seconds, tail: member.process.tail() });
                }
                tokio::time::sleep(POLL).await;
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
    /// Fails when there is no such process.
    pub fn signal(&mut self, name: &str, signal: Signal) -> Result<(), Error> {
        self.member(name)?.process.signal(signal).map_err(system("no signal"))
    }

    /// Waits until the process `name` ends; gives its exit code, `None` when it
    /// was killed or does not end within `time`.
    ///
    /// # Errors
    ///
    /// Fails when there is no such process.
    pub async fn wait_end(&mut self, name: &str, time: Duration) -> Result<Option<i32>, Error> {
        let status = self.member(name)?.process.wait(time).await;
        Ok(status.and_then(|status| status.code()))
    }

    /// Takes a process that has ended off the deployment.
    pub fn forget(&mut self, name: &str) {
        self.members.retain(|member| member.name != name);
    }

    /// The last lines that the process `name` printed.
    ///
    /// # Errors
    ///
    /// Fails when there is no such process.
    pub fn tail(&mut self, name: &str) -> Result<String, Error> {
        Ok(self.member(name)?.process.tail())
    }

    /// Totals of every target, in the order of the plan.
    ///
    /// # Errors
    ///
    /// Fails when a process of targets does not answer.
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

    /// Every run of every target.
    ///
    /// # Errors
    ///
    /// Fails when a process of targets does not answer.
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
    /// Fails when there is no such target, or no answer.
    pub async fn set_behaviour(&self, target: &str, behaviour: Behaviour) -> Result<(), Error> {
        let change = Change { target: target.into(), behaviour };
        http::post(self.control(target)?, "/behaviour", &change).await?;
        Ok(())
    }

    /// Turns a target cold.
    ///
    /// # Errors
    ///
    /// Fails when there is no such target, or no answer.
    pub async fn turn_cold(&self, target: &str) -> Result<(), Error> {
        let cold = Cold { target: target.into() };
        http::post(self.control(target)?, "/cold", &cold).await?;
        Ok(())
    }

    /// Makes the platform fail, or work again.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer.
    pub async fn set_platform(&self, switch: &Faults) -> Result<(), Error> {
        http::post(self.plan.platform_control, "/switch", switch).await?;
        Ok(())
    }

    fn control(&self, target: &str) -> Result<SocketAddr, Error> {
        let none = || Error::NoProcess(target.into());
        let found = self.plan.targets.iter().find(|other| other.id == target).ok_or_else(none)?;
        let domain = self.plan.domains.iter().find(|domain| domain.name == found.domain);
        Ok(domain.ok_or_else(none)?.control)
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

/// Name of the process that holds the targets of a failure domain.
pub fn targets_of(domain: &str) -> CompactString {
    compact_str::format_compact!("targets-{domain}")
}

/// Splits `--name=value`, which the command line takes as two words.
fn split(argument: String) -> Vec<String> {
    match argument.split_once('=') {
        Some((name, value)) => vec![name.to_owned(), value.to_owned()],
        None => vec![argument],
    }
}
