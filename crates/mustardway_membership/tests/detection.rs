//! Crashes are detected in time, and broken links get nobody declared dead.

mod common;

use common::{Fleet, id, member};
use mustardway_membership::event::Event;
use mustardway_membership::member::State;
use mustardway_types::time::Span;

const LIMIT: Span = Span::seconds(2);

#[test]
fn crash_detected() {
    for seed in 0..5 {
        let mut fleet = Fleet::settled(9, 3, seed);
        fleet.stop(4);
        let found = fleet.run_until(LIMIT, |fleet| fleet.all_see_dead(4));
        assert!(found.is_some(), "seed {seed}");
        assert!(fleet.agrees(), "seed {seed}");
    }
}

#[test]
fn two_crashes_detected() {
    for seed in 0..5 {
        let mut fleet = Fleet::settled(9, 3, seed);
        fleet.stop(1);
        fleet.stop(4);
        let found = fleet.run_until(LIMIT, Fleet::agrees);
        assert!(found.is_some(), "seed {seed}");
    }
}

#[test]
fn crash_detected_in_large_fleet() {
    let mut fleet = Fleet::settled(120, 6, 3);
    fleet.stop(17);
    let found = fleet.run_until(LIMIT, |fleet| fleet.all_see_dead(17));
    assert!(found.is_some());
    assert!(fleet.agrees());
}

#[test]
fn broken_link_declares_nobody_dead() {
    for seed in 0..5 {
        let mut fleet = Fleet::settled(9, 3, seed);
        for peer in fleet.hosts[0].node.neighbours() {
            let peer = fleet.index[&peer];
            fleet.cut_link(0, peer);
            for _ in 0..100 {
                fleet.run(Span::millis(100));
                assert!(fleet.agrees(), "seed {seed}");
            }
            fleet.cut_links.clear();
        }
        let declared: u64 = fleet.hosts.iter().map(|host| host.node.counts().declared_dead).sum();
        assert_eq!(declared, 0, "seed {seed}");
        let vouched: u64 =
            fleet.hosts.iter().map(|host| host.node.counts().suspicions_cleared).sum();
        assert!(vouched > 0, "seed {seed}");
    }
}

#[test]
fn cut_between_two_domains_declares_nobody_dead() {
    let mut fleet = Fleet::settled(9, 3, 1);
    for first in [0, 3, 6] {
        for second in [1, 4, 7] {
            fleet.cut_link(first, second);
        }
    }
    for _ in 0..100 {
        fleet.run(Span::millis(100));
        assert!(fleet.agrees());
    }
}

#[test]
fn lost_connection_keeps_peer_live() {
    let mut fleet = Fleet::settled(9, 3, 2);
    let peer = fleet.hosts[0].node.neighbours()[0].clone();
    fleet.event(0, Event::LinkDown(peer));
    fleet.run(Span::seconds(3));
    assert!(fleet.agrees());
}

#[test]
fn planned_stop_announces_leaving_and_left() {
    let mut fleet = Fleet::settled(9, 3, 2);
    fleet.event(5, Event::Leave);
    fleet.run(Span::millis(300));
    assert!(fleet.running().all(|(viewer, _)| fleet.sees(viewer, 5) == Some(State::Leaving)));
    fleet.event(5, Event::Left);
    fleet.stop(5);
    fleet.run(Span::millis(300));
    assert!(fleet.running().all(|(viewer, _)| fleet.sees(viewer, 5) == Some(State::Left)));
    fleet.run(Span::seconds(5));
    assert!(fleet.agrees());
}

#[test]
fn leaving_instance_returns() {
    let mut fleet = Fleet::settled(9, 3, 2);
    fleet.event(5, Event::Leave);
    fleet.run(Span::millis(300));
    fleet.event(5, Event::Return);
    fleet.run(Span::millis(300));
    assert!(fleet.running().all(|(viewer, _)| fleet.sees(viewer, 5) == Some(State::Alive)));
}

#[test]
fn immediate_restart_joins() {
    let mut fleet = Fleet::settled(9, 3, 2);
    fleet.restart(5, member(5, 3, 2_000), 77);
    fleet.event(5, Event::Roster(common::full_roster(9, 3)));
    let joined = fleet.run_until(LIMIT, |fleet| {
        let new = |host: &common::Host| {
            host.node.record(&id(5)).is_some_and(|record| record.member.incarnation.0 == 2_000)
        };
        fleet.agrees() && fleet.hosts.iter().all(new)
    });
    assert!(joined.is_some());
    assert!(fleet.hosts[5].node.ready(fleet.now));
    assert!(!fleet.hosts[5].node.fenced(fleet.now));
}

#[test]
fn restart_after_death_joins() {
    let mut fleet = Fleet::settled(9, 3, 2);
    fleet.stop(5);
    fleet.run(Span::seconds(3));
    assert!(fleet.all_see_dead(5));
    fleet.restart(5, member(5, 3, 2_000), 77);
    fleet.event(5, Event::Roster(common::full_roster(9, 3)));
    assert!(fleet.run_until(LIMIT, Fleet::agrees).is_some());
}

/// The clock of the restarted instance has gone back, so its incarnation is below
/// that of the dead one. It must raise it to join.
#[test]
fn restart_with_lower_incarnation_joins() {
    let mut fleet = Fleet::settled(9, 3, 2);
    fleet.stop(5);
    fleet.run(Span::seconds(3));
    fleet.restart(5, member(5, 3, 7), 77);
    fleet.event(5, Event::Roster(common::full_roster(9, 3)));
    assert!(fleet.run_until(LIMIT, Fleet::agrees).is_some());
    assert!(fleet.hosts[5].node.counts().refuted > 0);
}

#[test]
fn restart_after_planned_stop_joins() {
    let mut fleet = Fleet::settled(9, 3, 2);
    fleet.event(5, Event::Left);
    fleet.stop(5);
    fleet.run(Span::seconds(1));
    fleet.restart(5, member(5, 3, 2_000), 77);
    fleet.event(5, Event::Roster(common::full_roster(9, 3)));
    assert!(fleet.run_until(LIMIT, Fleet::agrees).is_some());
}

/// The survivor hears no peer at all. It must not stay fenced for ever.
#[test]
fn survivor_of_two_serves_alone() {
    let mut fleet = Fleet::settled(2, 2, 1);
    fleet.stop(1);
    let alone = |fleet: &Fleet| fleet.agrees() && !fleet.hosts[0].node.fenced(fleet.now);
    assert!(fleet.run_until(LIMIT, alone).is_some());
    fleet.restart(1, member(1, 2, 2_000), 77);
    fleet.event(1, Event::Roster(common::full_roster(2, 2)));
    assert!(fleet.run_until(LIMIT, Fleet::agrees).is_some());
}
