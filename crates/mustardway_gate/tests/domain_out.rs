//! A failure domain is taken out of service and brought back.

mod support;

use assert_matches::assert_matches;
use mustardway_gate::{Admission, Ending, Mode, Step, ticket};
use mustardway_types::answer::Reason;
use support::{admit, ask, at, attempt, done, ended, finish, gate, mode, reason};

#[test]
fn domain_out_stops_requests() {
    let mut gate = gate(2, 4);
    for number in 1..=4 {
        admit(&mut gate, at(0), &ask(number, 1, number));
    }
    let mut steps = Vec::new();
    gate.set_domain_out(at(1), &mut steps);
    assert_matches!(steps[..], [
        Step::Answer(ticket::Id(3), third),
        Step::Answer(ticket::Id(4), _),
        Step::Abort(ticket::Id(1)),
        Step::Abort(ticket::Id(2)),
    ] if third.reason == Reason::DomainOut);
    let steps = finish(&mut gate, at(2), 1, ended(Ending::Aborted, 2));
    assert_matches!(steps[..], [Step::Answer(_, answer)] if answer.reason == Reason::CutShort);
    let steps = finish(&mut gate, at(2), 2, done(2));
    assert_matches!(steps[..], [Step::Answer(_, answer)] if answer.reason == Reason::Answered);
    assert_eq!(gate.flows(), 0);
    assert_eq!(reason(&admit(&mut gate, at(3), &ask(5, 1, 5))), Some(Reason::NoTarget));
    let known = mode(ask(6, 1, 6), Mode::Established);
    assert_eq!(reason(&admit(&mut gate, at(3), &known)), Some(Reason::DomainOut));
}

#[test]
fn retry_after_domain_out_is_unknown() {
    let mut gate = gate(2, 4);
    admit(&mut gate, at(0), &ask(1, 1, 1));
    let mut steps = Vec::new();
    gate.set_domain_out(at(1), &mut steps);
    finish(&mut gate, at(2), 1, ended(Ending::Aborted, 2));
    let again = mode(attempt(ask(1, 1, 2), 2), Mode::Established);
    assert_eq!(reason(&admit(&mut gate, at(3), &again)), Some(Reason::Forgotten));
}

#[test]
fn domain_in_starts_cold() {
    let limits = support::limits(8, 2, 4);
    let mut gate = support::gate_at("entry-1", limits, support::serving(), at(0));
    gate.set_domain_out(at(1), &mut Vec::new());
    gate.set_domain_in(at(2));
    assert_eq!(gate.load(at(2)).allowed, 2);
    assert_matches!(admit(&mut gate, at(2), &ask(1, 1, 1)), Admission::Run);
}
