//! Identity and timing of one instance.

use mustardway_types::instance;
use mustardway_types::rate;
use mustardway_types::size;
use mustardway_types::time::Span;

/// Shortest age of the last confirmation after which the platform is read.
pub const CONFIRM: Span = Span::seconds(3);
/// Greatest random addition to it.
pub const CONFIRM_JITTER: Span = Span::seconds(2);
/// Reads a second by all that are no readers, while none is confirmed.
pub const FALLBACK_RATE: rate::PerSecond = rate::PerSecond(100);
/// Silence of all peers after which an instance reads without regard to others.
pub const CUT_OFF: Span = Span::millis(1500);
/// Longest time that the platform holds a waiting read open.
pub const LONG_POLL_WAIT: Span = Span::seconds(30);
/// How long after its wait an open read still counts as a confirmation.
pub const WAIT_GRACE: Span = Span::seconds(5);
/// Shortest and longest pause after a failed read.
pub const BACKOFF: (Span, Span) = (Span::seconds(1), Span::seconds(64));
/// Longest pause of a reader after a failed read.
pub const READER_BACKOFF: Span = Span::seconds(2);
/// Time without a further part after which a transfer is given up.
pub const PULL_TIMEOUT: Span = Span::millis(250);
/// How long a joining instance waits for the platform and for a peer.
pub const JOIN_WAIT: Span = Span::seconds(3);
/// Greatest random delay of a joining instance's first read.
pub const JOIN_JITTER: Span = Span::seconds(1);
/// Greatest part of a transfer in one message.
pub const PART: size::Bytes = size::Bytes(256 * 1024);
/// Greatest size of all files of a revision.
pub const SET_MAX: size::Bytes = size::Bytes(16 * 1024 * 1024);

/// Identity and timing of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance.
    pub me: instance::Id,
    /// Shortest age of the last confirmation after which the platform is read.
    pub confirm: Span,
    /// Greatest random addition to it.
    pub confirm_jitter: Span,
    /// Reads a second by all that are no readers, while none is confirmed.
    pub fallback_rate: rate::PerSecond,
    /// Silence of all peers after which an instance reads without regard to others.
    pub cut_off: Span,
    /// Longest time that the platform holds a waiting read open.
    pub wait: Span,
    /// Shortest and longest pause after a failed read.
    pub backoff: (Span, Span),
    /// Longest pause of a reader after a failed read.
    pub reader_backoff: Span,
    /// Time without a further part after which a transfer is given up.
    pub pull_timeout: Span,
    /// How long a joining instance waits for the platform and for a peer.
    pub join_wait: Span,
    /// Greatest random delay of a joining instance's first read.
    pub join_jitter: Span,
    /// Greatest part of a transfer in one message.
    pub part: size::Bytes,
    /// Greatest size of all files of a revision.
    pub set_max: size::Bytes,
    /// Seed of every random choice.
    pub seed: u64,
}

impl Settings {
    /// Settings of `me` with the usual timing.
    pub fn new(me: instance::Id, seed: u64) -> Self {
        Settings {
            me,
            confirm: CONFIRM,
            confirm_jitter: CONFIRM_JITTER,
            fallback_rate: FALLBACK_RATE,
            cut_off: CUT_OFF,
            wait: LONG_POLL_WAIT,
            backoff: BACKOFF,
            reader_backoff: READER_BACKOFF,
            pull_timeout: PULL_TIMEOUT,
            join_wait: JOIN_WAIT,
            join_jitter: JOIN_JITTER,
            part: PART,
            set_max: SET_MAX,
            seed,
        }
    }
}
