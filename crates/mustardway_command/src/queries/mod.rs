//! Subcommands that print information and change nothing.
//!
//! Modules:
//! - [`audit`]: prints and verifies the audit trail of an instance.
//! - [`check`]: validates a folder of configuration files.
//! - [`diff`]: compares a folder with another configuration.
//! - [`explain`]: explains which target the next packet of a flow goes to.
//! - [`instance`]: print one response of the administration API each.
//! - [`log`]: reads log lines of the packet front.
//! - [`losses`]: tells from log files which flows were lost or late, and why.
//! - [`movement`]: estimates the share of new flows that a change moves.
//! - [`timeline`]: reconstructs the course of a flow of the packet front from log files.

pub mod audit;
pub mod check;
pub mod diff;
pub mod explain;
pub mod instance;
pub mod log;
pub mod losses;
pub mod movement;
pub mod timeline;
