//! The routing header of a packet. The payload is opaque and never read.

use serde::{Deserialize, Serialize};

use crate::address;
use crate::flow;
use crate::request;

/// What routing may read of a packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Header {
    /// Service address that the packet is meant for.
    pub address: address::Address,
    /// Flow that the packet belongs to.
    pub flow: flow::Id,
    /// Request that the packet carries.
    pub request: request::Id,
    /// Part of the answer that is wanted, from 0.
    pub part: u32,
    /// Number of parts, at least 1.
    pub parts: u32,
    /// No packet of this flow has been answered yet.
    pub opening: bool,
    /// Last packet of this flow.
    pub closing: bool,
    /// Whether the request may run again.
    pub repeat: request::Repeat,
    /// 1 for the first try of this request by its caller.
    pub attempt: u32,
    /// How soon it is wanted.
    pub urgency: request::Urgency,
}
