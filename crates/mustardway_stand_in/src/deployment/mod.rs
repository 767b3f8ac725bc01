//! Complete deployments of a user's size on loopback, with one IP address per
//! instance, target and platform.
//!
//! A deployment runs one platform process, one process for the targets of each
//! failure domain, and the instances as real processes of the mustardway binary.
//! The callers and the fabric run in the process that starts the deployment.
//!
//! Modules:
//! - [`user`]: users with the sizes of their deployments and their workloads.
//! - [`plan`]: addresses and names of instances, targets and services.
//! - [`files`]: configuration files, settings and the instance list.
//! - [`process`]: child processes that end with their parent.
//! - [`fleet`]: the running processes of a deployment.
//! - [`traffic`]: the callers of a deployment.
//! - [`audit`]: compares callers' answers with the runs of targets.
//! - [`table`]: text tables.
//! - [`summary`]: the result of a run.

pub mod audit;
pub mod files;
pub mod fleet;
pub mod plan;
pub mod process;
pub mod summary;
pub mod table;
pub mod traffic;
pub mod user;
