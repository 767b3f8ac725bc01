//! Flows of a target that no longer answers are reset. Flows of a working target
//! never are.

mod common;

use assert_matches::assert_matches;
use common::{
    AWAY, HOME, Harness, acknowledgement, answer_acknowledgement, forwarded_to, id, opening, put,
    registration, request,
};
use mustardway_flow::front::{Action, Event, Verdict};
use mustardway_flow::health::Outcome;
use mustardway_flow::packet::Packet;
use mustardway_flow::token::Token;
use mustardway_mirror::publication::Departure;
use mustardway_types::time::Span;

/// Returns a harness in which a caller sent a request twice, 200 ms apart, without an
/// answer.
fn unanswered_request(route: u8) -> (Harness, u64) {
    let mut harness = Harness::new(4, 4);
    let target = harness.establish(1, route);
    harness.send(&request(1, route, target));
    harness.advance(200);
    harness.take_actions();
    harness.send(&request(1, route, target));
    (harness, target)
}

/// Returns the harness of [`unanswered_request`] after two probes with `outcome`.
fn after_two_probes(route: u8, outcome: Outcome) -> (Harness, u64) {
    let (mut harness, target) = unanswered_request(route);
    harness.finish_probe(target, outcome);
    harness.advance(100);
    harness.finish_probe(target, outcome);
    (harness, target)
}

#[test]
fn retransmission_probes_target() {
    let (mut harness, target) = unanswered_request(1);
    assert_eq!(harness.take_probes(), [id(target)]);
}

#[test]
fn two_failed_probes_reset_flows() {
    let (mut harness, target) = after_two_probes(1, Outcome::Silent);
    let resets = harness.take_resets();
    assert_eq!(resets.len(), 1);
    assert_eq!(resets[0].sequence, 5_001, "what the caller acknowledged last");
    assert_matches!(harness.send(&request(1, 1, target)), Verdict::Reset(_));
}

/// A single lost packet or dropped connection does not show that the target is lost.
#[test]
fn one_failed_probe_resets_nothing() {
    for outcome in [Outcome::Silent, Outcome::Refused] {
        let (mut harness, target) = unanswered_request(1);
        harness.finish_probe(target, outcome);
        assert!(harness.take_resets().is_empty());
        assert_eq!(forwarded_to(harness.send(&request(1, 1, target))), Some(target));
    }
}

/// An instance that gets no fast answer from any target is slow itself, for example
/// because its link is full. It must not take its targets for lost.
#[test]
fn slow_instance_finds_no_target_lost() {
    let (mut harness, target) = unanswered_request(1);
    for _ in 0..6 {
        harness.finish_unconfirmed_probe(target, Outcome::Silent);
        harness.advance(100);
    }
    assert!(harness.take_resets().is_empty());
    harness.confirm_responsiveness();
    for _ in 0..2 {
        harness.finish_probe(target, Outcome::Silent);
        harness.advance(100);
    }
    assert_eq!(harness.take_resets().len(), 1);
}

/// If an instance can reach no target for a long time, it does not know whether they are
/// lost. The routers send its callers' packets to other instances.
#[test]
fn isolated_instance_resets_nothing_and_is_not_ready() {
    let (mut harness, target) = unanswered_request(1);
    let resets = harness.run(1_500, |_| true);
    assert!(!harness.front.is_ready());
    assert!(resets.is_empty(), "{resets:?}");
    for _ in 0..3 {
        harness.finish_unconfirmed_probe(target, Outcome::Silent);
        harness.advance(100);
    }
    assert!(harness.take_resets().is_empty());
    assert!(!harness.front.is_ready());
}

