//! A joining instance is ready only once the greatest known revision is in force.

mod common;

use common::{Fleet, answer, id, replica};
use mustardway_spread::event::Event;
use mustardway_spread::platform::Failure;
use mustardway_types::time::{Instant, Span};

#[test]
fn joins_at_peers_revision_if_platform_is_behind() {
    let mut fleet = Fleet::settled(9, 3, 1);
    fleet.publish(5);
    fleet.run(Span::seconds(3));
    assert!(fleet.all_at(5));
    fleet.publish(3);
    for index in 0..9 {
        fleet.restart(index, 100 + index as u64);
        assert!(!fleet.hosts[index].replica.is_ready(fleet.now));
        let ready = fleet
            .run_until(Span::seconds(6), |fleet| fleet.hosts[index].replica.is_ready(fleet.now));
        assert!(ready.is_some());
        assert_eq!(fleet.revision_at(index), 5);
        let first = fleet.hosts[index].history.last().copied();
        assert_eq!(first, Some(5));
    }
}

#[test]
fn joins_from_peers_if_platform_is_down() {
    let mut fleet = Fleet::settled(9, 3, 1);
    fleet.fail_platform(Some(Failure::Timeout));
    fleet.run(Span::seconds(10));
    fleet.restart(4, 100);
    let ready =
        fleet.run_until(Span::seconds(4), |fleet| fleet.hosts[4].replica.is_ready(fleet.now));
    assert!(ready.is_some());
    assert_eq!(fleet.revision_at(4), 1);
}

#[test]
fn not_ready_without_any_revision() {
    let mut fleet = Fleet::new(3, 1, 1);
    fleet.fail_platform(Some(Failure::Unreachable));
    fleet.run(Span::seconds(30));
    assert!(fleet.hosts.iter().all(|host| !host.replica.is_ready(fleet.now)));
    fleet.fail_platform(None);
    let ready = fleet.run_until(Span::seconds(4), |fleet| {
        fleet.hosts.iter().all(|host| host.replica.is_ready(fleet.now))
    });
    assert!(ready.is_some());
}

#[test]
fn not_ready_while_a_peer_is_ahead() {
    let start = Instant(1_000_000);
    let mut replica = replica(0, 1, start);
    let mut actions = Vec::new();
    let now = start + Span::seconds(2);
    replica.handle(now, Event::Platform(Ok(answer(3))), &mut actions);
    let number = mustardway_types::revision::Number(3);
    replica.handle(now, Event::Verdict { number, accepted: true }, &mut actions);
    let ahead = common::set(4);
    let heard = Event::PeerRevision {
        from: id(1),
        number: ahead.number,
        digest: ahead.digest,
        age: Span::ZERO,
    };
    replica.handle(now, heard, &mut actions);
    assert!(!replica.is_ready(now + Span::seconds(60)));
    // The peer is no neighbour any more, so no known peer has a greater revision.
    replica.handle(now, Event::Neighbours(Vec::new()), &mut actions);
    assert!(replica.is_ready(now + Span::seconds(60)));
}

#[test]
fn ready_after_join_wait_without_peers() {
    let mut fleet = Fleet::new(1, 1, 1);
    fleet.run(Span::seconds(2));
    assert_eq!(fleet.revision_at(0), 1);
    assert!(!fleet.hosts[0].replica.is_ready(fleet.now));
    fleet.run(Span::seconds(2));
    assert!(fleet.hosts[0].replica.is_ready(fleet.now));
}
