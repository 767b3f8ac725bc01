//! Packets of an open flow go to the target that their token names, at any
//! instance.

mod common;

use assert_matches::assert_matches;
use common::{AWAY, HOME, Host, configuration, id, opening, packet, put, registration, target_of};
use mustardway_flow::front::Verdict;
use mustardway_flow::note::DropReason;
use mustardway_flow::packet::Packet;
use mustardway_flow::token::Token;
use mustardway_types::target;

#[test]
fn any_instance_forwards() {
    let mut host = Host::new(3, 3);
    for number in 1..=6 {
        let from = 7 + u16::try_from(number).expect("small");
        assert_eq!(target_of(host.send(&packet(from, 1, number))), Some(number));
    }
}

#[test]
fn token_is_written() {
    let mut host = Host::new(1, 0);
    let verdict = host.send(&opening(1, 1, 0));
    assert_matches!(verdict, Verdict::Forward { token, .. } if token == Token::of(&id(1)));
}

#[test]
fn unknown_token_waits() {
    let mut host = Host::new(1, 0);
    assert_eq!(host.send(&packet(1, 1, 99)), Verdict::Drop(DropReason::UnknownToken));
    host.wait(1_000);
    assert_eq!(host.send(&packet(1, 1, 99)), Verdict::Drop(DropReason::UnknownToken));
    host.wait(2_500);
    assert_matches!(host.send(&packet(1, 1, 99)), Verdict::Reset(_));
}

#[test]
fn foreign_token_is_dropped() {
    let mut host = Host::new(1, 0);
    host.publish(put(registration(9, "files", HOME)));
    assert_eq!(host.send(&packet(1, 1, 9)), Verdict::Drop(DropReason::ForeignToken));
    assert_eq!(target_of(host.send(&packet(1, 3, 9))), Some(9));
}

#[test]
fn missing_token_is_dropped() {
    let mut host = Host::new(1, 0);
    let bare = Packet { token: Token::NONE, ..packet(1, 1, 1) };
    assert_eq!(host.send(&bare), Verdict::Drop(DropReason::NoToken));
}

#[test]
fn leaving_target_keeps_flows() {
    let mut host = Host::new(2, 0);
    let target = host.establish(1, 1);
    let mut left = registration(target, "orders", HOME);
    left.leaving = true;
    host.publish(put(left));
    assert_eq!(target_of(host.send(&packet(1, 1, target))), Some(target));
    for from in 2..40 {
        assert_ne!(host.open(from, 1), Some(target));
    }
}

#[test]
fn removed_route_ends_flows() {
    let mut host = Host::new(2, 0);
    let target = host.establish(1, 1);
    let mut next = configuration(2);
    next.routes.remove(0);
    host.configure(next);
    assert_matches!(host.send(&packet(1, 1, target)), Verdict::Reset(_));
    assert_matches!(host.send(&opening(2, 1, 0)), Verdict::Reset(_));
}

#[test]
fn unknown_route_needs_fresh_state() {
    let mut host = Host::new(1, 0);
    assert_matches!(host.send(&opening(1, 9, 0)), Verdict::Reset(_));
    host.now = host.now + mustardway_types::time::Span::seconds(5);
    assert_eq!(host.send(&opening(2, 9, 0)), Verdict::Drop(DropReason::NoRoute));
}

#[test]
fn equal_tokens_use_one_target() {
    let (first, second) = colliding();
    let mut host = Host::new(0, 1);
    for name in [&second, &first] {
        let mut own = registration(5, "orders", AWAY);
        own.id = name.clone();
        own.key = u64::from(*name == first) + 10;
        host.publish(put(own));
    }
    for from in 0..60 {
        assert_ne!(host.open(from, 1), Some(10), "the greater name gets no flows");
    }
}

/// At the size to design for (17,000 targets) equal tokens are rare: 17,000 names
/// drawn over 32 bits make 0.03 pairs on average.
#[test]
fn tokens_at_size() {
    let mut tokens = std::collections::BTreeSet::new();
    for number in 0..17_000 {
        tokens.insert(Token::of(&id(number)));
    }
    assert!(tokens.len() >= 16_999, "{} tokens", tokens.len());
    assert!(!tokens.contains(&Token::NONE));
}

/// Two names with the same token, the lesser one first.
fn colliding() -> (target::Id, target::Id) {
    let mut seen = std::collections::BTreeMap::new();
    for number in 0u64.. {
        let name = id(number);
        let Some(other) = seen.insert(Token::of(&name), name.clone()) else { continue };
        return (other.clone().min(name.clone()), other.max(name));
    }
    unreachable!("32 bits collide long before the numbers end")
}
