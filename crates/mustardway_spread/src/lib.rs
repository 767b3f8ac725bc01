//! Replication of the configuration files to all instances. A new revision is in
//! force everywhere within seconds, and no instance goes back to an earlier one.
//!
//! A few instances in each failure domain, the readers, watch the platform with
//! long polls. An instance offers a new revision to its membership neighbours,
//! which pull it as a difference from the revision in force, check its digest
//! and propose it to the caller. The caller's verdict puts it in force. The
//! content of the files is opaque to this crate. Heartbeats carry the revision
//! in force and the time since the platform confirmed it; an instance that sees
//! no recent confirmation reads the platform itself.
//!
//! The crate does no I/O: it takes events with a given time and returns
//! actions.
//!
//! Modules:
//! - [`replica`]: the state machine of one instance.
//! - [`event`], [`action`]: input and output of the state machine.
//! - [`message`]: messages between instances.
//! - [`set`]: the files of one revision.
//! - [`platform`]: answers of the platform.
//! - [`readers`]: the choice of the instances that watch the platform.
//! - [`report`]: reports to operators, and counters.
//! - [`settings`]: identity and timing of one instance.

pub mod action;
mod adoption;
mod delta;
pub mod event;
pub mod message;
pub mod platform;
mod pull;
pub mod readers;
mod reading;
pub mod replica;
pub mod report;
pub mod set;
pub mod settings;
mod transfer;
