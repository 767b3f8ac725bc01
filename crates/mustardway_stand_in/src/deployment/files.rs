//! Configuration files and settings of a deployment.
//!
//! Each domain, service and target has a file of its own, so that a change adds,
//! replaces or removes exactly one file.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use mustardway_types::time;

use super::plan::{Domain, Instance, Limits, Plan, Service, Target};
use crate::platform::message::{self, InstanceState, Instances};

/// State of a failure domain in its configuration file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DomainState {
    /// The domain serves traffic.
    In,
    /// Operators have taken the domain out of service.
    Out,
}

/// State of a target in its configuration file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// The target accepts new flows.
    Serving,
    /// The target keeps its flows and accepts no new ones.
    Leaving,
}

/// Folder that holds the configuration, settings, instance list and logs of a deployment.
#[derive(Debug)]
pub struct Folder {
    root: PathBuf,
}

impl Folder {
    /// Creates `root` and writes the files of `plan` in it.
    ///
    /// # Errors
    ///
    /// Returns the first I/O error.
    pub fn create(root: PathBuf, plan: &Plan) -> io::Result<Folder> {
        let folder = Folder { root };
        fs::create_dir_all(folder.configuration())?;
        fs::create_dir_all(folder.logs())?;
        folder.put("00-defaults.ini", &defaults_text(&plan.limits))?;
        for domain in &plan.domains {
            folder.put_domain(plan, domain, DomainState::In)?;
        }
        for service in &plan.services {
            folder.put(&format!("20-service-{}.ini", service.name), &service_text(service))?;
        }
        for target in &plan.targets {
            folder.put_target(target, TargetState::Serving)?;
        }
        for instance in &plan.instances {
            fs::write(folder.settings(instance), settings_text(plan, instance))?;
        }
        folder.put_instances(&plan.instances)?;
        Ok(folder)
    }

    /// Returns the folder of the configuration files.
    pub fn configuration(&self) -> PathBuf {
        self.root.join("configuration")
    }

    /// Returns the folder of the log files.
    pub fn logs(&self) -> PathBuf {
        self.root.join("logs")
    }

    /// Returns the path of the settings file of `instance`.
    pub fn settings(&self, instance: &Instance) -> PathBuf {
        self.root.join(format!("{}.ini", instance.id))
    }

    /// Returns the path of the instance list.
    pub fn instances(&self) -> PathBuf {
        self.root.join("instances.json")
    }

    /// Returns the root folder of the deployment.
    pub fn root(&self) -> &Path {
        &self.root
    }

    /// Adds or replaces a configuration file atomically.
    ///
    /// # Errors
    ///
    /// Returns the I/O error when the file cannot be written.
    pub fn put(&self, name: &str, text: &str) -> io::Result<()> {
        replace_file(&self.configuration().join(name), text)
    }

    /// Removes a configuration file.
    ///
    /// # Errors
    ///
    /// Returns the I/O error when the file cannot be removed.
    pub fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.configuration().join(name))
    }

    /// Writes the file of a failure domain with the given state.
    ///
    /// # Errors
    ///
    /// Returns the I/O error when the file cannot be written.
    pub fn put_domain(&self, plan: &Plan, domain: &Domain, state: DomainState) -> io::Result<()> {
        let text = domain_text(plan, domain, state);
        self.put(&format!("10-domain-{}.ini", domain.name), &text)
    }

    /// Writes the file of a target with the given state.
    ///
    /// # Errors
    ///
    /// Returns the I/O error when the file cannot be written.
    pub fn put_target(&self, target: &Target, state: TargetState) -> io::Result<()> {
        self.put(&target_file(target), &target_text(target, state))
    }

    /// Writes the list of live instances.
    ///
    /// # Errors
    ///
    /// Returns the I/O error when the file cannot be written.
    pub fn put_instances<'a>(
        &self,
        instances: impl IntoIterator<Item = &'a Instance>,
    ) -> io::Result<()> {
        let instances = instances.into_iter().map(list_entry).collect();
        let text = serde_json::to_string(&Instances { instances })?;
        replace_file(&self.instances(), &text)
    }
}

/// Returns the name of the configuration file of `target`.
pub fn target_file(target: &Target) -> String {
    format!("30-target-{}.ini", target.id)
}

/// Writes a temporary file and renames it, so that no reader sees a partial file.
///
/// The platform reads only `.ini` files and ignores the temporary file.
fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let temporary = path.with_extension("half");
    fs::write(&temporary, text)?;
    fs::rename(temporary, path)
}

fn list_entry(instance: &Instance) -> message::Instance {
    message::Instance {
        id: instance.id.clone(),
        domain: instance.domain.clone(),
        peer: instance.peer,
        state: InstanceState::Live,
    }
}

fn defaults_text(limits: &Limits) -> String {
    let Limits { slots, cold_slots, connections, warm_up, queue } = limits;
    let warm_up = time::Span::from(*warm_up);
    format!(
        "[defaults target]\nweight=100\nslots={slots}\ncold-slots={cold_slots}\n\
         connections={connections}\nwarm-up={warm_up}\nqueue={queue}\n"
    )
}

fn domain_text(plan: &Plan, domain: &Domain, state: DomainState) -> String {
    let state = match state {
        DomainState::In => "in",
        DomainState::Out => "out",
    };
    format!("[domain {}]\nregion={}\nstate={state}\n", domain.name, plan.user.region())
}

fn service_text(service: &Service) -> String {
    format!("[service {}]\naddresses={}\n", service.name, service.address)
}

fn target_text(target: &Target, state: TargetState) -> String {
    let state = match state {
        TargetState::Serving => "serving",
        TargetState::Leaving => "leaving",
    };
    let Target { id, service, domain, endpoint, .. } = target;
    format!(
        "[target {id}]\nservice={service}\ndomain={domain}\nendpoint={endpoint}\nstate={state}\n"
    )
}

fn settings_text(plan: &Plan, instance: &Instance) -> String {
    let Instance { id, domain, front, peer, admin } = instance;
    format!(
        "[instance]\nname={id}\ndomain={domain}\nfront={front}\npeer={peer}\nadmin={admin}\n\n\
         [platform]\naddresses={}\n\n[log]\nlevel=info\nform=json\n",
        plan.platform
    )
}
