//! Requests on a flow.

use serde::{Deserialize, Serialize};

crate::hex_id::define! {
    /// Id of a request, unique within its flow.
    Id
}

/// How soon a request is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Bookings, manifests, downloads.
    Ordinary,
    /// Alerts.
    Urgent,
}

/// Whether a request may run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Idempotent: running it twice does no harm.
    Idempotent,
    /// Runs at most once.
    Once,
}
