//! Asks at other instances end with a reply or with the loss of their link or owner.

#![allow(clippy::unwrap_used)]

use assert_matches::assert_matches;
use mustardway_peer::link;
use mustardway_runtime::message::Outcome;
use mustardway_runtime::relay::{Relay, Told};
use mustardway_types::instance;

fn owner(name: &str) -> instance::Id {
    name.parse().unwrap()
}

#[test]
fn reply_arrives() {
    let relay = Relay::default();
    let mut reply = relay.expect(7, owner("a"));
    relay.sent_by(7, link::Number(1));
    relay.replied(7, Outcome::UnknownFlow(true));
    assert_matches!(reply.try_recv(), Ok(Told::Outcome(Outcome::UnknownFlow(true))));
    assert!(!relay.forget(7));
}

#[test]
fn broken_link_loses() {
    let relay = Relay::default();
    let mut lost = relay.expect(1, owner("a"));
    let mut kept = relay.expect(2, owner("b"));
    relay.sent_by(1, link::Number(1));
    relay.sent_by(2, link::Number(2));
    relay.link_down(link::Number(1));
    assert_matches!(lost.try_recv(), Ok(Told::Lost));
    assert_matches!(kept.try_recv(), Err(_));
    assert!(relay.forget(2));
}

#[test]
fn link_broken_first() {
    let relay = Relay::default();
    let mut lost = relay.expect(1, owner("a"));
    relay.link_down(link::Number(1));
    assert_matches!(lost.try_recv(), Err(_));
    relay.sent_by(1, link::Number(1));
    assert_matches!(lost.try_recv(), Ok(Told::Lost));
}

#[test]
fn dead_owner_loses() {
    let relay = Relay::default();
    let mut lost = relay.expect(1, owner("a"));
    let mut kept = relay.expect(2, owner("b"));
    relay.owner_dead(&owner("a"));
    assert_matches!(lost.try_recv(), Ok(Told::Lost));
    assert_matches!(kept.try_recv(), Err(_));
}

#[test]
fn witness_acknowledged() {
    let relay = Relay::default();
    let mut acknowledged = relay.expect_witness(3);
    let mut given_up = relay.expect_witness(4);
    relay.witnessed(3);
    relay.forget_witness(4);
    relay.witnessed(4);
    assert_matches!(acknowledged.try_recv(), Ok(()));
    assert_matches!(given_up.try_recv(), Err(_));
}
