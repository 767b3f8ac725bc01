//! A copy of what the platform publishes, kept fresh with few calls.
//!
//! One instance of the fleet reads the changes at a steady pace and pushes them
//! to its own failure domain and to one relay in each other domain. Every other
//! instance reads for itself only once its copy is older than its patience,
//! which grows with its place in the ranks, so a reader that dies, freezes or is
//! cut off is replaced without any agreement. Reading is never exclusive: two
//! readers cost calls and nothing else.
//!
//! This crate does no input or output: events with a given time go in, actions
//! come out. It answers the load on the platform: calls a second for any number
//! of instances.
//!
//! Modules:
//! - [`publication`]: what is published, in the project's own types.
//! - [`replica`]: the latest published state and the changes that led to it.
//! - [`departed`]: targets that vanished a short while ago.
//! - [`message`]: what instances say to each other.
//! - [`topology`]: who is pushed to, and how patient an instance is.
//! - [`node`]: the decisions of one instance.

pub mod departed;
pub mod message;
pub mod node;
pub mod publication;
pub mod replica;
pub mod topology;