/// Two callers without an answer are more evidence than one, so one failed probe is
/// enough.
#[test]
fn two_unanswered_callers_and_one_probe_reset_flows() {
    let mut harness = Harness::new(1, 0);
    for from in [1, 2] {
        harness.establish(from, 1);
    }
    for from in [1, 2] {
        harness.send(&request(from, 1, 1));
    }
    harness.advance(200);
    for from in [1, 2] {
        harness.send(&request(from, 1, 1));
    }
    harness.take_actions();
    harness.finish_probe(1, Outcome::Silent);
    assert_eq!(harness.take_resets().len(), 2);
}

#[test]
fn peer_report_and_one_probe_reset_flows() {
    let (mut harness, target) = unanswered_request(1);
    harness.handle(Event::PeerReport { from: common::peer(1), target: id(target), is_lost: true });
    harness.finish_probe(target, Outcome::Silent);
    assert_eq!(harness.take_resets().len(), 1);
}

#[test]
fn answering_target_keeps_flows() {
    let (mut harness, target) = unanswered_request(1);
    harness.finish_probe(target, Outcome::Alive);
    assert!(harness.take_resets().is_empty());
    assert_eq!(forwarded_to(harness.send(&request(1, 1, target))), Some(target));
}

#[test]
fn responding_target_keeps_flows_despite_failed_probes() {
    let (mut harness, target) = unanswered_request(1);
    harness.take_actions();
    harness.advance(5);
    harness.send(&answer_acknowledgement(1, 1, target));
    for _ in 0..4 {
        harness.finish_probe(target, Outcome::Silent);
        harness.advance(100);
    }
    assert!(harness.take_resets().is_empty(), "the probes were lost, not the target");
}

#[test]
fn flow_that_may_run_once_is_kept() {
    for outcome in [Outcome::Silent, Outcome::Refused] {
        let (mut harness, target) = after_two_probes(2, outcome);
        assert!(harness.take_resets().is_empty());
        assert_eq!(forwarded_to(harness.send(&request(1, 2, target))), Some(target));
    }
}

#[test]
fn replaced_target_resets_flow_that_may_run_once() {
    let (mut harness, target) = unanswered_request(2);
    harness.finish_probe(target, Outcome::Replaced);
    assert_eq!(harness.take_resets().len(), 1);
}

#[test]
fn target_that_answers_others_is_not_suspected() {
    let mut harness = Harness::new(2, 0);
    let target = harness.establish(1, 1);
    harness.establish(2, 1);
    harness.send(&request(1, 1, target));
    harness.advance(100);
    harness.send(&acknowledgement(3, 1, target));
    harness.send(&Packet { acknowledgement: 6_000, ..acknowledgement(3, 1, target) });
    harness.advance(100);
    harness.take_actions();
    harness.send(&request(1, 1, target));
    assert!(harness.take_probes().is_empty(), "the target answered another caller meanwhile");
}

#[test]
fn lost_target_gets_no_new_flows() {
    let (mut harness, target) = after_two_probes(1, Outcome::Refused);
    for from in 10..60 {
        assert_ne!(harness.open(from, 1), Some(target));
    }
}

#[test]
fn recovered_target_gets_new_flows() {
    let (mut harness, target) = after_two_probes(1, Outcome::Silent);
    harness.take_actions();
    harness.advance(900);
    assert!(harness.take_probes().contains(&id(target)));
    harness.finish_probe(target, Outcome::Alive);
    assert!(
        harness.take_actions().contains(&Action::TellPeers { target: id(target), is_lost: false })
    );
    assert!((10..90).any(|from| harness.open(from, 1) == Some(target)));
}

/// The instances of a failure domain share the probes of a lost target.
#[test]
fn instances_share_probes_of_a_lost_target() {
    let (mut harness, target) = after_two_probes(1, Outcome::Silent);
    harness.set_neighbours(20);
    harness.take_actions();
    let mut probes = 0;
    for _ in 0..400 {
        harness.advance(50);
        for probe in harness.take_probes() {
            let is_lost = probe == id(target);
            probes += u32::from(is_lost);
            let outcome = if is_lost { Outcome::Silent } else { Outcome::Alive };
            harness.handle(Event::Probed(probe, outcome));
        }
    }
    assert!(probes <= 3, "{probes} probes in 20 s of one among 20");
}

