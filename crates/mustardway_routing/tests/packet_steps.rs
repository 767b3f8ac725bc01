//! The steps of one packet at its ingress.

#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Arc;

use assert_matches::assert_matches;
use common::*;
use mustardway_routing::attempt::Attempt;
use mustardway_routing::budget::Budget;
use mustardway_routing::snapshot::{Plan, Snapshot};
use mustardway_routing::step::{Ask, Mode, Reply, Step};
use mustardway_types::answer::{Answer, Kind, Reason};
use mustardway_types::request::Repeat;
use mustardway_types::target;
use mustardway_types::time::Span;
use mustardway_view::model::{DomainState, TargetState};

fn first_two_candidates(snapshot: &Snapshot, flow: u64) -> (target::Id, target::Id) {
    let plan = snapshot.plan.as_ref().unwrap();
    let ranked = plan.pool(&address()).unwrap().candidates(header(flow).flow, 2);
    (ranked[0].clone(), ranked[1].clone())
}

fn expect_ask(step: Step) -> Ask {
    assert_matches!(step, Step::Ask(ask) => ask)
}

fn expect_answer(step: &Step) -> Answer {
    assert_matches!(step, Step::Answer(answer) => *answer)
}

#[test]
fn new_flow_goes_to_first_candidate() {
    let snapshot = snapshot(view(14), live(2));
    for flow in 0..200 {
        let (_, step) = Attempt::start(header(flow), DEADLINE, None, &snapshot, NOW);
        let ask = expect_ask(step);
        assert_eq!(ask.target, first_two_candidates(&snapshot, flow).0);
        assert_eq!(ask.mode, Mode::Open);
        assert_eq!(Some(&ask.owner), snapshot.owner(&ask.target).map(|owner| &owner.id));
    }
}

#[test]
fn full_first_candidate_leads_to_second() {
    let snapshot = snapshot(view(14), live(2));
    let (mut attempt, _) = Attempt::start(header(5), DEADLINE, None, &snapshot, NOW);
    let full = Answer::come_back(Reason::Full, Span::millis(300));
    let mut budget = Budget::default();
    let ask = expect_ask(attempt.reply(
        Reply::TryNext { answer: full, not_run_before: true },
        &snapshot,
        &mut budget,
        NOW,
    ));
    assert_eq!(ask.target, first_two_candidates(&snapshot, 5).1);
    let full_longer = Answer::come_back(Reason::Full, Span::millis(900));
    let answer = expect_answer(&attempt.reply(
        Reply::TryNext { answer: full_longer, not_run_before: true },
        &snapshot,
        &mut budget,
        NOW,
    ));
    assert_eq!(answer, full);
}

#[test]
fn unreachable_first_candidate_is_not_skipped() {
    let snapshot = snapshot(view(14), live(2));
    let (mut attempt, step) = Attempt::start(header(5), DEADLINE, None, &snapshot, NOW);
    let first = expect_ask(step);
    let mut budget = Budget::default();
    let mut now = NOW;
    loop {
        match attempt.reply(Reply::NotSent, &snapshot, &mut budget, now) {
            Step::Pause(span) => now = now + span,
            Step::Answer(answer) => {
                assert_eq!(answer.kind(), Kind::Refused);
                assert!(answer.come_back.is_some());
                return;
            }
            Step::Ask(ask) => panic!("unexpected ask: {ask:?}"),
        }
        assert_eq!(expect_ask(attempt.resume(&snapshot)).target, first.target);
    }
}

#[test]
fn lost_owner_of_unrepeatable_request_gives_unknown() {
    let snapshot = snapshot(view(14), live(2));
    let (mut attempt, _) = Attempt::start(header(5), DEADLINE, None, &snapshot, NOW);
    let answer = expect_answer(&attempt.reply(Reply::Lost, &snapshot, &mut Budget::default(), NOW));
    assert_eq!(answer.kind(), Kind::Unknown);
}

#[test]
fn lost_owner_of_idempotent_request_is_retried_once() {
    let snapshot = snapshot(view(14), live(2));
    let header = mustardway_types::packet::Header { repeat: Repeat::Idempotent, ..header(5) };
    let (mut attempt, _) = Attempt::start(header, DEADLINE, None, &snapshot, NOW);
    let mut budget = Budget::default();
    assert_matches!(attempt.reply(Reply::Lost, &snapshot, &mut budget, NOW), Step::Pause(_));
    assert_matches!(attempt.resume(&snapshot), Step::Ask(_));
    let answer = expect_answer(&attempt.reply(Reply::Lost, &snapshot, &mut budget, NOW));
    assert_eq!(answer.reason, Reason::OwnerLost);
}

