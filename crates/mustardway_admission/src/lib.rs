//! Admission control of new flows to services that have less capacity than demand.
//!
//! All instances compute the same admitted load of each route from the same estimates, see
//! `mustardway_load`. A flow that cannot be served is refused before any target has seen
//! it, the least urgent first. Nothing is refused while targets have spare capacity.
//!
//! The crate does no I/O; times and loads are arguments.
//!
//! Modules:
//! - [`service`]: the load of a service.
//! - [`contention`]: whether a service is full, with hysteresis.
//! - [`allocation`]: the load of each route that is admitted.
//! - [`callers`]: fair shares of the callers of a route.
//! - [`controller`]: the decision on each new flow.

pub mod allocation;
pub mod callers;
pub mod contention;
pub mod controller;
pub mod service;
