//! Where a packet goes: candidates of a flow, owners of targets, and the steps
//! of an ingress from a packet to its answer.
//!
//! Everything here is a decision: the view, the live instances and every point
//! of time are given, and the same input gives the same output on every
//! instance. That agreement is what lets instances act as one load balancer
//! without sharing state.
//!
//! Modules:
//! - [`attempt`]: the state machine of one packet at its ingress.
//! - [`budget`]: the retry budget.
//! - [`cache`]: the bounded memory of flows that an ingress has forwarded.
//! - [`live`]: the live instances by failure domain.
//! - [`owner`]: which instance owns a target.
//! - [`snapshot`]: one consistent input for decisions.
//! - [`step`]: questions, replies and next steps of an attempt.
//! - [`tree`]: weighted rendezvous hashing in logarithmic time.

pub mod attempt;
pub mod budget;
pub mod cache;
pub mod live;
pub mod owner;
pub mod snapshot;
pub mod step;
pub mod tree;