#[test]
fn empty_budget_stops_retries() {
    let snapshot = snapshot(view(14), live(2));
    let mut budget = Budget::default();
    while budget.spend() {}
    let header = mustardway_types::packet::Header { repeat: Repeat::Idempotent, ..header(5) };
    let (mut attempt, _) = Attempt::start(header, DEADLINE, None, &snapshot, NOW);
    let answer = expect_answer(&attempt.reply(Reply::Lost, &snapshot, &mut budget, NOW));
    assert_eq!(answer.reason, Reason::OwnerLost);
}

#[test]
fn search_asks_each_owner_once() {
    let snapshot = snapshot(view(14), live(2));
    let header = mustardway_types::packet::Header { opening: false, ..header(5) };
    let (mut attempt, mut step) = Attempt::start(header, DEADLINE, None, &snapshot, NOW);
    let mut budget = Budget::default();
    let mut owners = Vec::new();
    let answer = loop {
        match step {
            Step::Ask(ask) => {
                assert_eq!(ask.mode, Mode::Find);
                assert!(!owners.contains(&ask.owner));
                owners.push(ask.owner);
            }
            Step::Answer(answer) => break answer,
            Step::Pause(_) => panic!("unexpected pause"),
        }
        step = attempt.reply(Reply::UnknownFlow { is_complete: true }, &snapshot, &mut budget, NOW);
    };
    assert!(owners.len() >= 4);
    assert_eq!(answer.reason, Reason::FlowUnknown);
}

#[test]
fn partly_searched_owner_is_asked_for_each_target() {
    let snapshot = snapshot(view(14), live(1));
    let header = mustardway_types::packet::Header { opening: false, ..header(5) };
    let (mut attempt, mut step) = Attempt::start(header, DEADLINE, None, &snapshot, NOW);
    let mut budget = Budget::default();
    let mut targets = Vec::new();
    while let Step::Ask(ask) = step {
        targets.push(ask.target);
        step =
            attempt.reply(Reply::UnknownFlow { is_complete: false }, &snapshot, &mut budget, NOW);
    }
    targets.sort();
    targets.dedup();
    assert_eq!(targets.len(), 14);
}

#[test]
fn retry_searches_before_placement() {
    let snapshot = snapshot(view(14), live(2));
    let header = mustardway_types::packet::Header { attempt: 2, ..header(5) };
    let (attempt, step) = Attempt::start(header, DEADLINE, None, &snapshot, NOW);
    assert_eq!(expect_ask(step).mode, Mode::Find);
    let last: Vec<&Mode> = attempt.visits().iter().rev().take(2).map(|(_, mode)| mode).collect();
    assert_eq!(last, [&Mode::OpenLast, &Mode::Open]);
}

#[test]
fn retry_after_incomplete_search_may_have_run_before() {
    let snapshot = snapshot(view(14), live(2));
    let header = mustardway_types::packet::Header { attempt: 2, ..header(5) };
    let (mut attempt, _) = Attempt::start(header, DEADLINE, None, &snapshot, NOW);
    let mut budget = Budget::default();
    let ask = expect_ask(attempt.reply(Reply::NotSent, &snapshot, &mut budget, NOW));
    assert!(!ask.not_run_before);
}

#[test]
fn moved_flow_is_followed() {
    let snapshot = snapshot(view(14), live(2));
    let header = mustardway_types::packet::Header { opening: false, ..header(5) };
    let (mut attempt, _) = Attempt::start(header, DEADLINE, None, &snapshot, NOW);
    let moved = Reply::Moved(target(9));
    let ask = expect_ask(attempt.reply(moved, &snapshot, &mut Budget::default(), NOW));
    assert_eq!((ask.target, ask.mode), (target(9), Mode::Established));
}

#[test]
fn cached_flow_stays_on_leaving_target() {
    let mut changed = view(14);
    changed.targets.get_mut(&target(3)).unwrap().state = TargetState::Leaving;
    let snapshot = snapshot(changed, live(2));
    let (_, step) = Attempt::start(header(5), DEADLINE, Some(target(3)), &snapshot, NOW);
    let ask = expect_ask(step);
    assert_eq!((ask.target, ask.mode), (target(3), Mode::Established));
}

#[test]
fn cached_flow_ends_with_domain_out() {
    let mut changed = view(14);
    changed.domains.get_mut(&"cordoba".parse().unwrap()).unwrap().state = DomainState::Out;
    let snapshot = snapshot(changed, live(2));
    let (_, step) = Attempt::start(header(5), DEADLINE, Some(target(0)), &snapshot, NOW);
    assert_eq!(expect_answer(&step).reason, Reason::DomainOut);
}

