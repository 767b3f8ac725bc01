//! Identity and timing of one instance.

use mustardway_types::time::Span;

use crate::member;

/// Time between two heartbeats to a neighbour.
pub const HEARTBEAT_INTERVAL: Span = Span::millis(250);
/// Silence after which an instance is declared dead.
pub const LEASE: Span = Span::millis(1500);
/// Neighbours on each side of the ring inside the failure domain.
pub const DOMAIN_LINKS: usize = 2;
/// Neighbours on each side of the ring across failure domains.
pub const CROSS_LINKS: usize = 1;
/// Bytes a second for changes and tables; heartbeats come on top.
pub const GOSSIP_BYTES_PER_SECOND: u64 = 16 * 1024;
/// How long a dead instance is remembered.
pub const DEAD_RETENTION: Span = Span::seconds(7200);
/// How long an instance that left is remembered.
pub const LEFT_RETENTION: Span = Span::seconds(600);

/// Identity and timing of one instance. All instances share the timing.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance and the incarnation of this life.
    pub me: member::Member,
    /// Time between two heartbeats to a neighbour.
    pub heartbeat: Span,
    /// Silence after which an instance is declared dead.
    pub lease: Span,
    /// Neighbours on each side of the ring inside the failure domain.
    pub domain_links: usize,
    /// Neighbours on each side of the ring across failure domains.
    pub cross_links: usize,
    /// Bytes a second for changes and tables.
    pub gossip_bytes_per_second: u64,
    /// How long a dead instance is remembered.
    pub dead_retention: Span,
    /// How long an instance that left is remembered.
    pub left_retention: Span,
    /// Seed of every random choice.
    pub seed: u64,
}

impl Settings {
    /// Settings of `me` with the usual timing.
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
