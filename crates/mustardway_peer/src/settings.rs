//! Names, limits and times of a mesh.

use std::net::SocketAddr;

use mustardway_types::{instance, size, time};

use crate::frame::Kind;

/// Default of [`Settings::silence_timeout`].
pub const SILENCE_TIMEOUT: time::Span = time::Span::seconds(4);
/// Default of [`Settings::keepalive_interval`].
pub const KEEPALIVE_INTERVAL: time::Span = time::Span::seconds(1);
/// Default of [`Settings::idle_timeout`].
pub const IDLE_TIMEOUT: time::Span = time::Span::seconds(60);
/// Default of [`Settings::connect_timeout`].
pub const CONNECT_TIMEOUT: time::Span = time::Span::seconds(1);
/// Default of [`Settings::hello_timeout`].
pub const HELLO_TIMEOUT: time::Span = time::Span::seconds(2);
/// Default of [`Settings::backoff_min`].
pub const BACKOFF_MIN: time::Span = time::Span::millis(50);
/// Default of [`Settings::backoff_max`].
pub const BACKOFF_MAX: time::Span = time::Span::seconds(2);
/// Default of [`Settings::queue_size`].
pub const QUEUE_SIZE: size::Bytes = size::Bytes(4 << 20);
/// Default of [`Settings::inbound_connections_max`].
pub const INBOUND_CONNECTIONS_MAX: usize = 8_192;

/// Names, limits and times of a mesh.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this instance.
    pub id: instance::Id,
    /// Where it listens; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Where its peers reach it; the address it listens on where this is none.
    pub advertised: Option<SocketAddr>,
    /// The kinds that its handler knows; frames of others are skipped and counted.
    pub kinds: Vec<Kind>,
    /// Where it logs.
    pub logger: slog::Logger,
    /// A link that was written to and gave nothing back for this long is closed.
    pub silence_timeout: time::Span,
    /// A frame that came in is answered within this time, by a pulse if by nothing
    /// else; well under `silence`.
    pub keepalive_interval: time::Span,
    /// A link without frames for this long is closed; well over `silence`.
    pub idle_timeout: time::Span,
    /// Longest time for connecting.
    pub connect_timeout: time::Span,
    /// Longest time from an accepted connection to its hello.
    pub hello_timeout: time::Span,
    /// Wait after the first failure to connect; doubled after each more.
    pub backoff_min: time::Span,
    /// Longest wait after a failure to connect.
    pub backoff_max: time::Span,
    /// Bytes that wait for one link, in each priority.
    pub queue_size: size::Bytes,
    /// Connections of others at one time.
    pub inbound_connections_max: usize,
    /// Whether [`crate::mesh::Mesh::cut`] works; for failure tests alone.
    pub partition_allowed: bool,
}

impl Settings {
    /// Settings with the default limits and times.
    pub fn new(id: instance::Id, listen: SocketAddr, logger: slog::Logger) -> Self {
        Settings {
            id,
            listen,
            advertised: None,
            kinds: Vec::new(),
            logger,
            silence_timeout: SILENCE_TIMEOUT,
            keepalive_interval: KEEPALIVE_INTERVAL,
            idle_timeout: IDLE_TIMEOUT,
            connect_timeout: CONNECT_TIMEOUT,
            hello_timeout: HELLO_TIMEOUT,
            backoff_min: BACKOFF_MIN,
            backoff_max: BACKOFF_MAX,
            queue_size: QUEUE_SIZE,
            inbound_connections_max: INBOUND_CONNECTIONS_MAX,
            partition_allowed: false,
        }
    }
}
