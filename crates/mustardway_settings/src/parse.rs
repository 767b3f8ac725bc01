//! Parses the settings of an instance. The module defines their defaults and bounds.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use compact_str::{ToCompactString, format_compact};
use mustardway_types::{size, time};
use mustardway_view::history;
use mustardway_view::ini::{self, Document};
use mustardway_view::problem::{Choices, Kind, List, Problem};
use mustardway_view::value;

use crate::fields::{self, Fields};
use crate::settings::{Form, Instance, Level, Limits, Log, Metrics, Platform, Settings, Timing};
use crate::token::Token;

/// Greatest size of the settings, in bytes.
pub const BYTES_MAX: usize = 1 << 16;
/// Default address of the administration API.
pub const ADMIN_DEFAULT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7002);
/// Default number of threads that serve the shared tables.
pub const WORKERS_DEFAULT: u32 = 4;
/// Greatest number of threads that serve the shared tables.
pub const WORKERS_MAX: u32 = 256;
/// Greatest number of addresses of the platform.
pub const PLATFORM_ADDRESSES_MAX: usize = 16;
/// Default of the longest wait of one blocking get.
pub const WAIT_DEFAULT: time::Span = time::Span::seconds(30);
/// Least and greatest value of the longest wait of one blocking get.
pub const WAIT_RANGE: (time::Span, time::Span) = (time::Span::seconds(1), time::Span::seconds(300));
/// Default of the largest packet size.
pub const PACKET_DEFAULT: size::Bytes = size::Bytes(1 << 20);
/// Least and greatest value of the largest packet size.
pub const PACKET_RANGE: (size::Bytes, size::Bytes) = (size::Bytes(1 << 10), size::Bytes(16 << 20));
/// Default of the greatest number of cached flows.
pub const FLOWS_DEFAULT: u32 = 500_000;
/// Bounds of the greatest number of cached flows.
pub const FLOWS_RANGE: (u32, u32) = (1_000, 10_000_000);
/// Default of the greatest number of audit records kept.
pub const AUDIT_DEFAULT: u32 = 10_000;
/// Bounds of the greatest number of audit records kept.
pub const AUDIT_RANGE: (u32, u32) = (100, 1_000_000);
/// Default time between two heartbeats.
pub const HEARTBEAT_DEFAULT: time::Span = time::Span::millis(250);
/// Least and greatest time between two heartbeats.
pub const HEARTBEAT_RANGE: (time::Span, time::Span) =
    (time::Span::millis(20), time::Span::seconds(2));
/// Default lease: the silence after which an instance is considered dead.
pub const LEASE_DEFAULT: time::Span = time::Span::millis(1_500);
/// Least and greatest lease. A lease may not exceed the time within which a view is in force
/// everywhere.
pub const LEASE_RANGE: (time::Span, time::Span) =
    (time::Span::millis(100), history::PROPAGATION_MAX);
/// Least number of heartbeats in a lease, so that a few lost heartbeats do not end it.
pub const HEARTBEATS_PER_LEASE_MIN: u64 = 4;
/// Default of the longest time of a graceful shutdown.
pub const DRAIN_DEFAULT: time::Span = time::Span::seconds(20);
/// Least and greatest value of the longest time of a graceful shutdown.
pub const DRAIN_RANGE: (time::Span, time::Span) =
    (time::Span::seconds(1), time::Span::seconds(600));
/// Least number of leases in a drain, so that all instances see the handover.
pub const LEASES_PER_DRAIN_MIN: u64 = 2;

/// Names of all sections, as listed in problems.
const SECTION_NAMES: Choices =
    Choices(&["[instance]", "[platform]", "[limits]", "[log]", "[metrics]", "[timing]"]);

/// Keys of each section.
const SECTION_KEYS: [(&str, Choices); 6] = [
    ("instance", Choices(&["name", "domain", "front", "peer", "admin", "token", "workers"])),
    ("platform", Choices(&["addresses", "wait"])),
    ("limits", Choices(&["packet", "flows", "audit"])),
    ("log", Choices(&["level", "form"])),
    ("metrics", Choices(&["statsd"])),
    ("timing", Choices(&["heartbeat", "lease", "drain"])),
];

