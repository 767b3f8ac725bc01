//! Membership agrees in spite of loss, duplication and reordering.

mod common;

use common::{Fleet, full_roster, member};
use mustardway_membership::event::Event;
use mustardway_types::time::Span;

fn make_lossy(fleet: &mut Fleet) {
    fleet.loss = 0.3;
    fleet.duplication = 0.2;
    fleet.delay = (Span::millis(1), Span::millis(120));
}

#[test]
fn start_agrees_despite_loss() {
    for seed in 0..5 {
        let mut fleet = Fleet::started(9, 3, seed);
        make_lossy(&mut fleet);
        assert!(fleet.run_until(Span::seconds(20), Fleet::agrees).is_some(), "seed {seed}");
    }
}

#[test]
fn crashes_detected_despite_loss() {
    for seed in 0..5 {
        let mut fleet = Fleet::settled(9, 3, seed);
        make_lossy(&mut fleet);
        fleet.run(Span::seconds(5));
        fleet.stop(3);
        fleet.stop(4);
        let found = fleet.run_until(Span::seconds(10), Fleet::agrees);
        assert!(found.is_some(), "seed {seed}");
    }
}

#[test]
fn restarts_agree_despite_loss() {
    let mut fleet = Fleet::settled(24, 3, 7);
    make_lossy(&mut fleet);
    for round in 0..12 {
        fleet.restart(round, member(round, 3, 2_000 + round as u64), 50 + round as u64);
        fleet.event(round, Event::Roster(full_roster(24, 3)));
        fleet.run(Span::millis(500));
    }
    assert!(fleet.run_until(Span::seconds(20), Fleet::agrees).is_some());
    fleet.loss = 0.0;
    fleet.run(Span::seconds(5));
    assert!(fleet.agrees());
}
