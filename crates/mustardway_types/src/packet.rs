//! The routing header of a packet. The payload is opaque and is never read.

use serde::{Deserialize, Serialize};

use crate::address;
use crate::flow;
use crate::request;

/// The routing header: the only part of a packet that routing reads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Header {
    /// Service address that the packet is sent to.
    pub address: address::Address,
    /// Flow that the packet belongs to.
    pub flow: flow::Id,
    /// Request that the packet carries.
    pub request: request::Id,
    /// Index of the requested part of the answer, from 0.
    pub part: u32,
    /// Number of parts of the answer, at least 1.
    pub parts: u32,
    /// Whether no packet of this flow has been answered yet.
    pub opening: bool,
    /// Whether this is the last packet of the flow.
    pub closing: bool,
    /// Whether the request may run more than once.
    pub repeat: request::Repeat,
    /// Number of the caller's attempt at this request, from 1.
    pub attempt: u32,
    /// Urgency of the request.
    pub urgency: request::Urgency,
}
