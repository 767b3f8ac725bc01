//! Counts of what a gate decided.

use mustardway_types::answer;
use serde::Serialize;

/// Counts since the gate was made.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counters {
    /// Packets that ran at once.
    pub run: u64,
    /// Packets that waited.
    pub queued: u64,
    /// Packets that started after waiting.
    pub started: u64,
    /// Duplicates that joined a request.
    pub joined: u64,
    /// Duplicates that got a remembered reply.
    pub replayed: u64,
    /// Packets of flows placed elsewhere.
    pub moved: u64,
    /// Packets of unknown flows.
    pub unknown_flow: u64,
    /// Packets that another instance must judge.
    pub not_owner: u64,
    /// Packets sent back until the barrier passes.
    pub wait: u64,
    /// Flows opened.
    pub opened: u64,
    /// Flows closed by their caller.
    pub closed: u64,
    /// Flows dropped as idle.
    pub idle: u64,
    /// Ordinary requests that gave way to urgent ones.
    pub evicted: u64,
    /// Answers by reason, in the order of [`answer::TABLE`].
    pub answers: [u64; answer::TABLE.len()],
}

impl Counters {
    /// Counts an answer.
    pub fn answer(&mut self, reason: answer::Reason) {
        self.answers[reason as usize] += 1;
    }

    /// Answers for one reason.
    pub fn answered(&self, reason: answer::Reason) -> u64 {
        self.answers[reason as usize]
    }
}
