//! Counts, levels and times to a `StatsD` server over UDP.
//!
//! Sending never waits: a metric goes to a bounded queue, a thread of its own packs
//! several into a datagram, and what does not fit is dropped and counted.
//! Every metric has a constant in [`name`], with its unit.

use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, QueuingMetricSink, StatsdClient, Timed};
use mustardway_types::{instance, time};

/// Text before every name.
const PREFIX: &str = "mustardway";
/// Metrics that wait to be sent, at most.
const WAITING_MAX: usize = 8_192;

/// What a metric counts in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Pieces.
    Count,
    /// Bytes.
    Bytes,
    /// Milliseconds.
    Milliseconds,
}

/// A metric's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Name {
    /// Text after the prefix.
    pub text: &'static str,
    /// What it counts in.
    pub unit: Unit,
}

/// Every metric.
pub mod name {
    use super::{Name, Unit};

    const fn count(text: &'static str) -> Name {
        Name { text, unit: Unit::Count }
    }

    /// Packets answered; tags `reason` and `kind`.
    pub const PACKETS: Name = count("packets");
    /// Time from a packet's arrival to its answer.
    pub const DELAY: Name = Name { text: "delay", unit: Unit::Milliseconds };
    /// Packets sent on to the owner of their target.
    pub const FORWARDED: Name = count("forwarded");
    /// Flows that this instance keeps as owner.
    pub const FLOWS: Name = count("flows");
    /// Flows opened.
    pub const FLOWS_OPENED: Name = count("flows.opened");
    /// Targets that this instance owns.
    pub const TARGETS_OWNED: Name = count("targets.owned");
    /// Requests that wait for a slot.
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
    /// Reads of the configuration at the platform; tag `outcome`, answered or failed.
    pub const PLATFORM_CALLS: Name = count("platform.calls");
    /// Promises seen broken; tag `promise`.
    pub const VIOLATIONS: Name = count("promises.violated");

    /// All of them.
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

/// One tag of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tag<'a> {
    /// What it tells.
    pub key: &'static str,
    /// Its value.
    pub value: &'a str,
}

/// Where metrics go.
#[derive(Debug)]
pub struct Metrics {
    client: Option<StatsdClient>,
    dropped: Arc<AtomicU64>,
}

impl Metrics {
    /// Metrics that go nowhere.
    pub fn disabled() -> Self {
        Metrics { client: None, dropped: Arc::default() }
    }

    /// Metrics of the instance `id` to the server at `address`.
    ///
    /// # Errors
    /// When no socket can be had.
    pub fn udp(address: SocketAddr, id: &instance::Id) -> io::Result<Self> {
        let local: SocketAddr = match address {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let queue = QueuingMetricSink::with_capacity(sink, WAITING_MAX);
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

    /// Sets a level.
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

    /// Adds a length of time.
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

    /// Sends what waits in the last datagram; to be called every second or so.
    pub fn flush(&self) {
        let Some(client) = &self.client else {
            return;
        };
        if client.flush().is_err() {
            self.dropped.fetch_add(1, Relaxed);
        }
    }

    /// Metrics that could not be handed over.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Relaxed)
    }
}