#[test]
fn domain_out_gets_no_asks() {
    let mut changed = view(14);
    changed.domains.get_mut(&"cordoba".parse().unwrap()).unwrap().state = DomainState::Out;
    let snapshot = snapshot(changed, live(2));
    for flow in 0..300 {
        for opening in [false, true] {
            let header = mustardway_types::packet::Header { opening, ..header(flow) };
            let (attempt, _) = Attempt::start(header, DEADLINE, None, &snapshot, NOW);
            for (visit, _) in attempt.visits() {
                let domain = &snapshot.target(visit).unwrap().domain;
                assert_ne!(domain.as_str(), "cordoba");
            }
        }
    }
}

#[test]
fn first_candidate_of_previous_view_is_reserved() {
    let mut snapshot = snapshot(view(14), live(2));
    let mut changed = view(14);
    changed.revision.0 = 2;
    changed.targets.get_mut(&target(3)).unwrap().state = TargetState::Leaving;
    snapshot.previous = snapshot.plan.replace(Arc::new(Plan::new(Arc::new(changed))));
    let before = snapshot.previous.clone().unwrap();
    let mut reserved = 0;
    for flow in 0..300 {
        let (_, step) = Attempt::start(header(flow), DEADLINE, None, &snapshot, NOW);
        let ask = expect_ask(step);
        if ask.mode == Mode::Open {
            assert_ne!(ask.target, target(3));
            continue;
        }
        reserved += 1;
        let earlier = before.pool(&address()).unwrap().candidates(header(flow).flow, 1);
        assert_eq!(ask.target, *earlier[0]);
        assert_eq!(ask.mode, Mode::Reserve { elsewhere: first_two_candidates(&snapshot, flow).0 });
    }
    assert!(reserved > 5);
}

#[test]
fn quarantined_address_is_refused() {
    let mut snapshot = snapshot(view(14), live(2));
    snapshot.quarantined.insert(address());
    let (_, step) = Attempt::start(header(5), DEADLINE, None, &snapshot, NOW);
    let answer = expect_answer(&step);
    assert_eq!(answer.reason, Reason::Quarantined);
    assert!(answer.come_back.is_some());
}

#[test]
fn missing_view_is_refused() {
    let snapshot = Snapshot::empty("rosario-0".parse().unwrap());
    let (_, step) = Attempt::start(header(5), DEADLINE, None, &snapshot, NOW);
    assert_eq!(expect_answer(&step).reason, Reason::NoView);
}

#[test]
fn unknown_address_is_bad_request() {
    let snapshot = snapshot(view(14), live(2));
    let address = "10.9.9.9:1".parse().unwrap();
    let header = mustardway_types::packet::Header { address, ..header(5) };
    let (_, step) = Attempt::start(header, DEADLINE, None, &snapshot, NOW);
    assert_eq!(expect_answer(&step).kind(), Kind::BadRequest);
}

#[test]
fn repeated_redirects_end_in_pause() {
    let snapshot = snapshot(view(14), live(2));
    let (mut attempt, _) = Attempt::start(header(5), DEADLINE, None, &snapshot, NOW);
    let mut budget = Budget::default();
    let redirect = Reply::NotOwner(Some("rosario-1".parse().unwrap()));
    for _ in 0..3 {
        let step = attempt.reply(redirect.clone(), &snapshot, &mut budget, NOW);
        assert_eq!(expect_ask(step).owner.as_str(), "rosario-1");
    }
    assert_matches!(attempt.reply(redirect, &snapshot, &mut budget, NOW), Step::Pause(_));
}

#[test]
fn wait_past_deadline_is_refused() {
    let snapshot = snapshot(view(14), live(2));
    let (mut attempt, _) = Attempt::start(header(5), DEADLINE, None, &snapshot, NOW);
    let wait = Reply::Wait(Span::seconds(10));
    let answer = expect_answer(&attempt.reply(wait, &snapshot, &mut Budget::default(), NOW));
    assert_eq!(answer.kind(), Kind::Refused);
}

