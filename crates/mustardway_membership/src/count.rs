//! Counters of ignored input and of decisions.

/// Counters since the start of this instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages without a body of a known kind.
    pub without_body: u64,
    /// Malformed input: entries with a bad name, address, state or incarnation, and
    /// queries, vouches and summaries that cannot be used.
    pub malformed: u64,
    /// Entries ignored because a message held more than allowed.
    pub excess: u64,
    /// Entries ignored because the table was full.
    pub overflow: u64,
    /// Instances that this instance declared dead after a lease of silence.
    pub declared_dead: u64,
    /// Claims about this instance that it refuted with a greater incarnation.
    pub refuted: u64,
    /// Suspicions that were cleared because another instance had heard the
    /// suspect.
    pub suspicions_cleared: u64,
    /// Pauses of this instance that it detected.
    pub pauses: u64,
    /// Times that no peer at all was heard for a lease.
    pub isolated: u64,
    /// Tables sent in answer to a summary that differed.
    pub tables_sent: u64,
}
