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
//! - [`defect`]: instances with a fault put in on purpose.
//! - [`report`]: what became of the requests, and the rules that were broken.
//! - [`world`]: the simulation.
//! - [`variant`]: ways to choose targets, for comparison.
//! - [`experiment`]: variants over many days, and the smallest day that fails.
//! - [`plot`]: pictures of a day.

mod caller;
pub mod defect;
mod disruption;
pub mod experiment;
mod host;
mod network;
mod platform;
pub mod plot;
mod probe;
mod queue;
pub mod report;
mod router;
mod rules;
pub mod scenario;
pub mod site;
mod target;
pub mod variant;
pub mod world;
