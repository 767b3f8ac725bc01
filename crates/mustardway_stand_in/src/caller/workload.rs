//! Kinds of requests.

use std::time::Duration;

use compact_str::CompactString;
use mustardway_types::address;
use mustardway_types::request::{Repeat, Urgency};

use crate::payload::Demand;

/// One kind of request.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Name in the report.
    pub name: CompactString,
    /// Service address that it goes to.
    pub address: address::Address,
    /// How soon it is wanted.
    pub urgency: Urgency,
    /// Whether it may run again.
    pub repeat: Repeat,
    /// Requests a second.
    pub rate: f64,
    /// Flows that are held open for it.
    pub flows: usize,
    /// Requests after which a flow is closed; `None` keeps it open.
    pub requests_per_flow: Option<u32>,
    /// Parts of each answer.
    pub parts: u32,
    /// Time until an answer is late.
    pub deadline: Duration,
    /// Time until a packet without reply is sent again.
    pub resend_timeout: Duration,
    /// Size of each request, in bytes.
    pub request_bytes: usize,
    /// What it asks of the target.
    pub demand: Demand,
}

/// Whether callers come back, and how often.
#[derive(Debug, Clone, Copy)]
pub struct RetryPolicy {
    /// Attempts at one request, at most.
    pub attempts_max: u32,
    /// Sends a packet without reply again, as a further attempt.
    pub resends: bool,
    /// Opens a new flow for a request whose flow has ended.
    pub reopens: bool,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        RetryPolicy { attempts_max: 8, resends: true, reopens: true }
    }
}
