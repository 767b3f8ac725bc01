//! Shared estimates of the load of routes and the speed of targets.
//!
//! Each instance sees a small share of the flows. It records what callers' packets show,
//! and the instances of a failure domain add their records up along a tree. The instance
//! at the root computes the estimates and sends a summary back down the tree. The
//! roots of the failure domains exchange their sums. Bytes per instance are bounded
//! for any number of instances, for a given number of failure domains.
//!
//! The crate does no I/O: samples and events with a given time go in, actions come out.
//!
//! Modules:
//! - [`key`]: identifiers of targets and routes in messages.
//! - [`sample`]: what one instance observes.
//! - [`sums`]: sums of samples.
//! - [`estimate`]: estimates from sums, which decay over time.
//! - `rates`: rates and times of one route.
//! - [`flows`]: the open flows of an instance and of its peers.
//! - [`view`]: the estimates as an instance uses them.
//! - [`message`]: messages between instances.
//! - [`column`]: entries of targets in messages.
//! - [`schedule`]: the choice of the targets in a summary.
//! - [`topology`]: the position of an instance in the trees.
//! - [`node`]: the state machine of one instance.

pub mod column;
pub mod estimate;
pub mod flows;
pub mod key;
pub mod message;
pub mod node;
mod rates;
pub mod sample;
pub mod schedule;
pub mod sums;
pub mod topology;
pub mod view;
