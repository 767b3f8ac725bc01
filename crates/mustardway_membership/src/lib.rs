//! Who lives: the live list of instances, without any store or coordinator.
//!
//! Each instance heartbeats a few neighbours on two hashed rings, one inside
//! its failure domain and one across failure domains. Watchers that hear
//! nothing of a neighbour ask others before they declare it dead. Changes
//! flood along the neighbour links; digests in every heartbeat find and mend
//! what was lost. The platform's instance list introduces candidates and is
//! never proof of life or death.
//!
//! This crate does no input or output: events with a given time go in,
//! actions come out.
//!
//! Modules:
//! - [`node`]: the decisions of one instance.
//! - [`event`], [`action`]: what goes in and what comes out.
//! - [`message`]: what instances say to each other.
//! - [`member`]: instances, their states and records.
//! - [`roster`]: the platform's instance list.
//! - [`settings`]: identity and timing of one instance.
//! - [`count`]: counters of what was ignored or decided.

pub mod action;
mod anti_entropy;
mod claim;
mod contact;
pub mod count;
pub mod event;
mod fence;
mod gossip;
mod heartbeat;
pub mod member;
pub mod message;
pub mod node;
mod probe;
mod ring;
pub mod roster;
pub mod settings;
mod suspicion;
mod table;
