//! What operators and failure tests switch at a target.

use serde::{Deserialize, Serialize};

/// How a target behaves; the default is well.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Behaviour {
    /// Refuses connections and fails calls.
    pub down: bool,
    /// Takes no new flows.
    pub draining: bool,
    /// Refuses every request before running it.
    pub shedding: bool,
    /// Receives requests and never answers.
    pub mute: bool,
    /// What its health endpoint says.
    pub health: Health,
    /// What it does with more than it bears.
    pub over: Overload,
    /// Adds so much to the work on each request, in milliseconds.
    pub slow_millis: u64,
}

/// What the health endpoint says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The truth.
    #[default]
    Honest,
    /// Serving, whatever happens.
    Serving,
    /// Not serving, whatever happens.
    NotServing,
    /// Fails.
    Error,
}

/// What a target does with more than it bears.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Overload {
    /// Queues it; cold, it falls over when that lasts.
    #[default]
    Fall,
    /// Queues it.
    Queue,
    /// Refuses it before running it.
    Shed,
}