const LEVELS: [(&str, Level); 5] = [
    ("error", Level::Error),
    ("warning", Level::Warning),
    ("info", Level::Info),
    ("debug", Level::Debug),
    ("trace", Level::Trace),
];
const FORMS: [(&str, Form); 2] = [("json", Form::Json), ("terminal", Form::Terminal)];

impl Settings {
    /// Parses settings.
    ///
    /// # Errors
    /// All problems of `text`, if there are any.
    pub fn parse(text: &str) -> Result<Settings, Vec<Problem>> {
        let mut problems = List::default();
        if text.len() > BYTES_MAX {
            let kind = Kind::FileTooLarge { found: text.len(), allowed: BYTES_MAX };
            return Err(vec![Problem::new(kind).in_file(fields::FILE)]);
        }
        let document = ini::read(fields::FILE, text, &mut problems);
        fields::check_names(&document, &SECTION_KEYS, SECTION_NAMES, &mut problems);
        let settings = parse_document(&document, &mut problems);
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => Err(problems.into_vec()),
        }
    }
}

fn parse_document(document: &Document, problems: &mut List) -> Option<Settings> {
    let instance = parse_instance(&mut Fields::new(document, "instance", problems));
    let platform = parse_platform(&mut Fields::new(document, "platform", problems));
    let limits = parse_limits(&mut Fields::new(document, "limits", problems));
    let log = parse_log(&mut Fields::new(document, "log", problems));
    let metrics = parse_metrics(&mut Fields::new(document, "metrics", problems));
    let timing = parse_timing(&mut Fields::new(document, "timing", problems));
    Some(Settings {
        instance: instance?,
        platform: platform?,
        limits: limits?,
        log: log?,
        metrics: metrics?,
        timing: timing?,
    })
}

fn parse_instance(fields: &mut Fields<'_>) -> Option<Instance> {
    let name = fields.required("name", value::parsed);
    let domain = fields.required("domain", value::parsed);
    let front = fields.required("front", value::unicast_address);
    let peer = fields.required("peer", value::unicast_address);
    let admin = fields.with_default("admin", ADMIN_DEFAULT, value::unicast_address);
    let token = fields.optional("token", parse_token);
    let workers = |text: &str| value::number(text, 1, WORKERS_MAX);
    let workers = fields.with_default("workers", WORKERS_DEFAULT, workers);
    let instance = Instance {
        name: name?,
        domain: domain?,
        front: front?,
        peer: peer?,
        admin: admin?,
        token: token?,
        workers: workers?,
    };
    check_admin(&instance, fields);
    check_distinct_addresses(&instance, fields);
    Some(instance)
}

/// Parses the token. A problem with it shows no part of the token.
fn parse_token(text: &str) -> Result<Token, Kind> {
    const WANTED: &str = "allowed are 16 to 256 visible ASCII characters";
    text.parse().map_err(|error: crate::token::Error| Kind::Relation {
        found: error.to_compact_string(),
        wanted: WANTED,
    })
}

fn check_admin(instance: &Instance, fields: &mut Fields<'_>) {
    const WANTED: &str = "beyond loopback a token is needed";
    if instance.admin.ip().is_loopback() || instance.token.is_some() {
        return;
    }
    let found = instance.admin.to_compact_string();
    fields.report("admin", Kind::Relation { found, wanted: WANTED });
}

fn check_distinct_addresses(instance: &Instance, fields: &mut Fields<'_>) {
    const WANTED: &str = "front, peer and admin each need their own";
    let Instance { front, peer, admin, .. } = instance;
    if peer == front {
        let found = peer.to_compact_string();
        fields.report("peer", Kind::Relation { found, wanted: WANTED });
    }
    if admin == front || admin == peer {
        let found = admin.to_compact_string();
        fields.report("admin", Kind::Relation { found, wanted: WANTED });
    }
}

