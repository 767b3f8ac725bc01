//! Counters of the decisions of a gate.

use mustardway_types::answer;
use serde::Serialize;

/// Numbers of decisions since the gate was created.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counters {
    /// Packets that were started without waiting.
    pub run: u64,
    /// Packets that were queued.
    pub queued: u64,
    /// Queued packets that were started later.
    pub started: u64,
    /// Duplicates that joined a running or waiting request.
    pub joined: u64,
    /// Duplicates that were answered with a stored reply.
    pub replayed: u64,
    /// Packets of flows that are placed on another target.
    pub moved: u64,
    /// Packets of unknown flows.
    pub unknown_flow: u64,
    /// Packets that another instance must decide on.
    pub not_owner: u64,
    /// Packets that were sent back because the gate was still rebuilding its state.
    pub wait: u64,
    /// Flows opened.
    pub opened: u64,
    /// Flows closed by their caller.
    pub closed: u64,
    /// Flows dropped by the idle timeout.
    pub idle: u64,
    /// Ordinary requests evicted from the queue by urgent ones.
    pub evicted: u64,
    /// Number of answers for each reason, in the order of [`answer::TABLE`].
    pub answers: [u64; answer::TABLE.len()],
}

impl Counters {
    /// Counts an answer.
    pub fn answer(&mut self, reason: answer::Reason) {
        self.answers[reason as usize] += 1;
    }

    /// Returns the number of answers with the given reason.
    pub fn answered(&self, reason: answer::Reason) -> u64 {
        self.answers[reason as usize]
    }
}
