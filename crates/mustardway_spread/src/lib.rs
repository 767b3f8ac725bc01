//! Configuration files to every instance: in force everywhere within seconds,
//! never back to an earlier revision.
//!
//! A few readers in each failure domain watch the platform. A new revision is
//! offered along the membership neighbours, pulled as a difference from the
//! revision in force, checked by its digest and proposed to the caller, whose
//! verdict puts it in force. Files are opaque here. Heartbeats carry the
//! revision in force and the time since the platform confirmed it; an instance
//! that sees no recent confirmation reads the platform itself.
//!
//! This crate does no input or output: events with a given time go in,
//! actions come out.
//!
//! Modules:
//! - [`replica`]: the decisions of one instance.
//! - [`event`], [`action`]: what goes in and what comes out.
//! - [`message`]: what instances say to each other.
//! - [`set`]: the files of one revision.
//! - [`platform`]: what the platform answers.
//! - [`readers`]: which instances watch the platform.
//! - [`report`]: what is told to operators, and counters.
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
