//! A whole deployment of a user's size on loopback, an IP address a process.
//!
//! One platform, the targets of each failure domain in a process of their own,
//! and the instances as real processes of the product's binary. The callers
//! and the fabric live in the process that starts it.
//!
//! Modules:
//! - [`user`]: whose deployment, with its workload.
//! - [`plan`]: addresses and names of everything.
//! - [`files`]: configuration files and settings.
//! - [`process`]: child processes that end with their parent.
//! - [`fleet`]: a running deployment.
//! - [`traffic`]: the callers of a deployment.
//! - [`audit`]: what callers were told against what targets ran.
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
