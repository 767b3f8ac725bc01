//! Admission control of new flows to services that have less capacity than demand.
//!
//! Each instance judges by its own requests which part of the load does not fit, and takes it
//! from the routes by the same shared estimates of their load, see `mustardway_load`. A flow that cannot be served is refused before any target has seen
//! it, the least urgent first. Nothing is refused while targets have spare capacity.
//!
//! The crate does no I/O; times and loads are arguments.
//!
//! Modules:
//! - [`service`]: the load of a service.
//! - [`congestion`]: the part of the load that does not fit, from waits and rejections.
//! - [`allocation`]: the load of each route that is admitted.
//! - [`callers`]: fair shares of the callers of a route.
//! - [`controller`]: the decision on each new flow.

pub mod allocation;
pub mod callers;
pub mod congestion;
pub mod controller;
pub mod service;
