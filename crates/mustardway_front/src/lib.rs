//! One instance of the packet front: the decisions joined to sockets and a clock.
//!
//! One thread does all of it. One task owns the decisions; it reads packets in
//! batches, takes what peers, the platform and probes say, and ticks. Nothing of
//! the platform's names or formats is known here: [`adapter`] says what an adapter
//! has to bring.
//!
//! Modules:
//! - [`adapter`]: what an adapter brings.
//! - [`run`]: an instance from its start to its stop.
//! - [`control`]: the task that owns the decisions.
//! - [`input`]: what that task is told.
//! - [`peers`]: frames from and to other instances.
//! - [`pause`]: notices that the process did not run.
//! - [`report`]: what is told of decisions.
//! - [`metrics`]: counters, levels and latency histograms.
//! - [`http`]: the server of the readiness check and the metrics.
//! - [`signals`]: signals that stop the process or make it read its settings.

pub mod adapter;
pub mod control;
pub mod http;
pub mod input;
pub mod metrics;
pub mod pause;
pub mod peers;
pub mod report;
pub mod run;
pub mod signals;
