//! A deterministic discrete-event simulation of a deployment: callers, routers,
//! instances, targets and the platform, with disruptions at given times.
//!
//! The simulated instances run the production state machines (packet front, mirror
//! and membership); everything around them is a model. A run depends only on the
//! scenario and the seed, so a fault that was found once can be reproduced and
//! becomes a test. The rules are checked against what callers and targets observe.
//!
//! Modules:
//! - [`site`]: the deployment: failure domains, instances, services and requests.
//! - [`preset`]: predefined sites.
//! - [`scenario`]: the load and the disruptions of a run.
//! - [`defect`]: faults that are injected into the instances on purpose.
//! - [`report`]: the outcome of the requests and the violations of the rules.
//! - [`world`]: the simulation.
//! - [`variant`]: load-balancing policies to compare.
//! - [`experiment`]: comparison of policies over many scenarios, and minimisation of
//!   a failing scenario.
//! - [`comparison`]: comparison of the placement and admission of flows under load.
//! - [`plot`]: charts of a run.

mod arrival;
mod arrival_rate;
mod caller;
pub mod comparison;
mod costs;
pub mod defect;
mod disruption;
pub mod experiment;
mod host;
mod network;
mod planned;
mod platform;
pub mod plot;
pub mod preset;
mod probe;
mod publishing;
mod queue;
pub mod report;
mod router;
mod rules;
pub mod scenario;
pub mod site;
mod strain;
mod target;
pub mod variant;
pub mod world;
