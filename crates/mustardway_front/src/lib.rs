//! Runs one instance of the packet front: connects the sans-I/O state machines to
//! sockets and a clock.
//!
//! An instance runs on one thread. One task, the [`dispatcher`], owns the state
//! machines; it reads packets in batches, handles events from peers, the platform
//! and probes, and drives the timers. The crate knows none of the platform's names
//! and formats: the traits in [`adapter`] are implemented for each platform.
//!
//! Modules:
//! - [`adapter`]: traits that a platform adapter implements.
//! - [`run`]: start, event loop and graceful shutdown of an instance.
//! - [`dispatcher`]: routes events and packets between sockets and state machines.
//! - [`input`]: events that other tasks send to the dispatcher.
//! - [`peers`]: messages exchanged with other instances.
//! - `probes`: health checks of targets.
//! - [`pause`]: detects that the process was suspended.
//! - [`report`]: rate-limited log lines about decisions.
//! - [`metrics`]: counters, gauges and latency histograms.
//! - [`load_metrics`]: metrics of the load estimates and of admission.
//! - [`load`]: the load of services and targets as a JSON document.
//! - [`http`]: HTTP server of the readiness check and the metrics.
//! - [`signals`]: signals that stop the process or reload its settings.

pub mod adapter;
pub mod dispatcher;
pub mod http;
pub mod input;
pub mod load;
pub mod load_metrics;
pub mod metrics;
pub mod pause;
pub mod peers;
mod probes;
pub mod report;
pub mod run;
pub mod signals;
