//! Names, limits and times of a mesh.

use std::net::SocketAddr;

use mustardway_types::{instance, size, time};

use crate::frame::Kind;

/// Default of [`Settings::silence`].
pub const SILENCE: time::Span = time::Span::seconds(4);
/// Default of [`Settings::pulse`].
pub const PULSE: time::Span = time::Span::seconds(1);
/// Default of [`Settings::idle`].
pub const IDLE: time::Span = time::Span::seconds(60);
/// Default of [`Settings::connect`].
pub const CONNECT: time::Span = time::Span::seconds(1);
/// Default of [`Settings::hello`].
pub const HELLO: time::Span = time::Span::seconds(2);
/// Default of [`Settings::backoff_min`].
pub const BACKOFF_MIN: time::Span = time::Span::millis(50);
/// Default of [`Settings::backoff_max`].
pub const BACKOFF_MAX: time::Span = time::Span::seconds(2);
/// Default of [`Settings::queue`].
pub const QUEUE: size::Bytes = size::Bytes(4 << 20);
/// Default of [`Settings::connections`].
pub const CONNECTIONS: usize = 8_192;

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
    pub silence: time::Span,
    /// A frame that came in is answered within this time, by a pulse if by nothing
    /// else; well under `silence`.
    pub pulse: time::Span,
    /// A link without frames for this long is closed; well over `silence`.
    pub idle: time::Span,
    /// Longest time for connecting.
    pub connect: time::Span,
    /// Longest time from an accepted connection to its hello.
    pub hello: time::Span,
    /// Wait after the first failure to connect; doubled after each more.
    pub backoff_min: time::Span,
    /// Longest wait after a failure to connect.
    pub backoff_max: time::Span,
    /// Bytes that wait for one link, in each priority.
    pub queue: size::Bytes,
    /// Connections of others at one time.
    pub connections: usize,
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
            silence: SILENCE,
            pulse: PULSE,
            idle: IDLE,
            connect: CONNECT,
            hello: HELLO,
            backoff_min: BACKOFF_MIN,
            backoff_max: BACKOFF_MAX,
            queue: QUEUE,
            connections: CONNECTIONS,
            partition_allowed: false,
        }
    }
}
