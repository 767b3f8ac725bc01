//! What the system tells about itself: logs, metrics and the audit trail.
//!
//! Modules:
//! - [`audit`]: the trail of configuration changes.
//! - [`fingerprint`]: cryptographic digests.
//! - [`label`]: names of plain values.
//! - [`limit`]: a bound on log lines.
//! - [`log`]: the log stream.
//! - [`metrics`]: counts, levels and times to a `StatsD` server.
//! - [`promise`]: how often each promise was seen kept or broken.
//! - [`tally`]: how often each reason ended a packet.

pub mod audit;
pub mod fingerprint;
pub mod label;
pub mod limit;
pub mod log;
pub mod metrics;
pub mod promise;
pub mod tally;
