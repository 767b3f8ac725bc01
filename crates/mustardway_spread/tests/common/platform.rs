//! A stand-in for the platform: one revision, held calls and failures.

use mustardway_spread::platform::{Answer, Content, Failure};
use mustardway_spread::set::Files;
use mustardway_types::revision;
use mustardway_types::time::{Instant, Span};

/// Longest that the platform holds a call.
const WAIT: Span = Span::seconds(30);

/// A call that is held open.
struct Call {
    host: usize,
    after: u64,
    due: Instant,
}

/// What the platform publishes, and whether it answers.
pub struct Platform {
    pub number: u64,
    pub files: Files,
    pub failure: Option<Failure>,
    pub calls: u64,
    waiting: Vec<Call>,
}

/// An answer and the host that it goes to.
pub type Reply = (usize, Result<Answer, Failure>);

impl Platform {
    pub fn new(number: u64, files: Files) -> Self {
        Platform { number, files, failure: None, calls: 0, waiting: Vec::new() }
    }

    /// Takes a call; none where it is held open.
    pub fn read(&mut self, host: usize, after: u64, wait: bool, now: Instant) -> Option<Reply> {
        self.calls += 1;
        if wait && self.failure.is_none() && self.number <= after {
            self.waiting.push(Call { host, after, due: now + WAIT });
            return None;
        }
        Some((host, self.answer(after)))
    }

    /// Ends the held calls that there is an answer to.
    pub fn end_waits(&mut self, now: Instant) -> Vec<Reply> {
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

    /// Drops the held calls of a host; whether there were any.
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
