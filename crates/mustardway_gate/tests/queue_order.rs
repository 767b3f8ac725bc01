//! Order, limits and expiry of the queue.

mod support;

use assert_matches::assert_matches;
use mustardway_gate::{Admission, Gate, Step, ticket};
use mustardway_types::answer::{Kind, Reason};
use support::{admit, ask, at, done, due, finish, gate, reason, tick, urgent};

/// Creates a gate whose only slot is taken and whose service time is 100 ms.
fn busy_gate(queue: u32) -> Gate {
    let mut gate = gate(1, queue);
    admit(&mut gate, at(0), &ask(90, 1, 900));
    finish(&mut gate, at(100), 900, done(100));
    admit(&mut gate, at(100), &ask(91, 1, 901));
    gate
}

#[test]
fn urgent_request_starts_first() {
    let mut gate = busy_gate(8);
    for (ask, number) in [
        (due(ask(1, 1, 1), 5_000), 1),
        (due(ask(2, 1, 2), 4_000), 2),
        (urgent(due(ask(3, 1, 3), 9_000)), 3),
    ] {
        assert_matches!(admit(&mut gate, at(100), &ask), Admission::Queued, "{number}");
    }
    let mut order = Vec::new();
    let mut running = 901;
    for turn in 2..5 {
        let steps = finish(&mut gate, at(turn * 100), running, done(100));
        assert_matches!(steps[..], [Step::Answer(..), Step::Start(_)]);
        let Step::Start(ticket) = steps[1] else { continue };
        running = ticket.0;
        order.push(running);
    }
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn request_that_cannot_start_in_time_is_refused() {
    let mut gate = busy_gate(8);
    assert_matches!(admit(&mut gate, at(100), &due(ask(1, 1, 1), 700)), Admission::Queued);
    assert_matches!(admit(&mut gate, at(100), &due(ask(2, 1, 2), 800)), Admission::Queued);
    let refused = admit(&mut gate, at(100), &due(ask(3, 1, 3), 400));
    assert_matches!(refused, Admission::Queued);
    let refused = admit(&mut gate, at(100), &due(ask(4, 1, 4), 450));
    assert_eq!(reason(&refused), Some(Reason::TooLate));
    let refused = admit(&mut gate, at(100), &due(ask(5, 1, 5), 100));
    assert_eq!(reason(&refused), Some(Reason::TooLate));
}

#[test]
fn expired_request_is_answered_at_once() {
    let mut gate = busy_gate(8);
    admit(&mut gate, at(100), &due(ask(1, 1, 1), 700));
    assert_eq!(tick(&mut gate, at(400)), []);
    let steps = tick(&mut gate, at(401));
    let [Step::Answer(ticket::Id(1), answer)] = steps[..] else { panic!("{steps:?}") };
    assert_eq!((answer.reason, answer.kind()), (Reason::Expired, Kind::GaveUp));
    assert_eq!(gate.load(at(401)).queued, 0);
}

#[test]
fn urgent_request_evicts_ordinary_one() {
    let mut gate = busy_gate(4);
    for flow in 1..=3 {
        let ask = due(ask(flow, 1, flow), 9_000 + flow);
        assert_matches!(admit(&mut gate, at(100), &ask), Admission::Queued);
    }
    let full = admit(&mut gate, at(100), &due(ask(4, 1, 4), 9_000));
    assert_eq!(reason(&full), Some(Reason::Full));
    let fits = urgent(due(ask(5, 1, 5), 9_000));
    assert_matches!(admit(&mut gate, at(100), &fits), Admission::Queued);
    let mut steps = Vec::new();
    let evicts = urgent(due(ask(6, 1, 6), 9_000));
    assert_matches!(gate.admit(at(100), &evicts, &mut steps), Admission::Queued);
    assert_matches!(steps[..], [Step::TryNext(ticket::Id(3), refusal)]
        if refusal.answer.reason == Reason::Full);
    assert_eq!(gate.load(at(100)).queued, 4);
}

#[test]
fn retry_after_times_are_spread() {
    let mut gate = gate(1, 0);
    admit(&mut gate, at(0), &ask(1, 1, 1));
    let mut spans = std::collections::BTreeSet::new();
    for flow in 2..52 {
        let Admission::TryNext(refusal) = admit(&mut gate, at(0), &ask(flow, 1, flow)) else {
            panic!("flow {flow} was not refused");
        };
        spans.insert(refusal.answer.come_back.unwrap());
    }
    assert!(spans.len() > 45, "{} different times for 50 callers", spans.len());
}

#[test]
fn cancel_ends_queued_and_aborts_running() {
    let mut gate = busy_gate(4);
    admit(&mut gate, at(100), &ask(1, 1, 1));
    let mut steps = Vec::new();
    gate.cancel(at(110), ticket::Id(1), &mut steps);
    assert_matches!(steps[..], [Step::Answer(ticket::Id(1), answer)]
        if answer.reason == Reason::Cancelled);
    steps.clear();
    gate.cancel(at(110), ticket::Id(901), &mut steps);
    assert_eq!(steps, [Step::Abort(ticket::Id(901))]);
}