#[test]
fn lost_target_is_reported_to_peers() {
    let (mut harness, target) = unanswered_request(1);
    harness.finish_probe(target, Outcome::Silent);
    assert!(
        !harness.take_actions().iter().any(|action| matches!(action, Action::TellPeers { .. }))
    );
    harness.advance(100);
    harness.finish_probe(target, Outcome::Silent);
    assert!(
        harness.take_actions().contains(&Action::TellPeers { target: id(target), is_lost: true })
    );
}

/// After a peer's report, new flows avoid the target. Its flows are reset only once
/// probes fail here too.
#[test]
fn reported_target_is_probed_and_avoided() {
    let mut harness = Harness::new(2, 0);
    let target = harness.establish(1, 1);
    harness.advance(150);
    harness.take_actions();
    harness.handle(Event::PeerReport { from: common::peer(1), target: id(target), is_lost: true });
    harness.advance(50);
    assert_eq!(harness.take_probes(), [id(target)]);
    harness.finish_probe(target, Outcome::Silent);
    assert!(harness.take_resets().is_empty());
    assert_eq!(forwarded_to(harness.send(&acknowledgement(1, 1, target))), Some(target));
    for from in 10..40 {
        assert_ne!(harness.open(from, 1), Some(target));
    }
    harness.handle(Event::PeerReport { from: common::peer(1), target: id(target), is_lost: false });
    assert!((50..90).any(|from| harness.open(from, 1) == Some(target)));
}

#[test]
fn neighbours_of_a_lost_target_are_avoided() {
    let (mut harness, target) = unanswered_request(1);
    assert!(target <= 4);
    harness.finish_probe(target, Outcome::Silent);
    harness.advance(100);
    harness.finish_probe(target, Outcome::Silent);
    for from in 10..40 {
        assert!(
            harness.open(from, 1).expect("the flow is placed") > 4,
            "the whole domain may be lost"
        );
    }
}

/// The number of probes in flight is limited. More at once would fill the queues of
/// targets that work.
#[test]
fn probes_in_flight_are_limited() {
    let mut harness = Harness::new(0, 60);
    for from in 0..60 {
        harness.open(from, 1);
    }
    harness.advance(100);
    let probes = harness.take_probes();
    assert!(probes.len() <= 4, "{} probes at once", probes.len());
    harness.finish_probe(1, Outcome::Alive);
    harness.advance(50);
    assert!(harness.take_probes().len() <= 1);
}

#[test]
fn unregistered_target_is_probed() {
    let mut harness = Harness::new(2, 0);
    let target = harness.establish(1, 1);
    harness.take_actions();
    harness.unregister(target);
    assert_eq!(harness.take_probes(), [id(target)]);
    harness.finish_probe(target, Outcome::Alive);
    assert!(harness.take_resets().is_empty());
    assert_eq!(forwarded_to(harness.send(&acknowledgement(1, 1, target))), Some(target));
}

#[test]
fn unregistered_target_gets_flows_for_a_grace_period() {
    let mut harness = Harness::new(1, 0);
    harness.unregister(1);
    assert_eq!(harness.open(1, 1), Some(1));
    harness.advance(2_600);
    assert_eq!(harness.open(2, 1), None);
    harness.publish(put(registration(1, "orders", HOME)));
    assert_eq!(harness.open(3, 1), Some(1));
}

/// A failure domain is cut off from the platform just after all registrations expired.
/// Nobody there can know whether the targets registered again.
#[test]
fn unregistered_target_gets_flows_while_the_platform_is_away() {
    let mut harness = Harness::new(1, 0);
    harness.unregister(1);
    harness.now = harness.now + Span::seconds(6);
    harness.handle(Event::Tick);
    assert_eq!(harness.open(1, 1), Some(1));
    harness.advance(0);
    assert_eq!(harness.open(2, 1), None, "the platform shows that it is gone");
}

