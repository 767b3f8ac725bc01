//! A request that must run at most once: duplicates join it or get its reply,
//! and a retry runs only if no earlier attempt can have run.

mod support;

use assert_matches::assert_matches;
use bytes::Bytes;
use mustardway_gate::{Admission, Ending, Step, dedup, ticket};
use mustardway_types::answer::Reason;
use support::{admit, ask, at, attempt, done, due, ended, finish, gate, reason, tick};

#[test]
fn duplicate_joins_running_request() {
    let mut gate = gate(2, 4);
    assert_matches!(admit(&mut gate, at(0), &ask(1, 1, 1)), Admission::Run);
    let joined = admit(&mut gate, at(1), &attempt(ask(1, 1, 2), 2));
    assert_eq!(joined, Admission::Join(ticket::Id(1)));
    let mut steps = Vec::new();
    gate.cancel(at(2), ticket::Id(1), &mut steps);
    assert_eq!(steps, [], "another caller still waits for it");
}

#[test]
fn finished_request_replays_reply() {
    let mut gate = gate(2, 4);
    admit(&mut gate, at(0), &ask(1, 1, 1));
    finish(&mut gate, at(10), 1, done(10));
    let replay = admit(&mut gate, at(20), &attempt(ask(1, 1, 2), 2));
    assert_eq!(replay, Admission::Replay(Bytes::from_static(b"booked")));
}

#[test]
fn unknown_outcome_is_not_retried() {
    for ending in [Ending::Lost, Ending::Overrun, Ending::Aborted] {
        let mut gate = gate(2, 4);
        admit(&mut gate, at(0), &ask(1, 1, 1));
        finish(&mut gate, at(10), 1, ended(ending, 10));
        let again = admit(&mut gate, at(20), &attempt(ask(1, 1, 2), 2));
        assert_eq!(reason(&again), Some(Reason::Forgotten));
    }
}

#[test]
fn retry_after_refusal_runs() {
    let mut gate = gate(2, 4);
    admit(&mut gate, at(0), &ask(1, 1, 1));
    finish(&mut gate, at(10), 1, done(10));
    for (number, ending) in [(2, Ending::Shed), (3, Ending::Unsent)] {
        admit(&mut gate, at(20), &ask(1, number, number * 10));
        let steps = finish(&mut gate, at(30), number * 10, ended(ending, 10));
        assert_matches!(steps[..], [Step::Answer(_, answer)] if answer.kind().says_not_run());
        let late = admit(&mut gate, at(30), &ask(1, number, number * 10 + 1));
        assert_eq!(reason(&late), Some(Reason::TooLate), "its caller was told 'not run'");
        let again = attempt(ask(1, number, number * 10 + 2), 2);
        assert_matches!(admit(&mut gate, at(40), &again), Admission::Run);
        finish(&mut gate, at(50), number * 10 + 2, done(10));
    }
}

#[test]
fn retry_runs_if_first_attempt_never_came() {
    let mut gate = gate(2, 4);
    admit(&mut gate, at(0), &ask(1, 1, 1));
    finish(&mut gate, at(10), 1, done(10));
    let second = attempt(ask(1, 2, 2), 2);
    assert_matches!(admit(&mut gate, at(20), &second), Admission::Run, "the first never came");
}

#[test]
fn incomplete_history_rejects_retry() {
    let mut gate = gate(2, 4);
    admit(&mut gate, at(0), &ask(1, 1, 1));
    finish(&mut gate, at(10), 1, done(10));
    gate.mark_history_incomplete(at(20));
    let again = admit(&mut gate, at(30), &attempt(ask(1, 2, 2), 2));
    assert_eq!(reason(&again), Some(Reason::Forgotten));
    assert_matches!(admit(&mut gate, at(30), &ask(1, 3, 3)), Admission::Run);
}

#[test]
fn expired_entry_rejects_retry() {
    let mut gate = gate(2, 4);
    admit(&mut gate, at(0), &ask(1, 1, 1));
    finish(&mut gate, at(10), 1, done(10));
    let later = 10 + dedup::RETENTION.as_millis() + 1;
    tick(&mut gate, at(later));
    assert_eq!(gate.remembered().0, 0);
    let again = due(attempt(ask(1, 1, 2), 2), later + 1_000);
    assert_eq!(reason(&admit(&mut gate, at(later), &again)), Some(Reason::Forgotten));
    let other = due(attempt(ask(1, 2, 3), 2), later + 1_000);
    assert_matches!(admit(&mut gate, at(later), &other), Admission::Run);
}

#[test]
fn cache_stays_bounded() {
    let mut gate = gate(2, 4);
    let reply = Bytes::from(vec![7; 4_096]);
    for number in 0..20_000 {
        admit(&mut gate, at(number), &due(ask(1, number, number), 1_000_000));
        finish(&mut gate, at(number), number, ended(Ending::Done(reply.clone()), 1));
        let (count, bytes) = gate.remembered();
        assert!(count <= dedup::MAX_ENTRIES + 1 && bytes <= dedup::MAX_TOTAL_REPLY_BYTES);
    }
    let again = due(attempt(ask(1, 0, 90_000), 2), 1_000_000);
    assert_eq!(reason(&admit(&mut gate, at(20_000), &again)), Some(Reason::Forgotten));
}

#[test]
fn large_reply_is_not_cached() {
    let mut gate = gate(2, 4);
    admit(&mut gate, at(0), &ask(1, 1, 1));
    let reply = Bytes::from(vec![7; dedup::MAX_REPLY_BYTES + 1]);
    finish(&mut gate, at(1), 1, ended(Ending::Done(reply), 1));
    let again = admit(&mut gate, at(2), &attempt(ask(1, 1, 2), 2));
    assert_eq!(reason(&again), Some(Reason::Forgotten));
}
