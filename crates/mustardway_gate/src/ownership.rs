//! Whether this gate decides for its target.
//!
//! A gate starts as `Pending` if an earlier owner may have been lost, and
//! collects the announcements of other instances until the rebuild time ends.
//! It is `Serving` from then on, or from the moment when it has received the
//! whole state of an earlier owner. It is `Closed` after it has handed its
//! state over.

use mustardway_types::{instance, time};
use serde::Serialize;

/// Time for which a gate collects announcements after an earlier owner was lost.
pub const REBUILD_TIME: time::Span = time::Span::millis(500);

/// Longest time for which handovers that are incomplete or repeated keep a gate pending.
pub const PENDING_TIME_MAX: time::Span = time::Span::seconds(3);

/// Whether this gate decides for its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ownership {
    /// The gate collects announcements and admits nothing.
    Pending {
        /// Time at which the gate starts to serve.
        until: time::Instant,
    },
    /// The gate decides.
    Serving {
        /// Time since which the gate serves.
        since: time::Instant,
        /// Whether the gate received the whole state of an earlier owner.
        inherited: bool,
    },
    /// The gate finishes its running requests and admits nothing.
    Closed {
        /// Instance that serves the target now, if it is known.
        to: Option<instance::Id>,
    },
}

impl Ownership {
    /// Returns the pending state for [`REBUILD_TIME`] from `now`.
    pub fn pending(now: time::Instant) -> Self {
        Ownership::Pending { until: now + REBUILD_TIME }
    }
}
