//! The decisions of one instance of the packet front: where each packet goes.
//!
//! Callers and targets carry a token in every packet of a flow that names the
//! flow's target, so any instance forwards any packet without having seen the
//! flow before. What an instance remembers of flows serves only to notice
//! targets that no longer answer, to spread load, and to reset flows that
//! cannot go on.
//!
//! This crate does no input or output: events with a given time go in, verdicts
//! and actions come out.
//!
//! Modules:
//! - [`packet`]: the parts of a packet that decide where it goes.
//! - [`token`]: the name of a target inside packets.
//! - [`demand`]: how much of what callers ask can be placed.
//! - [`directory`]: routes and targets as published.
//! - [`pulse`]: whether this instance itself is quick.
//! - [`signal`]: what is noticed of a target without asking it.
//! - [`health`]: whether a target is used, and when it is probed.
//! - [`cold`]: new flows that a cold target bears.
//! - [`opening`]: opening packets that wait for the caller's next packet.
//! - [`placement`]: the target of a new flow.
//! - [`table`]: flows seen here.
//! - [`front`]: the decisions joined.
//! - [`note`]: decisions worth a log line, and why packets are dropped.

pub mod demand;
pub mod directory;
pub mod front;
pub mod health;
pub mod note;
pub mod observation;
pub mod opening;
pub mod packet;
pub mod placement;
pub mod responsiveness;
pub mod slow_start;
pub mod table;
pub mod token;
