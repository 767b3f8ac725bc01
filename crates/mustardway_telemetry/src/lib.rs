//! What the system tells about itself.
//!
//! Modules:
//! - [`limit`]: a bound on log lines.

pub mod limit;
