//! Tests of asks sent to other instances.
//!
//! Every ask must end with a reply or with the loss of its link or owner. Otherwise its packet
//! waits until the deadline.

#![allow(clippy::unwrap_used)]

use assert_matches::assert_matches;
use mustardway_peer::link;
use mustardway_runtime::message::Outcome;
use mustardway_runtime::relay::{Relay, Resolution};
use mustardway_types::instance;

fn owner(name: &str) -> instance::Id {
    name.parse().unwrap()
}

#[test]
fn reply_resolves_the_ask() {
    let relay = Relay::default();
    let mut reply = relay.register_ask(7, owner("a"));
    relay.set_link(7, link::Number(1));
    relay.complete(7, Outcome::UnknownFlow(true));
    assert_matches!(reply.try_recv(), Ok(Resolution::Outcome(Outcome::UnknownFlow(true))));
    assert!(!relay.forget_ask(7));
}

#[test]
fn broken_link_loses_its_asks() {
    let relay = Relay::default();
    let mut lost = relay.register_ask(1, owner("a"));
    let mut kept = relay.register_ask(2, owner("b"));
    relay.set_link(1, link::Number(1));
    relay.set_link(2, link::Number(2));
    relay.fail_link(link::Number(1));
    assert_matches!(lost.try_recv(), Ok(Resolution::Lost));
    assert_matches!(kept.try_recv(), Err(_));
    assert!(relay.forget_ask(2));
}

/// The link can break after the ask was sent, and before the link is assigned to the ask.
#[test]
fn ask_assigned_to_a_broken_link_is_lost() {
    let relay = Relay::default();
    let mut lost = relay.register_ask(1, owner("a"));
    relay.fail_link(link::Number(1));
    assert_matches!(lost.try_recv(), Err(_));
    relay.set_link(1, link::Number(1));
    assert_matches!(lost.try_recv(), Ok(Resolution::Lost));
}

#[test]
fn dead_owner_loses_its_asks() {
    let relay = Relay::default();
    let mut lost = relay.register_ask(1, owner("a"));
    let mut kept = relay.register_ask(2, owner("b"));
    relay.fail_owner(&owner("a"));
    assert_matches!(lost.try_recv(), Ok(Resolution::Lost));
    assert_matches!(kept.try_recv(), Err(_));
}

#[test]
fn removed_witness_ignores_its_acknowledgement() {
    let relay = Relay::default();
    let mut acknowledged = relay.register_witness(3);
    let mut given_up = relay.register_witness(4);
    relay.acknowledge_witness(3);
    relay.forget_witness(4);
    relay.acknowledge_witness(4);
    assert_matches!(acknowledged.try_recv(), Ok(()));
    assert_matches!(given_up.try_recv(), Err(_));
}
