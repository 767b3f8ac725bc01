//! Plays days of a deployment in simulated time: callers, routers, instances,
//! targets and the platform, with troubles at set times.
//!
//! The instances are the product's own decisions (packet front, mirror and
//! membership); everything around them is a model. A day is a function of its
//! description and its seed, so a fault that was found once is found again, and
//! becomes a test. Rules are judged from what callers and targets see.
//!
//! Modules:
//! - [`site`]: the deployment: failure domains, machines, services, callers.
//! - [`day`]: what happens on a day.
//! - [`report`]: what became of the requests, and the rules that were broken.
//! - [`world`]: the simulation.

mod caller;
pub mod day;
mod host;
mod judge;
mod network;
mod platform;
mod probe;
mod queue;
pub mod report;
mod router;
pub mod site;
mod target;
mod trouble;
pub mod world;