#[test]
fn restarted_target_is_healthy() {
    let (mut harness, target) = after_two_probes(1, Outcome::Silent);
    let mut restarted = registration(target, "orders", HOME);
    restarted.born = Some(2);
    harness.publish(put(restarted));
    assert!((10..90).any(|from| harness.open(from, 1) == Some(target)));
}

/// Returns a harness with a target that was unregistered before the instance started,
/// and one request sent to it.
fn departed_target(number: u64, route: u8) -> Harness {
    let mut harness = Harness::new(4, 4);
    let registration = registration(number, "orders", AWAY);
    let age = Span::seconds(3);
    harness.handle(Event::Departed(vec![Departure { registration, age }]));
    harness.send(&request(1, route, number));
    harness
}

/// The target is probed on the first request, before its caller retransmits.
#[test]
fn departed_target_is_probed_at_once() {
    let mut harness = departed_target(30, 1);
    assert_eq!(harness.take_probes(), [id(30)]);
    harness.finish_probe(30, Outcome::Replaced);
    assert_eq!(harness.take_resets().len(), 1);
}

/// The registration may have expired while the process still runs.
#[test]
fn departed_target_that_answers_keeps_flows() {
    let mut harness = departed_target(30, 1);
    harness.take_actions();
    harness.finish_probe(30, Outcome::Alive);
    assert!(harness.take_resets().is_empty());
    assert_eq!(forwarded_to(harness.send(&request(1, 1, 30))), Some(30));
}

#[test]
fn departed_target_gets_no_new_flows() {
    let mut harness = departed_target(30, 1);
    for from in 100..200 {
        assert!(harness.open(from, 1).is_some_and(|target| target <= 8));
    }
}

#[test]
fn departure_of_a_registered_target_is_ignored() {
    let mut harness = Harness::new(4, 4);
    let registration = registration(2, "orders", HOME);
    harness.handle(Event::Departed(vec![Departure { registration, age: Span::seconds(3) }]));
    let opened: Vec<_> = (100..140).filter_map(|from| harness.open(from, 1)).collect();
    assert!(opened.contains(&2));
}

/// On a full link, packets of callers still pass while connections fail. They do not
/// show that this instance responds in time.
#[test]
fn caller_packets_do_not_replace_a_fast_probe() {
    let (mut harness, target) = unanswered_request(1);
    for round in 0..6 {
        harness.establish(700 + round, 2);
        harness.finish_unconfirmed_probe(target, Outcome::Silent);
        harness.advance(100);
        harness.take_actions();
    }
    assert_matches!(harness.send(&request(1, 1, target)), Verdict::Forward { .. });
}

/// A peer's report alone counts less than an unanswered caller. The same holds for a
/// target that is only a neighbour of a lost one.
#[test]
fn report_without_unanswered_caller_needs_three_probes() {
    let mut harness = Harness::new(4, 4);
    let target = harness.establish(1, 1);
    harness.advance(200);
    harness.handle(Event::PeerReport { from: common::peer(1), target: id(target), is_lost: true });
    for _ in 0..2 {
        harness.advance(100);
        harness.finish_probe(target, Outcome::Silent);
    }
    assert!(harness.take_resets().is_empty());
    harness.advance(100);
    harness.finish_probe(target, Outcome::Silent);
    assert_eq!(harness.take_resets().len(), 1);
}

/// If a suspected target is slow to answer a probe, another target is probed for
/// reference.
#[test]
fn slow_probe_triggers_a_reference_probe() {
    let (mut harness, target) = unanswered_request(1);
    assert_eq!(harness.take_probes(), [id(target)]);
    harness.establish(2, 1);
    harness.take_actions();
    harness.advance(50);
    let references = harness.take_probes();
    assert_eq!(references.len(), 1);
    assert_ne!(references, [id(target)]);
}

