//! The platform's instance list is a hint: it adds candidates to probe, and does
//! not decide who is live.

mod common;

use common::{Fleet, entry, full_roster, id};
use mustardway_membership::event::Event;
use mustardway_membership::member::State;
use mustardway_types::time::Span;

/// The platform still lists an instance that has crashed.
#[test]
fn stale_roster_revives_nobody() {
    let mut fleet = Fleet::settled(9, 3, 1);
    fleet.stop(2);
    fleet.run(Span::seconds(3));
    assert!(fleet.all_see_dead(2));
    for _ in 0..50 {
        for index in 0..9 {
            fleet.event(index, Event::Roster(full_roster(9, 3)));
        }
        fleet.run(Span::millis(200));
        assert!(fleet.all_see_dead(2));
    }
}

#[test]
fn instances_missing_from_roster_stay_live() {
    let mut fleet = Fleet::settled(9, 3, 1);
    for index in 0..9 {
        fleet.event(index, Event::Roster(Vec::new()));
    }
    fleet.run(Span::seconds(10));
    assert!(fleet.agrees());
}

#[test]
fn roster_marks_leaving() {
    let mut fleet = Fleet::settled(9, 3, 1);
    let mut roster = full_roster(9, 3);
    roster[2].leaving = true;
    fleet.event(0, Event::Roster(roster));
    let record = fleet.hosts[0].node.record(&id(2)).unwrap();
    assert_eq!(record.state, State::Alive);
    assert!(record.is_leaving());
}

#[test]
fn unlisted_newcomer_joins_through_one_peer() {
    let mut fleet = Fleet::settled(9, 3, 1);
    let newcomer = fleet.add(common::member(9, 3, 5_000), 9);
    fleet.event(newcomer, Event::Roster(vec![entry(3, 3)]));
    assert!(!fleet.hosts[newcomer].node.ready(fleet.now));
    let joined = fleet.run_until(Span::seconds(2), |fleet| {
        fleet.agrees() && fleet.hosts[newcomer].node.ready(fleet.now)
    });
    assert!(joined.is_some());
}

#[test]
fn ready_after_lease_without_peers() {
    let mut fleet = Fleet::new(1);
    fleet.add(common::member(0, 3, 1), 1);
    fleet.event(0, Event::Roster(full_roster(9, 3)));
    fleet.run(Span::millis(1_400));
    assert!(!fleet.hosts[0].node.ready(fleet.now));
    fleet.run(Span::millis(300));
    assert!(fleet.hosts[0].node.ready(fleet.now));
    assert!(!fleet.hosts[0].node.fenced(fleet.now));
}
