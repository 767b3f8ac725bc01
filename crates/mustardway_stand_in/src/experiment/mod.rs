//! Measures over whole deployments, with changes and faults under load.
//!
//! Modules:
//! - [`scenario`]: what happens during a run.
//! - [`run`]: one scenario with one seed.
//! - [`probe`]: times taken during a run.
//! - [`figure`]: what is measured, over seeds.

pub mod figure;
pub mod probe;
pub mod run;
pub mod scenario;
