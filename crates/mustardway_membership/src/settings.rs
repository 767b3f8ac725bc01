//! Identity and timing of one instance.

use mustardway_types::time::Span;

use crate::member;

/// Time between two heartbeats to the same neighbour.
pub const HEARTBEAT_INTERVAL: Span = Span::millis(250);
/// Silence after which a watcher declares an instance dead.
pub const LEASE: Span = Span::millis(1500);
/// Neighbours on each side of the ring inside an instance's failure domain.
pub const DOMAIN_LINKS: usize = 2;
/// Neighbours on each side of the ring across failure domains.
pub const CROSS_LINKS: usize = 1;
/// Bytes per second for gossiped changes and tables; heartbeats are not
/// counted.
pub const GOSSIP_BYTES_PER_SECOND: u64 = 16 * 1024;
/// Time that the record of a dead instance is kept.
pub const DEAD_RETENTION: Span = Span::seconds(7200);
/// Time that the record of an instance that left is kept.
pub const LEFT_RETENTION: Span = Span::seconds(600);

/// Identity and timing of one instance. The timing must be the same on all
/// instances.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance, with the incarnation of this run of its process.
    pub me: member::Member,
    /// Time between two heartbeats to the same neighbour.
    pub heartbeat: Span,
    /// Silence after which a watcher declares an instance dead.
    pub lease: Span,
    /// Neighbours on each side of the ring inside the failure domain.
    pub domain_links: usize,
    /// Neighbours on each side of the ring across failure domains.
    pub cross_links: usize,
    /// Bytes per second for gossiped changes and tables.
    pub gossip_bytes_per_second: u64,
    /// Time that the record of a dead instance is kept.
    pub dead_retention: Span,
    /// Time that the record of an instance that left is kept.
    pub left_retention: Span,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Settings {
    /// Returns the settings of `me` with the default timing.
    pub fn new(me: member::Member, seed: u64) -> Self {
        Settings {
            me,
            heartbeat: HEARTBEAT_INTERVAL,
            lease: LEASE,
            domain_links: DOMAIN_LINKS,
            cross_links: CROSS_LINKS,
            gossip_bytes_per_second: GOSSIP_BYTES_PER_SECOND,
            dead_retention: DEAD_RETENTION,
            left_retention: LEFT_RETENTION,
            seed,
        }
    }
}
