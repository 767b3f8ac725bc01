//! The settings of an instance as plain data.

use std::net::SocketAddr;

use displaydoc::Display;
use mustardway_types::{domain, instance, size, time};

use crate::token;

/// All settings of an instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name, failure domain and addresses of the instance.
    pub instance: Instance,
    /// Source of the configuration.
    pub platform: Platform,
    /// Limits on packet size and on stored flows and audit records.
    pub limits: Limits,
    /// What the instance logs.
    pub log: Log,
    /// Destination of the metrics.
    pub metrics: Metrics,
    /// Timing of heartbeats, leases and shutdown.
    pub timing: Timing,
}

/// Name, failure domain and addresses of an instance.
#[derive(Debug, Clone)]
pub struct Instance {
    /// Name of the instance, unique in the whole system.
    pub name: instance::Id,
    /// Failure domain of the instance.
    pub domain: domain::Name,
    /// Address to which callers send.
    pub front: SocketAddr,
    /// Address to which other instances send.
    pub peer: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Secret token of the administration API.
    pub token: Option<token::Token>,
    /// Number of threads that serve the shared tables.
    pub workers: u32,
}

/// Source of the configuration.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Addresses of the platform, at least one.
    pub addresses: Vec<SocketAddr>,
    /// Longest wait of one blocking get.
    pub wait: time::Span,
}

/// Limits on packet size and on what an instance stores.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Greatest size of a packet.
    pub packet: size::Bytes,
    /// Greatest number of cached flows.
    pub flows: u32,
    /// Greatest number of audit records kept.
    pub audit: u32,
}

/// Which log records are written, and how.
#[derive(Debug, Clone, PartialEq)]
pub struct Log {
    /// Least severity of the records that are written.
    pub level: Level,
    /// Form of a record.
    pub form: Form,
}

/// Severity of a log record.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// error
    Error,
    /// warning
    Warning,
    /// info
    Info,
    /// debug
    Debug,
    /// trace
    Trace,
}

/// Form of a log record.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// json
    Json,
    /// terminal
    Terminal,
}

/// Destination of metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Address of the StatsD server. Without one, nothing is sent.
    pub statsd: Option<SocketAddr>,
}

/// Timing of heartbeats, leases and shutdown.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Time between two heartbeats.
    pub heartbeat: time::Span,
    /// Silence after which an instance is considered dead.
    pub lease: time::Span,
    /// Longest time of a graceful shutdown.
    pub drain: time::Span,
}
