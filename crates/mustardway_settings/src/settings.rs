//! The settings as plain data.

use std::net::SocketAddr;

use displaydoc::Display;
use mustardway_types::{domain, instance, size, time};

use crate::token;

/// Everything that an instance is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Who and where it is.
    pub instance: Instance,
    /// Where its configuration comes from.
    pub platform: Platform,
    /// Bounds of what it holds.
    pub limits: Limits,
    /// What it logs.
    pub log: Log,
    /// Where its metrics go.
    pub metrics: Metrics,
    /// Lengths of time between instances.
    pub timing: Timing,
}

/// Who and where an instance is.
#[derive(Debug, Clone)]
pub struct Instance {
    /// Name, unique in the whole system.
    pub name: instance::Id,
    /// Failure domain that it lives in.
    pub domain: domain::Name,
    /// Where callers send to.
    pub front: SocketAddr,
    /// Where other instances send to.
    pub peer: SocketAddr,
    /// Where operators ask.
    pub admin: SocketAddr,
    /// Secret of the administration API.
    pub token: Option<token::Token>,
    /// Threads that serve the shared tables.
    pub workers: u32,
}

/// Where the configuration comes from.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Readers of the configuration service, at least one.
    pub addresses: Vec<SocketAddr>,
    /// Longest wait of one blocking get.
    pub wait: time::Span,
}

/// Bounds of what an instance holds.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Largest packet.
    pub packet: size::Bytes,
    /// Most flows that are cached.
    pub flows: u32,
    /// Most audit records that are kept.
    pub audit: u32,
}

/// What is logged.
#[derive(Debug, Clone, PartialEq)]
pub struct Log {
    /// Least severity.
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

/// Where metrics go.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// StatsD server; nothing is sent without one.
    pub statsd: Option<SocketAddr>,
}

/// Lengths of time between instances.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Between two heartbeats.
    pub heartbeat: time::Span,
    /// Silence after which an instance is taken for dead.
    pub lease: time::Span,
    /// Longest time of a graceful shutdown.
    pub drain: time::Span,
}