#[test]
fn retry_gets_no_not_run_from_ingress() {
    let empty = Snapshot::empty("rosario-0".parse().unwrap());
    let retry = mustardway_types::packet::Header { attempt: 2, ..header(5) };
    let (_, step) = Attempt::start(retry.clone(), DEADLINE, None, &empty, NOW);
    assert_eq!(expect_answer(&step).reason, Reason::Forgotten);
    let (_, step) = Attempt::start(retry.clone(), NOW, None, &empty, NOW);
    assert_eq!(expect_answer(&step).reason, Reason::Forgotten);
    let snapshot = snapshot(view(14), live(2));
    let (mut attempt, mut step) = Attempt::start(retry, DEADLINE, None, &snapshot, NOW);
    let mut budget = Budget::default();
    let mut now = NOW;
    let answer = loop {
        step = match step {
            Step::Ask(_) => attempt.reply(Reply::NotSent, &snapshot, &mut budget, now),
            Step::Pause(span) => {
                now = now + span;
                attempt.resume(&snapshot)
            }
            Step::Answer(answer) => break answer,
        };
    };
    assert_eq!(answer.reason, Reason::Forgotten);
}

#[test]
fn uncertain_refusal_of_retry_is_not_not_run() {
    let snapshot = snapshot(view(14), live(2));
    let retry = mustardway_types::packet::Header { attempt: 2, ..header(5) };
    let full = Answer::come_back(Reason::Full, Span::millis(300));
    for (not_run_before, reason) in [(true, Reason::Full), (false, Reason::Forgotten)] {
        let (mut attempt, mut step) = Attempt::start(retry.clone(), DEADLINE, None, &snapshot, NOW);
        let mut budget = Budget::default();
        let answer = loop {
            let reply = match &step {
                Step::Ask(ask) if ask.mode == Mode::Find => {
                    Reply::UnknownFlow { is_complete: true }
                }
                Step::Ask(_) => Reply::TryNext { answer: full, not_run_before },
                Step::Answer(answer) => break *answer,
                Step::Pause(_) => panic!("unexpected pause"),
            };
            step = attempt.reply(reply, &snapshot, &mut budget, NOW);
        };
        assert_eq!(answer.reason, reason);
    }
}

#[test]
fn flow_of_domain_out_ends_with_reason() {
    let mut snapshot = snapshot(view(14), live(2));
    let search = |snapshot: &Snapshot, flow| {
        let header = mustardway_types::packet::Header { opening: false, ..header(flow) };
        let (mut attempt, mut step) = Attempt::start(header, DEADLINE, None, snapshot, NOW);
        let mut budget = Budget::default();
        while let Step::Ask(_) = step {
            let reply = Reply::UnknownFlow { is_complete: true };
            step = attempt.reply(reply, snapshot, &mut budget, NOW);
        }
        expect_answer(&step).reason
    };
    assert_eq!(search(&snapshot, 5), Reason::FlowUnknown);
    snapshot.recently_out.insert("cordoba".parse().unwrap());
    for flow in 0..100 {
        let (first, second) = first_two_candidates(&snapshot, flow);
        let is_out = |id: &target::Id| snapshot.target(id).unwrap().domain.as_str() == "cordoba";
        let expected =
            if is_out(&first) || is_out(&second) { Reason::DomainOut } else { Reason::FlowUnknown };
        assert_eq!(search(&snapshot, flow), expected);
    }
}

#[test]
fn refusal_after_lost_owner_gives_owner_lost() {
    let snapshot = snapshot(view(14), live(2));
    let full = Answer::come_back(Reason::Full, Span::millis(300));
    let replies = [
        Reply::TryNext { answer: full, not_run_before: true },
        Reply::Answer(full),
        Reply::Wait(Span::seconds(10)),
    ];
    for reply in replies {
        let header = mustardway_types::packet::Header { repeat: Repeat::Idempotent, ..header(5) };
        let (mut attempt, _) = Attempt::start(header, DEADLINE, None, &snapshot, NOW);
        let mut budget = Budget::default();
        assert_matches!(attempt.reply(Reply::Lost, &snapshot, &mut budget, NOW), Step::Pause(_));
        let mut step = attempt.resume(&snapshot);
        while let Step::Ask(_) = step {
            step = attempt.reply(reply.clone(), &snapshot, &mut budget, NOW);
        }
        assert_eq!(expect_answer(&step).reason, Reason::OwnerLost);
    }
}

#[test]
fn search_continues_past_domain_out() {
    let snapshot = snapshot(view(14), live(2));
    let header = mustardway_types::packet::Header { opening: false, ..header(5) };
    let (mut attempt, _) = Attempt::start(header, DEADLINE, None, &snapshot, NOW);
    let mut budget = Budget::default();
    let out = Reply::Answer(Answer::new(Reason::DomainOut));
    let mut step = attempt.reply(out, &snapshot, &mut budget, NOW);
    expect_ask(step.clone());
    while let Step::Ask(_) = step {
        let reply = Reply::UnknownFlow { is_complete: true };
        step = attempt.reply(reply, &snapshot, &mut budget, NOW);
    }
    assert_eq!(expect_answer(&step).reason, Reason::DomainOut);
}
