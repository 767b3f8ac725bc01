//! What the platform publishes: the configuration and the list of instances.
//!
//! The platform can only be read. [`platform::Platform`] is the border: the
//! organisation's own service can stand behind it in any shape; [`client::Client`]
//! reads it over HTTP as in [`answer`].
//!
//! Modules:
//! - [`answer`]: what it answers, with the JSON shapes.
//! - [`client`]: the platform over HTTP.
//! - [`counters`]: calls by outcome.
//! - [`failure`]: why a call gave nothing.
//! - [`throttle`]: the bound on calls a second, and the wait after failures.
//! - [`platform`]: the border.

pub mod answer;
pub mod client;
pub mod counters;
pub mod failure;
pub mod platform;
pub mod throttle;
