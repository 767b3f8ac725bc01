//! Identity, addresses, limits and timeouts of a mesh.

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

/// Identity, addresses, limits and timeouts of a mesh.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this instance.
    pub id: instance::Id,
    /// Address to listen on; port 0 selects any free port.
    pub listen: SocketAddr,
    /// Address where peers reach this instance; defaults to the address it listens on.
    pub advertised: Option<SocketAddr>,
    /// Frame kinds that the handler accepts; other frames are skipped and counted.
    pub kinds: Vec<Kind>,
    /// Logger of the mesh.
    pub logger: slog::Logger,
    /// A link is closed if nothing is received for this long after a write.
    pub silence_timeout: time::Span,
    /// A received frame is followed within this time by a frame back, a keepalive if
    /// there is no other. Must be well below `silence_timeout`.
    pub keepalive_interval: time::Span,
    /// A link without application frames for this long is closed. Must be well above
    /// `silence_timeout`.
    pub idle_timeout: time::Span,
    /// Maximum time to connect.
    pub connect_timeout: time::Span,
    /// Maximum time from an accepted connection to its hello.
    pub hello_timeout: time::Span,
    /// Backoff after the first failure to connect; doubled after each further failure.
    pub backoff_min: time::Span,
    /// Maximum backoff after a failure to connect.
    pub backoff_max: time::Span,
    /// Maximum size of queued frames per link and priority.
    pub queue_size: size::Bytes,
    /// Maximum number of concurrent inbound connections.
    pub inbound_connections_max: usize,
    /// Whether [`crate::mesh::Mesh::partition`] has an effect; only for failure tests.
    pub partition_allowed: bool,
}

impl Settings {
    /// Creates settings with the default limits and timeouts.
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
