//! Identity and timing of one instance.

use mustardway_types::instance;
use mustardway_types::rate;
use mustardway_types::size;
use mustardway_types::time::Span;

/// Age up to which a confirmation by the platform counts as recent. Past it, after a
/// random addition, an instance that is no reader reads the platform.
pub const CONFIRMATION_MAX_AGE: Span = Span::seconds(3);
/// Greatest random addition to [`CONFIRMATION_MAX_AGE`]; [`FALLBACK_RATE`] makes it
/// longer in a large fleet.
pub const CONFIRMATION_JITTER: Span = Span::seconds(2);
/// Reads per second by all instances together that are no readers, while no
/// confirmation reaches them.
pub const FALLBACK_RATE: rate::PerSecond = rate::PerSecond(100);
/// Silence of all peers after which an instance counts as isolated and no longer
/// spreads its reads over the time that the fleet needs.
pub const ISOLATION_TIMEOUT: Span = Span::millis(1500);
/// Longest time that the platform holds a long poll open.
pub const LONG_POLL_WAIT: Span = Span::seconds(30);
/// Time beyond [`LONG_POLL_WAIT`] after which an open read counts as timed out.
/// Until then an open long poll counts as a confirmation.
pub const WAIT_GRACE: Span = Span::seconds(5);
/// Longest time that the platform holds a long poll of the verifier. Open reads of all
/// readers may get neither an answer nor an error, for example after a failover of the
/// platform's network. A revision then waits for the next new read, and has to be in
/// force everywhere within 6 s.
pub const VERIFIER_WAIT: Span = Span::millis(4_400);
/// Time beyond [`VERIFIER_WAIT`] after which an open read of the verifier counts as
/// timed out: well over a round trip to a slow platform (200 ms).
pub const VERIFIER_GRACE: Span = Span::millis(400);
/// Shortest and longest backoff after a failed read. For instances that are no
/// readers it is at least the time over which the fleet spreads its reads.
pub const BACKOFF: (Span, Span) = (Span::seconds(1), Span::seconds(64));
/// Longest backoff of a reader after a failed read.
pub const READER_BACKOFF: Span = Span::seconds(2);
/// Time without a new part after which a transfer is abandoned.
pub const PULL_TIMEOUT: Span = Span::millis(250);
/// Time that a joining instance waits for the platform and for a peer.
pub const JOIN_WAIT: Span = Span::seconds(3);
/// Greatest random delay of the first read of a joining instance.
pub const JOIN_JITTER: Span = Span::seconds(1);
/// Greatest size of one part of a transfer; each part is one message. Four transfers that
/// share a narrow link (10 Mbit/s) still get their parts within [`PULL_TIMEOUT`].
pub const PART_MAX: size::Bytes = size::Bytes(64 * 1024);
/// Greatest total size of the files of a revision, names included.
pub const SET_MAX: size::Bytes = size::Bytes(16 * 1024 * 1024);

/// Identity and timing of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance.
    pub me: instance::Id,
    /// Age up to which a confirmation by the platform counts as recent. Past it,
    /// after a random addition, an instance that is no reader reads the platform.
    pub confirmation_max_age: Span,
    /// Greatest random addition to `confirmation_max_age`; `fallback_rate` makes it
    /// longer in a large fleet.
    pub confirmation_jitter: Span,
    /// Reads per second by all instances together that are no readers, while no
    /// confirmation reaches them.
    pub fallback_rate: rate::PerSecond,
    /// Silence of all peers after which an instance counts as isolated and no longer
    /// spreads its reads over the time that the fleet needs.
    pub isolation_timeout: Span,
    /// Longest time that the platform holds a long poll open.
    pub long_poll_wait: Span,
    /// Shortest and longest backoff after a failed read.
    pub backoff: (Span, Span),
    /// Longest backoff of a reader after a failed read.
    pub reader_backoff: Span,
    /// Time without a new part after which a transfer is abandoned.
    pub pull_timeout: Span,
    /// Time that a joining instance waits for the platform and for a peer.
    pub join_wait: Span,
    /// Greatest random delay of the first read of a joining instance.
    pub join_jitter: Span,
    /// Greatest size of one part of a transfer; each part is one message.
    pub part_max: size::Bytes,
    /// Greatest total size of the files of a revision, names included.
    pub set_max: size::Bytes,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Settings {
    /// Returns the settings of `me` with the default timing.
    pub fn new(me: instance::Id, seed: u64) -> Self {
        Settings {
            me,
            confirmation_max_age: CONFIRMATION_MAX_AGE,
            confirmation_jitter: CONFIRMATION_JITTER,
            fallback_rate: FALLBACK_RATE,
            isolation_timeout: ISOLATION_TIMEOUT,
            long_poll_wait: LONG_POLL_WAIT,
            backoff: BACKOFF,
            reader_backoff: READER_BACKOFF,
            pull_timeout: PULL_TIMEOUT,
            join_wait: JOIN_WAIT,
            join_jitter: JOIN_JITTER,
            part_max: PART_MAX,
            set_max: SET_MAX,
            seed,
        }
    }
}
