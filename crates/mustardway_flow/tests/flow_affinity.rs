//! Packets of an open flow go to the target that their token names, at any instance.

mod common;

use assert_matches::assert_matches;
use common::{
    HOME, Harness, acknowledgement, configuration, forwarded_to, id, opening, put, registration,
    request,
};
use mustardway_flow::front::Verdict;
use mustardway_flow::note::DropReason;
use mustardway_flow::packet::Packet;
use mustardway_flow::token::Token;
use mustardway_types::time::Span;

#[test]
fn unseen_flow_goes_to_the_target_of_its_token() {
    let mut harness = Harness::new(3, 3);
    for number in 1..=6 {
        let from = 7 + u16::try_from(number).expect("the number fits in 16 bits");
        assert_eq!(forwarded_to(harness.send(&acknowledgement(from, 1, number))), Some(number));
    }
}

#[test]
fn forwarded_opening_carries_the_target_token() {
    let mut harness = Harness::new(1, 0);
    let verdict = harness.send(&opening(1, 1, 0));
    assert_matches!(verdict, Verdict::Forward { token, .. } if token == Token::of(&id(1)));
}

#[test]
fn unknown_token_is_reset_after_a_delay() {
    let mut harness = Harness::new(1, 0);
    assert_eq!(harness.send(&acknowledgement(1, 1, 99)), Verdict::Drop(DropReason::UnknownToken));
    harness.advance(1_000);
    assert_eq!(harness.send(&acknowledgement(1, 1, 99)), Verdict::Drop(DropReason::UnknownToken));
    harness.advance(2_500);
    assert_matches!(harness.send(&acknowledgement(1, 1, 99)), Verdict::Reset(_));
}

#[test]
fn token_of_another_service_is_dropped() {
    let mut harness = Harness::new(1, 0);
    harness.publish(put(registration(9, "files", HOME)));
    assert_eq!(harness.send(&acknowledgement(1, 1, 9)), Verdict::Drop(DropReason::ForeignToken));
    assert_eq!(forwarded_to(harness.send(&acknowledgement(1, 3, 9))), Some(9));
}

#[test]
fn missing_token_is_dropped() {
    let mut harness = Harness::new(1, 0);
    let without_token = Packet { token: Token::NONE, ..acknowledgement(1, 1, 1) };
    assert_eq!(harness.send(&without_token), Verdict::Drop(DropReason::NoToken));
}

#[test]
fn leaving_target_keeps_flows_and_gets_no_new_ones() {
    let mut harness = Harness::new(2, 0);
    let target = harness.establish(1, 1);
    let mut changed = registration(target, "orders", HOME);
    changed.leaving = true;
    harness.publish(put(changed));
    assert_eq!(forwarded_to(harness.send(&acknowledgement(1, 1, target))), Some(target));
    for from in 2..40 {
        assert_ne!(harness.open(from, 1), Some(target));
    }
}

#[test]
fn removed_route_resets_flows() {
    let mut harness = Harness::new(2, 0);
    let target = harness.establish(1, 1);
    let mut next = configuration(2);
    next.routes.remove(0);
    harness.configure(next);
    assert_matches!(harness.send(&acknowledgement(1, 1, target)), Verdict::Reset(_));
    assert_matches!(harness.send(&opening(2, 1, 0)), Verdict::Reset(_));
}

#[test]
fn unknown_route_is_reset_only_with_fresh_state() {
    let mut harness = Harness::new(1, 0);
    assert_matches!(harness.send(&opening(1, 9, 0)), Verdict::Reset(_));
    harness.now = harness.now + Span::seconds(5);
    assert_eq!(harness.send(&opening(2, 9, 0)), Verdict::Drop(DropReason::NoRoute));
}

/// Tokens have 32 bits. Among the identifiers of 17,000 targets, the size to design
/// for, 0.03 pairs collide on average.
#[test]
fn tokens_rarely_collide_at_17000_targets() {
    let mut tokens = std::collections::BTreeSet::new();
    for number in 0..17_000 {
        tokens.insert(Token::of(&id(number)));
    }
    assert!(tokens.len() >= 16_999, "{} tokens", tokens.len());
    assert!(!tokens.contains(&Token::NONE));
}

/// The earlier flow moved to other instances, and ended there.
#[test]
fn new_flow_from_a_port_used_before_goes_to_the_target_of_its_token() {
    let mut harness = Harness::new(8, 0);
    let placed_here = harness.establish(1, 1);
    let seen_here = 8;
    harness.send(&request(2, 1, seen_here));
    harness.advance(3_000);
    for (from, earlier) in [(1, placed_here), (2, seen_here)] {
        let target = earlier % 8 + 1;
        let packet = acknowledgement(from, 1, target);
        let packet = Packet { sequence: 3_000_000_001, acknowledgement: 2_000_000_001, ..packet };
        assert_eq!(forwarded_to(harness.send(&packet)), Some(target));
    }
}

/// The route may have been added again, and the flow opened at an instance that knows.
#[test]
fn removed_route_resets_no_flow_where_the_state_is_old() {
    let mut harness = Harness::new(1, 0);
    let mut without = configuration(2);
    without.routes.remove(0);
    harness.configure(without);
    harness.now = harness.now + Span::seconds(4);
    assert_matches!(harness.send(&acknowledgement(1, 1, 1)), Verdict::Drop(_));
}
