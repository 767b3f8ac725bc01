//! The time that a target takes for the requests of one flow, from its caller's packets.

use mustardway_types::time::{Instant, Span};

/// An answered request of a flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer {
    /// Time from the last byte of the request to the first part of the answer, without the
    /// round trip if that is known.
    pub time: Span,
    /// Time of the last byte of the request.
    pub requested: Instant,
    /// Number of bytes of the answer that the caller has acknowledged.
    pub bytes: u32,
    /// Whether the target had a free slot when the request began, as far as was known.
    pub is_unqueued: bool,
}

/// Times of the latest request of a flow.
#[derive(Debug, Clone, Copy, Default)]
pub struct Measurement {
    /// Round trip from this instance by way of the target and the caller.
    round_trip: Option<Span>,
    /// Time of the latest new data of the request.
    last_data: Instant,
    /// Sequence number up to which the caller had received when it sent the request.
    acknowledged_before: u32,
    /// Whether the target had a free slot when the request began.
    is_unqueued: bool,
    /// Time of the answer, until its size is known.
    answered: Option<Span>,
}

impl Measurement {
    /// Records the round trip that opening the flow took.
    pub fn record_round_trip(&mut self, round_trip: Span) {
        self.round_trip = Some(round_trip);
    }

    /// Records the beginning of a request.
    pub fn begin_request(&mut self, acknowledged: u32, is_unqueued: bool, now: Instant) {
        self.acknowledged_before = acknowledged;
        self.is_unqueued = is_unqueued;
        self.last_data = now;
        self.answered = None;
    }

    /// Records further new data of the request.
    pub fn continue_request(&mut self, now: Instant) {
        self.last_data = now;
    }

    /// Records the first part of the answer to a request.
    pub fn record_answer(&mut self, usual_round_trip: Span, now: Instant) {
        let round_trip = self.round_trip.unwrap_or(usual_round_trip);
        self.answered = Some(now.since(self.last_data).saturating_sub(round_trip));
    }

    /// Returns the answer, with the bytes that the caller has acknowledged so far.
    pub fn answer(&self, acknowledged: u32) -> Option<Answer> {
        let time = self.answered?;
        let bytes = acknowledged.wrapping_sub(self.acknowledged_before);
        Some(Answer { time, requested: self.last_data, bytes, is_unqueued: self.is_unqueued })
    }

    /// Removes and returns the answer.
    pub fn take_answer(&mut self, acknowledged: u32) -> Option<Answer> {
        let answer = self.answer(acknowledged);
        self.answered = None;
        answer
    }
}
