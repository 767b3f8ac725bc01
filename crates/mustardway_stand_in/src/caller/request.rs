//! One request with its parts and retries.

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
use super::report::{Events, Outcome};
use super::workload::{Kind, RetryPolicy};
use crate::fabric::{self, Fabric};
use crate::payload::{self, Key};

/// Delay before a retry when the answer carries no delay.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// An attempt that was answered "not run"; the audit compares it with the ledgers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun {
    /// Request part of the attempt.
    pub key: Key,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// A request in progress.
pub struct Request<'a> {
    /// Kind of the request.
    pub kind: &'a Kind,
    /// Retry policy of the caller.
    pub retry_policy: RetryPolicy,
    /// Fabric that carries the packets.
    pub fabric: &'a Fabric,
    /// Pool that provides a new flow when the current one ends.
    pub pool: &'a Pool,
    /// Flow that carries the request.
    pub flow: Flow,
    /// Id of the request, unique within the flow.
    pub id: u64,
    /// Events so far.
    pub events: Events,
    /// Attempts that were answered "not run" so far.
    pub not_run: Vec<NotRun>,
}

/// Next step after a reply or a failed call.
enum Step {
    /// The part is complete.
    Done,
    /// Retry after the delay; the outcome applies when no attempt is left.
    Retry(Duration, Outcome),
    /// Retry over a new flow; the outcome applies when the deadline has passed.
    Reopen(Outcome),
    /// The request has ended.
    End(Outcome),
}

impl Request<'_> {
    /// Fetches every part and returns the outcome.
    pub async fn run(&mut self, due: Instant, closes_flow: bool) -> Outcome {
        for part in 0..self.kind.parts {
            let is_last = part + 1 == self.kind.parts;
            if let Some(outcome) = self.fetch(part, due, closes_flow && is_last).await {
                return outcome;
            }
        }
        match due.elapsed() <= self.kind.deadline {
            true => Outcome::InTime,
            false => Outcome::Late,
        }
    }

    /// Fetches one part with retries; returns the outcome when the request ends without it.
    async fn fetch(&mut self, part: u32, due: Instant, closing: bool) -> Option<Outcome> {
        let deadline = due + self.kind.deadline;
        let mut attempt = 1;
        loop {
            let header = self.header(part, attempt, closing);
            let left = deadline.saturating_duration_since(Instant::now());
            let packet = self.packet(&header);
            let result = self.fabric.send(&packet, left.min(self.kind.resend_timeout)).await;
            let wait = match self.next_step(&header, result) {
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
                Step::Retry(wait, outcome) => {
                    let is_last = attempt >= self.retry_policy.attempts_max;
                    if is_last || Instant::now() + wait >= deadline {
                        return Some(outcome);
                    }
                    wait
                }
            };
            attempt += 1;
            self.events.resent += 1;
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
            payload: self.kind.demand.encode(self.kind.request_bytes),
        }
    }

    /// Decides the next step after the result of an attempt.
    fn next_step(&mut self, header: &Header, result: Result<Reply, fabric::Error>) -> Step {
        let reply = match result {
            Ok(reply) => reply,
            Err(error) => return self.step_after_error(error),
        };
        let reason = CompactString::from(reply.reason.as_str());
        let kind = convert::decode_kind(reply.answer);
        if kind.says_not_run() {
            let key = key(header);
            self.not_run.push(NotRun { key, attempt: header.attempt });
        }
        match kind {
            answer::Kind::Done if is_answer_to(header, self.kind, &reply) => Step::Done,
            answer::Kind::Done => Step::End(Outcome::Wrong),
            answer::Kind::Refused | answer::Kind::GaveUp => {
                self.events.came_back += 1;
                Step::Retry(retry_delay(&reply), Outcome::Refused(reason))
            }
            answer::Kind::Unknown if self.kind.repeat == Repeat::Once => {
                Step::End(Outcome::Unknown(reason))
            }
            answer::Kind::Unknown => Step::Retry(retry_delay(&reply), Outcome::Unknown(reason)),
            answer::Kind::FlowEnded => self.step_after_flow_end(reason),
            answer::Kind::BadRequest => Step::End(Outcome::Bad(reason)),
        }
    }

    fn step_after_error(&self, error: fabric::Error) -> Step {
        match self.retry_policy.resends {
            true => Step::Retry(DEFAULT_RETRY_DELAY, Outcome::Lost(error)),
            false => Step::End(Outcome::Lost(error)),
        }
    }

    fn step_after_flow_end(&mut self, reason: CompactString) -> Step {
        if self.flow.established {
            let is_domain_out = reason == Reason::DomainOut.to_string();
            match is_domain_out {
                true => self.events.given_up_flows += 1,
                false => self.events.broken_flows += 1,
            }
        }
        match self.retry_policy.reopens {
            true => Step::Reopen(Outcome::FlowEnded(reason)),
            false => Step::End(Outcome::FlowEnded(reason)),
        }
    }
}

/// Returns whether `reply` is the complete answer to `header`.
pub fn is_answer_to(header: &Header, kind: &Kind, reply: &Reply) -> bool {
    let key = key(header);
    reply.flow == key.flow
        && reply.request == key.request
        && reply.part == key.part
        && reply.parts == header.parts
        && reply.payload == payload::answer(key, kind.demand.answer_bytes)
}

/// Returns the key of the part that `header` requests.
fn key(header: &Header) -> Key {
    Key { flow: header.flow.0, request: header.request.0, part: header.part }
}

fn retry_delay(reply: &Reply) -> Duration {
    match reply.come_back_millis {
        0 => DEFAULT_RETRY_DELAY,
        millis => Duration::from_millis(millis),
    }
}