/// A copy of the opening packet goes to a second target, which is then lost. The
/// first target may still answer, so the flow must not be reset.
#[test]
fn retried_opening_is_not_reset() {
    let mut harness = Harness::new(2, 0);
    let first = harness.open(1, 1).expect("the flow is placed");
    harness.advance(200);
    let second = forwarded_to(harness.send(&opening(1, 1, 1))).expect("the flow is placed");
    assert_ne!(first, second);
    harness.take_actions();
    harness.lose_target(second, Outcome::Silent);
    let resets = harness.take_resets();
    assert!(resets.iter().all(|reset| reset.flow != opening(1, 1, 0).flow()), "{resets:?}");
}

/// The caller may have sent a copy of an older opening packet through another
/// instance, which may have placed it on another target.
#[test]
fn only_recent_openings_are_reset() {
    for (age_millis, resets) in [(0, 1), (100, 1), (150, 0), (210, 0)] {
        let mut harness = Harness::new(1, 0);
        harness.establish(1, 1);
        harness.send(&request(1, 1, 1));
        harness.advance(200);
        harness.send(&request(1, 1, 1));
        harness.finish_probe(1, Outcome::Silent);
        harness.advance(60);
        assert_eq!(harness.open(2, 1), Some(1));
        harness.take_actions();
        harness.confirm_responsiveness();
        // Confirming takes 52 ms.
        let passed = 52;
        harness.now = harness.now + Span::millis(age_millis.max(passed) - passed);
        harness.finish_unconfirmed_probe(1, Outcome::Silent);
        let opening = opening(2, 1, 0).flow();
        let count = harness.take_resets().iter().filter(|reset| reset.flow == opening).count();
        assert_eq!(count, resets, "{age_millis} ms after the opening packet");
    }
}

/// Two targets may have answered copies of the opening packet. An instance that has
/// not seen the flow open does not know which of them holds it.
#[test]
fn ambiguous_flow_is_reset_only_where_it_opened() {
    let mut harness = Harness::new(2, 0);
    harness.lose_target(2, Outcome::Silent);
    let request_at = |from| request(from, 1, 2);
    let ambiguous = Packet { token: request_at(1).token.ambiguous(), ..request_at(1) };
    assert_eq!(forwarded_to(harness.send(&ambiguous)), Some(2));
    assert_matches!(harness.send(&request_at(2)), Verdict::Reset(_));
}

/// An instance that placed the flow has seen the token of the caller's first packet.
#[test]
fn ambiguous_flow_is_reset_by_the_instance_that_placed_it() {
    let mut harness = Harness::new(2, 0);
    let verdict = harness.send(&opening(1, 1, 1));
    let target = forwarded_to(verdict).expect("the flow is placed");
    assert_matches!(verdict, Verdict::Forward { token, .. } if token == Token::of(&id(target)).ambiguous());
    let of_flow = |packet: Packet| Packet { token: packet.token.ambiguous(), ..packet };
    harness.send(&of_flow(acknowledgement(1, 1, target)));
    let verdict = harness.send(&of_flow(request(1, 1, target)));
    assert_matches!(verdict, Verdict::Forward { token, .. } if token == Token::of(&id(target)).ambiguous());
    harness.take_actions();
    harness.lose_target(target, Outcome::Silent);
    let flow = opening(1, 1, 0).flow();
    assert!(harness.take_resets().iter().any(|reset| reset.flow == flow));
}

/// The routers have moved two callers between their opening and their next packets.
#[test]
fn two_missing_follow_ups_and_one_failed_probe_reset_nothing() {
    let mut harness = Harness::new(1, 0);
    harness.establish(1, 1);
    harness.advance(500);
    harness.open(2, 1);
    harness.open(3, 1);
    harness.advance(60);
    harness.take_actions();
    harness.finish_probe(1, Outcome::Silent);
    let resets = harness.take_resets();
    assert!(resets.is_empty(), "{resets:?}");
}
