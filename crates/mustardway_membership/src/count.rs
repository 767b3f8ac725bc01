//! Counters of what was ignored or decided.

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages without a known body.
    pub without_body: u64,
    /// Entries with a bad name, address or state.
    pub malformed: u64,
    /// Entries beyond the number allowed in a message.
    pub excess: u64,
    /// Entries beyond the number of instances kept.
    pub overflow: u64,
    /// Instances that this one declared dead.
    pub declared_dead: u64,
    /// Claims of this instance's own death that it refuted.
    pub refuted: u64,
    /// Suspicions that another instance cleared.
    pub suspicions_cleared: u64,
    /// Times that this instance found that it had been paused.
    pub pauses: u64,
    /// Times that nobody at all was heard for a lease.
    pub isolated: u64,
    /// Tables exchanged to mend a difference.
    pub tables_sent: u64,
}
