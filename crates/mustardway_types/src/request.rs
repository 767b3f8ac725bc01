//! Ids and properties of requests.

use serde::{Deserialize, Serialize};

crate::hex_id::define! {
    /// Id of a request, unique within its flow.
    Id
}

/// Urgency of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Ordinary requests, such as bookings, manifests and downloads.
    Ordinary,
    /// Urgent requests, such as alerts.
    Urgent,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The request is idempotent and may run more than once.
    Idempotent,
    /// The request may run at most once.
    Once,
}
