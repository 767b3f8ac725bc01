//! Behaviour of a target, set by operators and failure tests.

use serde::{Deserialize, Serialize};

/// Injected behaviour of a target; the default is a healthy target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Behaviour {
    /// Whether the target refuses connections and fails calls.
    pub down: bool,
    /// Whether the target refuses new flows.
    pub draining: bool,
    /// Whether the target refuses every request before running it.
    pub shedding: bool,
    /// Whether the target receives requests and never answers.
    pub mute: bool,
    /// Answer of the health service.
    pub health: Health,
    /// Reaction to load above the capacity.
    pub over: Overload,
    /// Extra time to work on each request, in milliseconds.
    pub slow_millis: u64,
}

/// Answer of the health service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The real state of the target.
    #[default]
    Honest,
    /// Always serving.
    Serving,
    /// Always not serving.
    NotServing,
    /// The check fails.
    Error,
}

/// Reaction of a target to load above its capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Overload {
    /// Queues requests; a cold target crashes when the overload persists.
    #[default]
    Fall,
    /// Queues requests.
    Queue,
    /// Refuses requests before running them (load shedding).
    Shed,
}
