//! Reads what the platform publishes: the configuration and the list of instances.
//!
//! The platform can only be read. [`platform::Platform`] is the interface to it:
//! an implementation can connect to the organisation's own service in any form.
//! [`client::Client`] reads the platform over HTTP, in the form of [`answer`].
//!
//! Modules:
//! - [`answer`]: the answers of the platform and their JSON form.
//! - [`client`]: the client that reads the platform over HTTP.
//! - [`counters`]: the counters of calls by outcome.
//! - [`failure`]: why a call failed.
//! - [`throttle`]: the rate limit of calls, with backoff after failures.
//! - [`platform`]: the interface to the platform.

pub mod answer;
pub mod client;
pub mod counters;
pub mod failure;
pub mod platform;
pub mod throttle;
