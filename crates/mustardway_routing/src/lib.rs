//! Packet routing: the candidate targets of a flow, the owners of targets, and
//! the steps of an ingress from a packet to its answer.
//!
//! The crate is deterministic and does no I/O. The view, the live instances and
//! the time are arguments, and the same input gives the same output on every
//! instance. This lets the instances act as one load balancer without shared
//! state.
//!
//! Modules:
//! - [`attempt`]: the state machine of one packet at its ingress.
//! - [`budget`]: the retry budget.
//! - [`cache`]: the bounded cache of flows that an ingress has forwarded.
//! - [`live`]: the live instances by failure domain.
//! - [`owner`]: selection of the instance that owns a target.
//! - [`snapshot`]: one consistent input for routing decisions.
//! - [`step`]: asks, replies and steps of an attempt.
//! - [`tree`]: weighted rendezvous hashing in logarithmic time.

pub mod attempt;
pub mod budget;
pub mod cache;
pub mod live;
pub mod owner;
pub mod snapshot;
pub mod step;
pub mod tree;