fn parse_platform(fields: &mut Fields<'_>) -> Option<Platform> {
    let addresses = fields.required("addresses", parse_platform_addresses);
    let wait = |text: &str| value::in_range(text, WAIT_RANGE.0, WAIT_RANGE.1);
    let wait = fields.with_default("wait", WAIT_DEFAULT, wait);
    Some(Platform { addresses: addresses?, wait: wait? })
}

fn parse_platform_addresses(text: &str) -> Result<Vec<SocketAddr>, Kind> {
    const NUMBER: &str = "allowed are 1 to 16 addresses";
    const ONCE: &str = "each address may be given once";
    let addresses = value::unicast_address_list(text)?;
    if addresses.len() > PLATFORM_ADDRESSES_MAX {
        let found = format_compact!("a list of {}", addresses.len());
        return Err(Kind::Relation { found, wanted: NUMBER });
    }
    for (index, address) in addresses.iter().enumerate() {
        if addresses[..index].contains(address) {
            return Err(Kind::Relation { found: address.to_compact_string(), wanted: ONCE });
        }
    }
    Ok(addresses)
}

fn parse_limits(fields: &mut Fields<'_>) -> Option<Limits> {
    let packet = |text: &str| value::in_range(text, PACKET_RANGE.0, PACKET_RANGE.1);
    let flows = |text: &str| value::number(text, FLOWS_RANGE.0, FLOWS_RANGE.1);
    let audit = |text: &str| value::number(text, AUDIT_RANGE.0, AUDIT_RANGE.1);
    let packet = fields.with_default("packet", PACKET_DEFAULT, packet);
    let flows = fields.with_default("flows", FLOWS_DEFAULT, flows);
    let audit = fields.with_default("audit", AUDIT_DEFAULT, audit);
    Some(Limits { packet: packet?, flows: flows?, audit: audit? })
}

pub(crate) fn parse_log(fields: &mut Fields<'_>) -> Option<Log> {
    const LEVEL_WORDS: &[&str] = &["error", "warning", "info", "debug", "trace"];
    const FORM_WORDS: &[&str] = &["json", "terminal"];
    let level = |text: &str| value::choice(text, &LEVELS, LEVEL_WORDS);
    let form = |text: &str| value::choice(text, &FORMS, FORM_WORDS);
    let level = fields.with_default("level", Level::Info, level);
    let form = fields.with_default("form", Form::Json, form);
    Some(Log { level: level?, form: form? })
}

fn parse_metrics(fields: &mut Fields<'_>) -> Option<Metrics> {
    let statsd = fields.optional("statsd", value::unicast_address);
    Some(Metrics { statsd: statsd? })
}

fn parse_timing(fields: &mut Fields<'_>) -> Option<Timing> {
    let heartbeat = |text: &str| value::in_range(text, HEARTBEAT_RANGE.0, HEARTBEAT_RANGE.1);
    let lease = |text: &str| value::in_range(text, LEASE_RANGE.0, LEASE_RANGE.1);
    let drain = |text: &str| value::in_range(text, DRAIN_RANGE.0, DRAIN_RANGE.1);
    let heartbeat = fields.with_default("heartbeat", HEARTBEAT_DEFAULT, heartbeat);
    let lease = fields.with_default("lease", LEASE_DEFAULT, lease);
    let drain = fields.with_default("drain", DRAIN_DEFAULT, drain);
    let timing = Timing { heartbeat: heartbeat?, lease: lease?, drain: drain? };
    check_timing(&timing, fields);
    Some(timing)
}

fn check_timing(timing: &Timing, fields: &mut Fields<'_>) {
    const LEASE: &str = "a lease is at least 4 heartbeats";
    const DRAIN: &str = "a drain is at least 2 leases";
    if timing.lease.0 < timing.heartbeat.0 * HEARTBEATS_PER_LEASE_MIN {
        let found = format_compact!("{} with a heartbeat of {}", timing.lease, timing.heartbeat);
        fields.report("lease", Kind::Relation { found, wanted: LEASE });
    }
    if timing.drain.0 < timing.lease.0 * LEASES_PER_DRAIN_MIN {
        let found = format_compact!("{} with a lease of {}", timing.drain, timing.lease);
        fields.report("drain", Kind::Relation { found, wanted: DRAIN });
    }
}
