//! Gossip membership: each instance keeps the list of live instances, without
//! a store or a coordinator.
//!
//! Each instance sends heartbeats to a few neighbours on two hashed rings, one
//! inside its failure domain and one across failure domains. An instance that
//! hears nothing from a neighbour queries others before it declares the
//! neighbour dead. Changes are gossiped along the neighbour links.
//! Anti-entropy repairs lost changes: every heartbeat carries a digest of the
//! sender's table. The platform's instance list only supplies candidates to
//! probe; it never proves that an instance is live or dead.
//!
//! The crate does no I/O: it takes events with a given time and returns
//! actions.
//!
//! Modules:
//! - [`node`]: the state machine of one instance.
//! - [`event`], [`action`]: input and output of the state machine.
//! - [`message`]: messages between instances.
//! - [`member`]: instances, their states and records.
//! - [`roster`]: the platform's instance list.
//! - [`settings`]: identity and timing of one instance.
//! - [`count`]: counters of ignored input and of decisions.

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
mod round_trips;
pub mod settings;
mod suspicion;
mod table;
