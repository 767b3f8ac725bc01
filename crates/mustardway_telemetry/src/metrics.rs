//! Counters, gauges and timings sent to a `StatsD` server over UDP.
//!
//! Sending never waits: metrics go to a bounded queue, and a separate thread packs
//! several into each datagram. Metrics that do not fit into the queue are dropped and
//! counted. Every metric has a constant in [`name`] with its unit.

use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, QueuingMetricSink, StatsdClient, Timed};
use mustardway_types::{instance, time};

/// Prefix of every metric name.
const PREFIX: &str = "mustardway";
/// Maximum number of metrics that are queued for sending.
const QUEUED_METRICS_MAX: usize = 8_192;

/// The unit of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// A number without unit.
    Count,
    /// Bytes.
    Bytes,
    /// Milliseconds.
    Milliseconds,
}

/// The name and unit of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Name {
    /// Name without the prefix.
    pub text: &'static str,
    /// Unit of the values.
    pub unit: Unit,
}

/// The names of all metrics.
pub mod name {
    use super::{Name, Unit};

    const fn count(text: &'static str) -> Name {
        Name { text, unit: Unit::Count }
    }

    /// Packets answered; tags `reason` and `kind`.
    pub const PACKETS: Name = count("packets");
    /// Time from a packet's arrival to its answer.
    pub const DELAY: Name = Name { text: "delay", unit: Unit::Milliseconds };
    /// Packets forwarded to the owner of their target.
    pub const FORWARDED: Name = count("forwarded");
    /// Flows whose owner is this instance.
    pub const FLOWS: Name = count("flows");
    /// Flows opened.
    pub const FLOWS_OPENED: Name = count("flows.opened");
    /// Targets that this instance owns.
    pub const TARGETS_OWNED: Name = count("targets.owned");
    /// Requests queued for a slot.
    pub const QUEUED: Name = count("queued");
    /// Revision in force.
    pub const REVISION: Name = count("revision");
    /// Revisions adopted.
    pub const ADOPTED: Name = count("revisions.adopted");
    /// Revisions refused.
    pub const REFUSED: Name = count("revisions.refused");
    /// Live peers.
    pub const PEERS: Name = count("peers");
    /// Bytes sent to peers; tag `kind`.
    pub const PEER_SENT: Name = Name { text: "peer.sent", unit: Unit::Bytes };
    /// Bytes received from peers; tag `kind`.
    pub const PEER_RECEIVED: Name = Name { text: "peer.received", unit: Unit::Bytes };
    /// Reads of the configuration from the platform; tag `outcome`, answered or failed.
    pub const PLATFORM_CALLS: Name = count("platform.calls");
    /// Violations of promises; tag `promise`.
    pub const VIOLATIONS: Name = count("promises.violated");

    /// Every metric.
    pub const ALL: [Name; 15] = [
        PACKETS,
        DELAY,
        FORWARDED,
        FLOWS,
        FLOWS_OPENED,
        TARGETS_OWNED,
        QUEUED,
        REVISION,
        ADOPTED,
        REFUSED,
        PEERS,
        PEER_SENT,
        PEER_RECEIVED,
        PLATFORM_CALLS,
        VIOLATIONS,
    ];
}

/// A key-value tag of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tag<'a> {
    /// Key of the tag.
    pub key: &'static str,
    /// Value of the tag.
    pub value: &'a str,
}

/// Sends metrics to a `StatsD` server, or discards them.
#[derive(Debug)]
pub struct Metrics {
    client: Option<StatsdClient>,
    dropped: Arc<AtomicU64>,
}

impl Metrics {
    /// Creates a sender that discards all metrics.
    pub fn disabled() -> Self {
        Metrics { client: None, dropped: Arc::default() }
    }

    /// Creates a sender of the metrics of instance `id` to the server at `address`.
    ///
    /// # Errors
    /// Fails when no UDP socket can be opened or configured.
    pub fn udp(address: SocketAddr, id: &instance::Id) -> io::Result<Self> {
        let local: SocketAddr = match address {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let queue = QueuingMetricSink::with_capacity(sink, QUEUED_METRICS_MAX);
        let dropped = Arc::new(AtomicU64::default());
        let counter = Arc::clone(&dropped);
        let client = StatsdClient::builder(PREFIX, queue)
            .with_tag("instance", id.as_str())
            .with_error_handler(move |_| {
                counter.fetch_add(1, Relaxed);
            })
            .build();
        Ok(Metrics { client: Some(client), dropped })
    }

    /// Adds `count` to a counter.
    pub fn count(&self, name: Name, count: u64, tags: &[Tag<'_>]) {
        let Some(client) = &self.client else {
            return;
        };
        let mut metric = client.count_with_tags(name.text, count);
        for tag in tags {
            metric = metric.with_tag(tag.key, tag.value);
        }
        metric.send();
    }

    /// Sets a gauge to `level`.
    pub fn gauge(&self, name: Name, level: u64, tags: &[Tag<'_>]) {
        let Some(client) = &self.client else {
            return;
        };
        let mut metric = client.gauge_with_tags(name.text, level);
        for tag in tags {
            metric = metric.with_tag(tag.key, tag.value);
        }
        metric.send();
    }

    /// Adds a timing.
    pub fn time(&self, name: Name, span: time::Span, tags: &[Tag<'_>]) {
        let Some(client) = &self.client else {
            return;
        };
        let mut metric = client.time_with_tags(name.text, span.as_millis());
        for tag in tags {
            metric = metric.with_tag(tag.key, tag.value);
        }
        metric.send();
    }

    /// Sends the metrics in the incomplete last datagram. Call about once a second.
    pub fn flush(&self) {
        let Some(client) = &self.client else {
            return;
        };
        if client.flush().is_err() {
            self.dropped.fetch_add(1, Relaxed);
        }
    }

    /// Returns the number of metrics that could not be queued, plus failed flushes.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Relaxed)
    }
}
