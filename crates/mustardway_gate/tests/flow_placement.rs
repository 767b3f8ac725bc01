//! Flows that are refused here, placed on another target or reserved for one.

mod support;

use assert_matches::assert_matches;
use mustardway_gate::{Admission, Candidate, Key, Mode};
use mustardway_types::answer::Reason;
use support::{admit, ask, at, attempt, done, finish, gate, mode, reason, tick};

fn with_last_candidate(ask: mustardway_gate::Ask) -> mustardway_gate::Ask {
    mode(ask, Mode::Open { candidate: Candidate::Last, fresh: true })
}

#[test]
fn leaving_target_refuses_new_flows() {
    let mut gate = gate(2, 4);
    admit(&mut gate, at(0), &ask(1, 1, 1));
    finish(&mut gate, at(1), 1, done(1));
    gate.set_leaving(true);
    assert_eq!(reason(&admit(&mut gate, at(2), &ask(2, 1, 2))), Some(Reason::Leaving));
    assert_matches!(admit(&mut gate, at(2), &ask(1, 2, 3)), Admission::Run);
}

#[test]
fn duplicate_repeats_refusal_until_reported() {
    let mut gate = gate(2, 4);
    gate.set_leaving(true);
    let first = admit(&mut gate, at(0), &ask(1, 1, 1));
    gate.set_leaving(false);
    assert_eq!(admit(&mut gate, at(100), &ask(1, 1, 2)), first, "a duplicate follows the first");
    let key = Key::of(&ask(1, 1, 1).header);
    gate.record_no_placement(at(200), key, 1);
    let second = attempt(ask(1, 1, 3), 2);
    assert_eq!(admit(&mut gate, at(200), &second), first, "one ingress has not reported");
    gate.record_no_placement(at(300), key, 1);
    gate.record_no_placement(at(300), key, 1);
    let next = attempt(ask(1, 1, 4), 2);
    assert_matches!(admit(&mut gate, at(300), &next), Admission::Run);
}

#[test]
fn placed_flow_is_redirected_until_dropped() {
    let mut gate = gate(2, 4);
    gate.set_leaving(true);
    admit(&mut gate, at(0), &ask(1, 1, 1));
    let second: mustardway_types::target::Id = "reservas-2".parse().unwrap();
    gate.record_placement(at(1), ask(1, 1, 1).header.flow, second.clone());
    gate.set_leaving(false);
    let moved = admit(&mut gate, at(2), &attempt(ask(1, 1, 2), 2));
    assert_eq!(moved, Admission::Moved(second));
    tick(&mut gate, at(100_000));
    let again = support::due(attempt(ask(1, 1, 3), 2), 200_000);
    let unsure = admit(&mut gate, at(100_000), &again);
    assert_matches!(unsure, Admission::TryNext(refusal) if !refusal.fresh);
    let again = mode(again, Mode::Open { candidate: Candidate::Last, fresh: false });
    assert_eq!(reason(&admit(&mut gate, at(100_000), &again)), Some(Reason::Forgotten));
}

#[test]
fn reserved_flow_is_redirected() {
    let mut gate = gate(2, 4);
    let elsewhere: mustardway_types::target::Id = "reservas-3".parse().unwrap();
    let reserve = |ask| mode(ask, Mode::Reserve { elsewhere: elsewhere.clone() });
    let reserved = admit(&mut gate, at(0), &reserve(ask(1, 1, 1)));
    assert_eq!(reserved, Admission::Reserved { fresh: true });
    assert_eq!(admit(&mut gate, at(1), &ask(1, 1, 2)), Admission::Moved(elsewhere.clone()));
    admit(&mut gate, at(2), &ask(2, 1, 3));
    assert_eq!(
        admit(&mut gate, at(3), &reserve(attempt(ask(2, 1, 4), 2))),
        Admission::Join(mustardway_gate::ticket::Id(3)),
        "a flow that is here stays"
    );
}

#[test]
fn flow_above_mean_load_is_refused() {
    let mut gate = gate(2, 4);
    for flow in 1..=5 {
        admit(&mut gate, at(flow), &ask(flow, 1, flow));
        finish(&mut gate, at(flow), flow, done(1));
    }
    gate.set_mean_load(0.01);
    assert_eq!(reason(&admit(&mut gate, at(10), &ask(6, 1, 6))), Some(Reason::Full));
    assert_matches!(admit(&mut gate, at(11), &with_last_candidate(ask(6, 1, 7))), Admission::Run);
    gate.set_mean_load(0.06);
    assert_matches!(admit(&mut gate, at(12), &ask(7, 1, 8)), Admission::Run);
}

#[test]
fn retry_on_flow_with_earlier_requests_is_unknown() {
    let mut gate = gate(2, 4);
    let open = mode(ask(1, 1, 1), Mode::Open { candidate: Candidate::Last, fresh: false });
    assert_matches!(admit(&mut gate, at(0), &open), Admission::Run);
    let other = admit(&mut gate, at(1), &attempt(ask(1, 2, 2), 2));
    assert_eq!(reason(&other), Some(Reason::Forgotten));
}
