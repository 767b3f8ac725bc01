//! Kinds of requests and the retry policy of their callers.

use std::time::Duration;

use compact_str::CompactString;
use mustardway_types::address;
use mustardway_types::request::{Repeat, Urgency};

use crate::payload::Demand;

/// Traffic profile of one kind of request.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Name shown in the report.
    pub name: CompactString,
    /// Service address that the requests go to.
    pub address: address::Address,
    /// Urgency of the requests.
    pub urgency: Urgency,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Requests per second.
    pub rate: f64,
    /// Number of flows held open.
    pub flows: usize,
    /// Number of requests after which a flow is closed; `None` keeps flows open.
    pub requests_per_flow: Option<u32>,
    /// Number of parts of each answer.
    pub parts: u32,
    /// Time after which an answer is late.
    pub deadline: Duration,
    /// Time after which a packet without reply is sent again.
    pub resend_timeout: Duration,
    /// Size of each request payload, in bytes.
    pub request_bytes: usize,
    /// Answer size and work demanded of the target.
    pub demand: Demand,
}

/// Retry policy of callers.
#[derive(Debug, Clone, Copy)]
pub struct RetryPolicy {
    /// Maximum number of attempts at one request.
    pub attempts_max: u32,
    /// Whether a packet without reply is sent again as a further attempt.
    pub resends: bool,
    /// Whether a request whose flow has ended continues on a new flow.
    pub reopens: bool,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        RetryPolicy { attempts_max: 8, resends: true, reopens: true }
    }
}
