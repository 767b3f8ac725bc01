//! A simulated platform: it publishes one revision, holds long polls open and can
//! fail.

use mustardway_spread::platform::{Answer, Content, Failure};
use mustardway_spread::set::Files;
use mustardway_types::revision;
use mustardway_types::time::{Instant, Span};

/// A long poll that is held open.
struct Call {
    host: usize,
    after: u64,
    due: Instant,
}

/// The published revision, the failure of the platform if any, and the open calls.
pub struct Platform {
    pub number: u64,
    pub files: Files,
    pub failure: Option<Failure>,
    pub calls: u64,
    waiting: Vec<Call>,
}

/// A host and the answer that it gets.
pub type Reply = (usize, Result<Answer, Failure>);

impl Platform {
    pub fn new(number: u64, files: Files) -> Self {
        Platform { number, files, failure: None, calls: 0, waiting: Vec::new() }
    }

    /// Handles a call and returns its answer, or `None` if the call is held open.
    pub fn read(&mut self, host: usize, after: u64, wait: Span, now: Instant) -> Option<Reply> {
        self.calls += 1;
        if wait > Span::ZERO && self.failure.is_none() && self.number <= after {
            self.waiting.push(Call { host, after, due: now + wait });
            return None;
        }
        Some((host, self.answer(after)))
    }

    /// Ends the held calls that have an answer or are due, and returns the answers.
    pub fn end_waiting_reads(&mut self, now: Instant) -> Vec<Reply> {
        let mut replies = Vec::new();
        for call in std::mem::take(&mut self.waiting) {
            if self.failure.is_none() && self.number <= call.after && now < call.due {
                self.waiting.push(call);
                continue;
            }
            replies.push((call.host, self.answer(call.after)));
        }
        replies
    }

    /// Drops the held calls of a host, and returns whether there were any.
    pub fn drop_calls(&mut self, host: usize) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|call| call.host != host);
        self.waiting.len() < before
    }

    fn answer(&self, after: u64) -> Result<Answer, Failure> {
        if let Some(failure) = self.failure {
            return Err(failure);
        }
        let whole = self.number > after;
        let content = if whole { Content::Whole(self.files.clone()) } else { Content::NotChanged };
        Ok(Answer { number: revision::Number(self.number), content })
    }
}
