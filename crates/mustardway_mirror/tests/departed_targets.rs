//! An instance that has just started learns from its peers which targets departed
//! before.

mod common;

use std::collections::BTreeSet;

use common::{Fleet, put, target};
use mustardway_mirror::departed::RETENTION;
use mustardway_mirror::message::Departed;
use mustardway_mirror::publication::Departure;
use mustardway_mirror::publication::{Change, Item, Key};
use mustardway_types::time::Span;

/// Returns a fleet that has seen three targets depart, one of which came back.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(9, 3);
    for number in 1..=3 {
        fleet.platform.publish(put(number, false));
    }
    fleet.run(12_000);
    for number in 1..=3 {
        fleet.platform.publish(Change::Removed(Key::Target(target(number))));
    }
    fleet.run(2_000);
    fleet.platform.publish(put(3, false));
    fleet.run(2_000);
    fleet
}

fn names(numbers: &[u64]) -> BTreeSet<mustardway_types::target::Id> {
    numbers.iter().map(|number| target(*number)).collect()
}

#[test]
fn restarted_instance_learns_departed_targets() {
    let mut fleet = fleet();
    fleet.restart(4);
    fleet.run(500);
    let known = &fleet.hosts[4].departed;
    assert!(known.is_superset(&names(&[1, 2])), "{known:?}");
}

/// Most instances were restarted together, so most peers do not know the targets
/// that departed before either.
#[test]
fn joint_restart_finds_long_running_peer() {
    let mut fleet = fleet();
    for number in 2..9 {
        fleet.restart(number);
    }
    fleet.run(1_500);
    let informed = (2..9).filter(|number| !fleet.hosts[*number].departed.is_empty()).count();
    assert!(informed >= 5, "{informed} of 7 learned the departed targets");
}

#[test]
fn departed_targets_expire() {
    let mut fleet = fleet();
    fleet.run(RETENTION.as_millis());
    fleet.restart(4);
    fleet.run(500);
    assert!(fleet.hosts[4].departed.is_empty());
}

/// Instances send requests only after their start, so the traffic does not grow
/// later.
#[test]
fn requests_end_after_start() {
    let mut fleet = Fleet::new(9, 3);
    fleet.run(20_000);
    fleet.sent.clear();
    fleet.run(2_000);
    let baseline: usize = fleet.sent.values().sum();
    fleet.sent.clear();
    fleet.run(2_000);
    assert!(fleet.sent.values().sum::<usize>() <= baseline + baseline / 10);
}

#[test]
fn undecodable_departures_are_counted() {
    let Change::Put(Item::Target(registration)) = put(1, false) else {
        unreachable!("put returns a target")
    };
    let departure = Departure { registration, age: Span::millis(7) };
    let mut message = Departed::new(Span::seconds(1), &[departure.clone(), departure.clone()]);
    message.registrations[0] = vec![0xff; 3];
    assert_eq!(message.decode(), (vec![departure], 1));
}
