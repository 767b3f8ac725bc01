//! One request, from its first try to its end.

use std::time::Duration;

use compact_str::CompactString;
use mustardway_types::answer::{self, Reason};
use mustardway_types::flow;
use mustardway_types::packet::Header;
use mustardway_types::request::{self, Repeat};
use mustardway_wire::convert;
use mustardway_wire::packet::{Packet, Reply};
use tokio::time::Instant;

use super::flow::{Flow, Pool};
use super::report::{Course, Outcome};
use super::workload::{Kind, Persistence};
use crate::fabric::{self, Fabric};
use crate::payload::{self, Key};

/// Wait before coming back where the answer names none.
const COME_BACK: Duration = Duration::from_millis(20);

/// An answer "not run" to one attempt, for the check against the ledgers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun {
    /// What was asked.
    pub key: Key,
    /// Attempt that it answers.
    pub attempt: u32,
}

/// One request under way.
pub struct Request<'a> {
    /// Its kind.
    pub kind: &'a Kind,
    /// How its caller goes on.
    pub persistence: Persistence,
    /// Where its packets go.
    pub fabric: &'a Fabric,
    /// Where new flows come from.
    pub pool: &'a Pool,
    /// Flow that it goes over.
    pub flow: Flow,
    /// Id, unique within the flow.
    pub id: u64,
    /// What happened so far.
    pub course: Course,
    /// Answers "not run" so far.
    pub not_run: Vec<NotRun>,
}

/// What to do after a reply.
enum Step {
    /// The part is whole.
    Done,
    /// Try again after a while.
    Again(Duration, Outcome),
    /// Try again over a new flow.
    Reopen(Outcome),
    /// It has ended.
    End(Outcome),
}

impl Request<'_> {
    /// Asks for every part; returns how it ended.
    pub async fn run(&mut self, started: Instant, closes: bool) -> Outcome {
        for part in 0..self.kind.parts {
            let is_last = part + 1 == self.kind.parts;
            if let Some(outcome) = self.fetch(part, started, closes && is_last).await {
                return outcome;
            }
        }
        match started.elapsed() <= self.kind.deadline {
            true => Outcome::InTime,
            false => Outcome::Late,
        }
    }

    /// Asks for one part until it is there; returns how it ended otherwise.
    async fn fetch(&mut self, part: u32, started: Instant, closing: bool) -> Option<Outcome> {
        let deadline = started + self.kind.deadline;
        let mut attempt = 1;
        loop {
            let header = self.header(part, attempt, closing);
            let left = deadline.saturating_duration_since(Instant::now());
            let packet = self.packet(&header);
            let result = self.fabric.send(&packet, left.min(self.kind.patience)).await;
            let wait = match self.judge(&header, result) {
                Step::Done => {
                    self.flow.established = true;
                    return None;
                }
                Step::End(outcome) => return Some(outcome),
                Step::Reopen(outcome) => {
                    if Instant::now() >= deadline {
                        return Some(outcome);
                    }
                    self.flow = self.pool.replace();
                    attempt = 1;
                    continue;
                }
                Step::Again(wait, outcome) => {
                    let is_last = attempt >= self.persistence.attempts_max;
                    if is_last || Instant::now() + wait >= deadline {
                        return Some(outcome);
                    }
                    wait
                }
            };
            attempt += 1;
            self.course.resent += 1;
            tokio::time::sleep(wait).await;
        }
    }

    fn header(&self, part: u32, attempt: u32, closing: bool) -> Header {
        Header {
            address: self.kind.address,
            flow: flow::Id(self.flow.id),
            request: request::Id(self.id),
            part,
            parts: self.kind.parts,
            opening: !self.flow.established,
            closing,
            repeat: self.kind.repeat,
            attempt,
            urgency: self.kind.urgency,
        }
    }

    fn packet(&self, header: &Header) -> Packet {
        Packet {
            header: Some(convert::encode_header(header)),
            payload: self.kind.wish.encode(self.kind.request_bytes),
        }
    }

    /// Decides what a reply means.
    fn judge(&mut self, header: &Header, result: Result<Reply, fabric::Error>) -> Step {
        let reply = match result {
            Ok(reply) => reply,
            Err(error) => return self.judge_loss(error),
        };
        let reason = CompactString::from(reply.reason.as_str());
        let kind = convert::decode_kind(reply.answer);
        if kind.says_not_run() {
            let key = key(header);
            self.not_run.push(NotRun { key, attempt: header.attempt });
        }
        match kind {
            answer::Kind::Done if is_own(header, self.kind, &reply) => Step::Done,
            answer::Kind::Done => Step::End(Outcome::Wrong),
            answer::Kind::Refused | answer::Kind::GaveUp => {
                self.course.came_back += 1;
                Step::Again(come_back(&reply), Outcome::Refused(reason))
            }
            answer::Kind::Unknown if self.kind.repeat == Repeat::Once => {
                Step::End(Outcome::Unknown(reason))
            }
            answer::Kind::Unknown => Step::Again(come_back(&reply), Outcome::Unknown(reason)),
            answer::Kind::FlowEnded => self.judge_flow_ended(reason),
            answer::Kind::BadRequest => Step::End(Outcome::Bad(reason)),
        }
    }

    fn judge_loss(&self, error: fabric::Error) -> Step {
        match self.persistence.resends {
            true => Step::Again(COME_BACK, Outcome::Lost(error)),
            false => Step::End(Outcome::Lost(error)),
        }
    }

    fn judge_flow_ended(&mut self, reason: CompactString) -> Step {
        if self.flow.established {
            let given_up = reason == Reason::DomainOut.to_string();
            match given_up {
                true => self.course.given_up_flows += 1,
                false => self.course.broken_flows += 1,
            }
        }
        match self.persistence.reopens {
            true => Step::Reopen(Outcome::FlowEnded(reason)),
            false => Step::End(Outcome::FlowEnded(reason)),
        }
    }
}

/// Whether `reply` is the whole answer to `header`.
pub fn is_own(header: &Header, kind: &Kind, reply: &Reply) -> bool {
    let key = key(header);
    reply.flow == key.flow
        && reply.request == key.request
        && reply.part == key.part
        && reply.parts == header.parts
        && reply.payload == payload::answer(key, kind.wish.answer_bytes)
}

/// What `header` asks for.
fn key(header: &Header) -> Key {
    Key { flow: header.flow.0, request: header.request.0, part: header.part }
}

fn come_back(reply: &Reply) -> Duration {
    match reply.come_back_millis {
        0 => COME_BACK,
        millis => Duration::from_millis(millis),
    }
}
