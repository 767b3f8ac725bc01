//! Which claim of an instance is believed.

mod common;

use common::{Fleet, id, told};
use mustardway_membership::event::Event;
use mustardway_membership::member::State;
use mustardway_membership::message::{Body, Entry, Gossip, Message, Table};
use mustardway_types::time::Span;

fn tell(fleet: &mut Fleet, entry: Entry) {
    let message = Message { body: Some(Body::Gossip(Gossip { entries: vec![entry] })) };
    fleet.event(0, Event::Received { from: id(1), message });
}

fn lone() -> Fleet {
    let mut fleet = Fleet::new(1);
    fleet.add(common::member(0, 3, 1_000), 1);
    tell(&mut fleet, told(5, 3));
    fleet
}

fn short(incarnation: u64, state: i32, raised: u64) -> Entry {
    let id = id(5).to_string();
    Entry { id, incarnation, state, raised, ..Entry::default() }
}

#[test]
fn later_life_wins() {
    let mut fleet = lone();
    tell(&mut fleet, Entry { incarnation: 2_000, port: 9, ..told(5, 3) });
    tell(&mut fleet, Entry { incarnation: 1_500, port: 8, ..told(5, 3) });
    let member = &fleet.hosts[0].node.record(&id(5)).unwrap().member;
    assert_eq!(member.incarnation.0, 2_000);
    assert_eq!(member.address.port(), 9);
}

#[test]
fn death_beats_life() {
    let mut fleet = lone();
    tell(&mut fleet, short(1_000, 2, 0));
    tell(&mut fleet, told(5, 3));
    assert_eq!(fleet.sees(0, 5), Some(State::Dead));
    tell(&mut fleet, short(1_001, 0, 1));
    assert_eq!(fleet.sees(0, 5), Some(State::Alive));
}

#[test]
fn short_claim_of_unknown_life() {
    let mut fleet = lone();
    // Raised within a life whose address was never told here.
    tell(&mut fleet, short(2_001, 0, 1));
    let record = fleet.hosts[0].node.record(&id(5)).unwrap();
    assert_eq!(record.member.incarnation.0, 1_000);
    tell(&mut fleet, Entry { incarnation: 2_001, raised: 1, port: 9, ..told(5, 3) });
    tell(&mut fleet, short(2_002, 1, 2));
    let record = fleet.hosts[0].node.record(&id(5)).unwrap();
    assert_eq!(record.state, State::Leaving);
    assert_eq!(record.member.address.port(), 9);
}

#[test]
fn heard_one_survives() {
    let mut fleet = Fleet::settled(9, 3, 1);
    let peer = fleet.hosts[0].node.neighbours()[0].clone();
    let index = fleet.index[&peer];
    let dead = Entry { id: peer.to_string(), incarnation: 1_000, state: 2, ..Entry::default() };
    tell(&mut fleet, dead);
    assert!(fleet.sees_live(0, index));
    fleet.run(Span::millis(300));
    assert!(fleet.agrees());
    assert_eq!(fleet.hosts[index].node.counts().refuted, 1);
}

#[test]
fn accused_given_time() {
    let mut fleet = lone();
    let table = Table { entries: vec![short(1_000, 2, 0)], mask: 0 };
    let message = Message { body: Some(Body::Table(table)) };
    fleet.event(0, Event::Received { from: id(1), message });
    assert_eq!(fleet.sees(0, 5), Some(State::Alive));
    fleet.run(Span::millis(950));
    assert!(fleet.sees_live(0, 5));
    fleet.run(Span::millis(150));
    assert_eq!(fleet.sees(0, 5), Some(State::Dead));
}

#[test]
fn superseded_elsewhere() {
    let mut fleet = Fleet::settled(9, 3, 1);
    tell(&mut fleet, Entry { incarnation: 2_000, port: 9, ..told(0, 3) });
    assert!(fleet.hosts[0].node.fenced(fleet.now));
    assert_eq!(fleet.hosts[0].node.counts().refuted, 0);
}
