//! Rate-limited log lines of a mesh.

use std::time::Instant;

use mustardway_telemetry::limit::Limiter;
use mustardway_types::{rate, time};
use slog::{Logger, info, warn};

use crate::frame::{self, Kind};
use crate::link::{End, Peer};

/// Maximum log lines per second for each rate-limit key.
const LINES_PER_SECOND: rate::PerSecond = rate::PerSecond(5);

/// Rate-limited logger of one mesh.
pub(crate) struct Log {
    logger: Logger,
    limiter: Limiter,
    start: Instant,
}

impl Log {
    pub(crate) fn new(logger: &Logger) -> Self {
        Log {
            logger: logger.clone(),
            limiter: Limiter::new(LINES_PER_SECOND),
            start: Instant::now(),
        }
    }

    fn admit(&self, key: &'static str) -> Option<u64> {
        self.limiter.admit(key, time::Instant::default() + self.start.elapsed().into())
    }

    pub(crate) fn unknown_kind(&self, peer: &Peer, kind: Kind) {
        let Some(suppressed) = self.admit("peer-unknown-kind") else {
            return;
        };
        info!(self.logger, "skipped a frame of unknown kind";
            "peer" => %peer.id, "kind" => %kind, "suppressed" => suppressed);
    }

    pub(crate) fn unreadable(&self, error: &frame::Error) {
        let Some(suppressed) = self.admit("peer-unreadable") else {
            return;
        };
        warn!(self.logger, "closed a connection after a read error";
            "error" => %error, "suppressed" => suppressed);
    }

    pub(crate) fn link_broken(&self, peer: &Peer, end: &End) {
        let Some(suppressed) = self.admit("peer-broken") else {
            return;
        };
        info!(self.logger, "link broke"; "peer" => %peer.id,
            "address" => %peer.address, "end" => ?end, "suppressed" => suppressed);
    }
}
