//! Precedence of claims about an instance.

mod common;

use common::{Fleet, announced, id};
use mustardway_membership::event::Event;
use mustardway_membership::member::State;
use mustardway_membership::message::{Body, Entry, Gossip, Message, Table};
use mustardway_types::time::Span;

fn gossip_from_peer(fleet: &mut Fleet, entry: Entry) {
    let message = Message { body: Some(Body::Gossip(Gossip { entries: vec![entry] })) };
    fleet.event(0, Event::Received { from: id(1), message });
}

fn node_knowing_one_peer() -> Fleet {
    let mut fleet = Fleet::new(1);
    fleet.add(common::member(0, 3, 1_000), 1);
    gossip_from_peer(&mut fleet, announced(5, 3));
    fleet
}

fn entry_without_member(incarnation: u64, state: i32, raised: u64) -> Entry {
    let id = id(5).to_string();
    Entry { id, incarnation, state, raised, ..Entry::default() }
}

#[test]
fn greater_incarnation_wins() {
    let mut fleet = node_knowing_one_peer();
    gossip_from_peer(&mut fleet, Entry { incarnation: 2_000, port: 9, ..announced(5, 3) });
    gossip_from_peer(&mut fleet, Entry { incarnation: 1_500, port: 8, ..announced(5, 3) });
    let member = &fleet.hosts[0].node.record(&id(5)).unwrap().member;
    assert_eq!(member.incarnation.0, 2_000);
    assert_eq!(member.address.port(), 9);
}

#[test]
fn death_wins_within_incarnation() {
    let mut fleet = node_knowing_one_peer();
    gossip_from_peer(&mut fleet, entry_without_member(1_000, 2, 0));
    gossip_from_peer(&mut fleet, announced(5, 3));
    assert_eq!(fleet.sees(0, 5), Some(State::Dead));
    gossip_from_peer(&mut fleet, entry_without_member(1_001, 0, 1));
    assert_eq!(fleet.sees(0, 5), Some(State::Alive));
}

#[test]
fn entry_without_member_needs_known_base() {
    let mut fleet = node_knowing_one_peer();
    // The incarnation was raised after an announcement that never arrived here.
    gossip_from_peer(&mut fleet, entry_without_member(2_001, 0, 1));
    let record = fleet.hosts[0].node.record(&id(5)).unwrap();
    assert_eq!(record.member.incarnation.0, 1_000);
    gossip_from_peer(
        &mut fleet,
        Entry { incarnation: 2_001, raised: 1, port: 9, ..announced(5, 3) },
    );
    gossip_from_peer(&mut fleet, entry_without_member(2_002, 1, 2));
    let record = fleet.hosts[0].node.record(&id(5)).unwrap();
    assert_eq!(record.state, State::Leaving);
    assert_eq!(record.member.address.port(), 9);
}

#[test]
fn recently_heard_peer_refutes_death() {
    let mut fleet = Fleet::settled(9, 3, 1);
    let peer = fleet.hosts[0].node.neighbours()[0].clone();
    let index = fleet.index[&peer];
    let dead = Entry { id: peer.to_string(), incarnation: 1_000, state: 2, ..Entry::default() };
    gossip_from_peer(&mut fleet, dead);
    assert!(fleet.sees_live(0, index));
    fleet.run(Span::millis(300));
    assert!(fleet.agrees());
    assert_eq!(fleet.hosts[index].node.counts().refuted, 1);
}

#[test]
fn synced_death_waits_for_refutation() {
    let mut fleet = node_knowing_one_peer();
    let table = Table { entries: vec![entry_without_member(1_000, 2, 0)], mask: 0 };
    let message = Message { body: Some(Body::Table(table)) };
    fleet.event(0, Event::Received { from: id(1), message });
    assert_eq!(fleet.sees(0, 5), Some(State::Alive));
    fleet.run(Span::millis(950));
    assert!(fleet.sees_live(0, 5));
    fleet.run(Span::millis(150));
    assert_eq!(fleet.sees(0, 5), Some(State::Dead));
}

/// Another process runs under the name of this instance. The older one is fenced
/// and does not refute the claim.
#[test]
fn greater_incarnation_at_other_address_fences() {
    let mut fleet = Fleet::settled(9, 3, 1);
    gossip_from_peer(&mut fleet, Entry { incarnation: 2_000, port: 9, ..announced(0, 3) });
    assert!(fleet.hosts[0].node.fenced(fleet.now));
    assert_eq!(fleet.hosts[0].node.counts().refuted, 0);
}
