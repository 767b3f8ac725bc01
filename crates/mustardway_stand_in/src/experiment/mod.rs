//! Experiments that measure whole deployments while changes and faults happen
//! under load.
//!
//! Modules:
//! - [`scenario`]: the changes and faults during a run.
//! - [`run`]: runs one scenario with one seed.
//! - [`probe`]: measures propagation time and added latency during a run.
//! - [`figure`]: measures and their spread over seeds.

pub mod figure;
pub mod probe;
pub mod run;
pub mod scenario;
