//! Telemetry of an instance: logs, metrics, counters and the audit trail.
//!
//! Modules:
//! - [`audit`]: the tamper-evident trail of configuration changes.
//! - [`fingerprint`]: SHA-256 digests of texts and records.
//! - [`label`]: the names of enum values in JSON, tables and metrics.
//! - [`limit`]: the rate limit of log lines.
//! - [`log`]: the asynchronous log stream.
//! - [`metrics`]: counters, gauges and timings sent to a `StatsD` server.
//! - [`promise`]: how often each promise was observed kept or violated.
//! - [`tally`]: the number of packets answered for each reason.

pub mod audit;
pub mod fingerprint;
pub mod label;
pub mod limit;
pub mod log;
pub mod metrics;
pub mod promise;
pub mod tally;
