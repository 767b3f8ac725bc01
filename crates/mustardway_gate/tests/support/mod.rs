//! Helpers of the tests that create gates, packets and outcomes.
#![allow(dead_code, clippy::unwrap_used)]

pub mod events;
pub mod simulation;

use bytes::Bytes;
use mustardway_gate::{
    Admission, Ask, Candidate, Ending, Gate, Mode, Outcome, Ownership, Step, ticket,
};
use mustardway_types::{answer, flow, packet, request, time};
use mustardway_view::model::Limits;

pub const SEED: u64 = 7;

pub fn at(millis: u64) -> time::Instant {
    time::Instant(100_000_000 + millis * 1_000)
}

pub fn limits(slots: u32, cold_slots: u32, queue: u32) -> Limits {
    let warm_up = time::Span::seconds(10);
    Limits { slots, cold_slots, connections: 100, warm_up, queue }
}

/// Returns an ownership state that has been serving for longer than any request may be retried.
pub fn serving() -> Ownership {
    Ownership::Serving { since: time::Instant::default(), inherited: false }
}

pub fn gate_at(instance: &str, limits: Limits, ownership: Ownership, now: time::Instant) -> Gate {
    let target = "reservas-1".parse().unwrap();
    Gate::new(target, instance.parse().unwrap(), limits, ownership, SEED, now)
}

/// Creates a gate that has been serving for long, for a target that is warm from the start.
pub fn gate(slots: u32, queue: u32) -> Gate {
    gate_at("entry-1", limits(slots, slots, queue), serving(), at(0))
}

pub fn header(flow: u64, request: u64) -> packet::Header {
    packet::Header {
        address: "10.0.0.7:443".parse().unwrap(),
        flow: flow::Id(flow),
        request: request::Id(request),
        part: 0,
        parts: 1,
        opening: true,
        closing: false,
        repeat: request::Repeat::Once,
        attempt: 1,
        urgency: request::Urgency::Ordinary,
    }
}

/// Creates an ask for a new flow, due at ten seconds.
pub fn ask(flow: u64, request: u64, ticket: u64) -> Ask {
    Ask {
        header: header(flow, request),
        deadline: at(10_000),
        mode: Mode::Open { candidate: Candidate::First, fresh: true },
        ticket: ticket::Id(ticket),
    }
}

pub fn urgent(mut ask: Ask) -> Ask {
    ask.header.urgency = request::Urgency::Urgent;
    ask
}

pub fn due(mut ask: Ask, millis: u64) -> Ask {
    ask.deadline = at(millis);
    ask
}

pub fn attempt(mut ask: Ask, attempt: u32) -> Ask {
    ask.header.attempt = attempt;
    ask
}

pub fn mode(mut ask: Ask, mode: Mode) -> Ask {
    ask.mode = mode;
    ask
}

/// Admits a packet and checks that no step follows.
pub fn admit(gate: &mut Gate, now: time::Instant, ask: &Ask) -> Admission {
    let mut steps = Vec::new();
    let admission = gate.admit(now, ask, &mut steps);
    assert_eq!(steps, []);
    admission
}

pub fn ended(ending: Ending, millis: u64) -> Outcome {
    Outcome { ending, took: time::Span::millis(millis) }
}

pub fn done(millis: u64) -> Outcome {
    ended(Ending::Done(Bytes::from_static(b"booked")), millis)
}

pub fn finish(gate: &mut Gate, now: time::Instant, ticket: u64, outcome: Outcome) -> Vec<Step> {
    let mut steps = Vec::new();
    gate.finish(now, ticket::Id(ticket), outcome, &mut steps);
    steps
}

pub fn tick(gate: &mut Gate, now: time::Instant) -> Vec<Step> {
    let mut steps = Vec::new();
    gate.tick(now, &mut steps);
    steps
}

pub fn reason(admission: &Admission) -> Option<answer::Reason> {
    match admission {
        Admission::Answer(answer) => Some(answer.reason),
        Admission::TryNext(refusal) => Some(refusal.answer.reason),
        _ => None,
    }
}
