//! A paused instance stays fenced until a peer answers a heartbeat that it sent
//! after the pause.

mod common;

use common::Fleet;
use mustardway_types::time::Span;

/// The others declare the paused instance dead. It must not act on its outdated view
/// after it resumes, and it rejoins with a greater incarnation.
#[test]
fn fenced_after_pause_beyond_lease() {
    for seed in 0..5 {
        let mut fleet = Fleet::settled(9, 3, seed);
        assert!(!fleet.hosts[4].node.fenced(fleet.now));
        fleet.stop(4);
        fleet.run(Span::seconds(5));
        assert!(fleet.hosts[4].node.fenced(fleet.now), "seed {seed}: before it runs");
        // Messages that arrived during the pause do not lift the fence.
        fleet.resume(4);
        assert!(fleet.hosts[4].node.fenced(fleet.now), "seed {seed}: old messages");
        let lifted =
            fleet.run_until(Span::seconds(1), |fleet| !fleet.hosts[4].node.fenced(fleet.now));
        assert!(lifted.is_some(), "seed {seed}: never lifted");
        assert!(fleet.hosts[4].node.me().member.incarnation.0 > 1_000, "seed {seed}");
        assert!(fleet.run_until(Span::seconds(1), Fleet::agrees).is_some(), "seed {seed}");
    }
}

#[test]
fn fenced_after_pause_within_lease() {
    let mut fleet = Fleet::settled(9, 3, 1);
    fleet.stop(4);
    fleet.run(Span::millis(1_100));
    fleet.resume(4);
    assert!(fleet.hosts[4].node.fenced(fleet.now));
    let lifted = fleet.run_until(Span::seconds(1), |fleet| !fleet.hosts[4].node.fenced(fleet.now));
    assert!(lifted.is_some());
    assert_eq!(fleet.hosts[4].node.me().member.incarnation.0, 1_000);
}

/// Nobody answers the resumed instance. It stays fenced until it has declared all
/// others dead.
#[test]
fn resumed_without_network_is_fenced_then_alone() {
    let mut fleet = Fleet::settled(9, 3, 1);
    fleet.stop(4);
    fleet.run(Span::seconds(5));
    fleet.sides[4] = 1;
    fleet.resume(4);
    for _ in 0..14 {
        fleet.run(Span::millis(100));
        assert!(fleet.hosts[4].node.fenced(fleet.now));
    }
    fleet.run(Span::seconds(2));
    assert!(!fleet.hosts[4].node.fenced(fleet.now));
    assert_eq!(fleet.hosts[4].node.live().count(), 1);
}

/// A resumed instance has heard nobody for the length of the pause. That silence is
/// its own fault and must not get its peers declared dead.
#[test]
fn resumed_instance_declares_nobody_dead() {
    let mut fleet = Fleet::settled(9, 3, 1);
    fleet.stop(4);
    fleet.run(Span::seconds(30));
    fleet.resume(4);
    fleet.run(Span::seconds(5));
    assert_eq!(fleet.hosts[4].node.counts().declared_dead, 0);
    assert!(fleet.agrees());
}

#[test]
fn short_pause_does_not_fence() {
    let mut fleet = Fleet::settled(9, 3, 1);
    fleet.stop(4);
    fleet.run(Span::millis(600));
    fleet.resume(4);
    fleet.run(Span::millis(100));
    assert!(!fleet.hosts[4].node.fenced(fleet.now));
    assert_eq!(fleet.hosts[4].node.counts().pauses, 0);
}

#[test]
fn whole_fleet_recovers_from_pause() {
    let mut fleet = Fleet::settled(9, 3, 1);
    for index in 0..9 {
        fleet.stop(index);
    }
    fleet.run(Span::seconds(10));
    for index in 0..9 {
        fleet.resume(index);
    }
    assert!(fleet.running().all(|(_, host)| host.node.fenced(fleet.now)));
    fleet.run(Span::seconds(2));
    assert!(fleet.agrees());
    assert!(fleet.running().all(|(_, host)| !host.node.fenced(fleet.now)));
}
