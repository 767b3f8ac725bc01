//! Whether this gate is the one that decides.
//!
//! A gate starts `Pending` where an earlier owner may have been lost: it collects
//! what other instances announce until the barrier passes. It is `Serving` from
//! then on, or from the moment that it has received the whole state of an earlier
//! owner. It is `Closed` once it has handed its state over.

use mustardway_types::{instance, time};
use serde::Serialize;

/// How long a gate collects announcements after an earlier owner was lost.
pub const REBUILD_TIME: time::Span = time::Span::millis(500);

/// Whether this gate is the one that decides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ownership {
    /// It collects announcements and admits nothing.
    Pending {
        /// When it starts to serve.
        until: time::Instant,
    },
    /// It decides.
    Serving {
        /// Since when.
        since: time::Instant,
        /// Whether it has the whole state of an earlier owner.
        inherited: bool,
    },
    /// It finishes what runs and admits nothing.
    Closed {
        /// Instance that serves now.
        to: Option<instance::Id>,
    },
}

impl Ownership {
    /// Pending from `now` for [`REBUILD_TIME`].
    pub fn pending(now: time::Instant) -> Self {
        Ownership::Pending { until: now + REBUILD_TIME }
    }
}
