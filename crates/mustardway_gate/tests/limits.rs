//! Limits of a target: slots, connections, and slots reserved for urgent
//! requests.

mod support;

use assert_matches::assert_matches;
use mustardway_gate::{Admission, Step, ticket};
use mustardway_types::answer::Reason;
use support::{admit, ask, at, done, finish, gate, gate_at, limits, reason, serving, urgent};

#[test]
fn running_requests_never_exceed_slots() {
    let mut gate = gate(2, 4);
    assert_matches!(admit(&mut gate, at(0), &ask(1, 1, 1)), Admission::Run);
    assert_matches!(admit(&mut gate, at(0), &ask(2, 1, 2)), Admission::Run);
    assert_matches!(admit(&mut gate, at(0), &ask(3, 1, 3)), Admission::Queued);
    assert_eq!(gate.load(at(0)).running, 2);
    let steps = finish(&mut gate, at(10), 1, done(10));
    assert_matches!(steps[..], [Step::Answer(ticket::Id(1), _), Step::Start(ticket::Id(3))]);
    assert_eq!(gate.load(at(10)).running, 2);
}

#[test]
fn open_flows_never_exceed_connections() {
    let mut limits = limits(4, 4, 4);
    limits.connections = 2;
    let mut gate = gate_at("entry-1", limits, serving(), at(0));
    for flow in 1..=2 {
        assert_matches!(admit(&mut gate, at(0), &ask(flow, 1, flow)), Admission::Run);
        finish(&mut gate, at(1), flow, done(1));
    }
    assert_eq!(reason(&admit(&mut gate, at(2), &ask(3, 1, 3))), Some(Reason::Full));
    assert_matches!(admit(&mut gate, at(2), &ask(1, 2, 4)), Admission::Run);
}

#[test]
fn one_slot_is_reserved_for_urgent_requests() {
    let mut gate = gate(8, 8);
    for flow in 1..=7 {
        assert_matches!(admit(&mut gate, at(0), &ask(flow, 1, flow)), Admission::Run);
    }
    assert_matches!(admit(&mut gate, at(0), &ask(8, 1, 8)), Admission::Queued);
    assert_matches!(admit(&mut gate, at(0), &urgent(ask(9, 1, 9))), Admission::Run);
    assert_matches!(admit(&mut gate, at(0), &urgent(ask(10, 1, 10))), Admission::Queued);
}

#[test]
fn closing_request_frees_connection() {
    let mut gate = gate(2, 4);
    let mut last = ask(1, 1, 1);
    last.header.closing = true;
    assert_matches!(admit(&mut gate, at(0), &last), Admission::Run);
    assert_eq!(gate.flows(), 1);
    finish(&mut gate, at(1), 1, done(1));
    assert_eq!(gate.flows(), 0);
    last.ticket = ticket::Id(2);
    assert_matches!(admit(&mut gate, at(2), &last), Admission::Replay(_));
}
