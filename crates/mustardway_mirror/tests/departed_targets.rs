//! An instance that starts learns which targets departed before.

mod common;

use std::collections::BTreeSet;

use common::{Fleet, put, target};
use mustardway_mirror::departed::RETENTION;
use mustardway_mirror::message::Departed;
use mustardway_mirror::publication::Departure;
use mustardway_mirror::publication::{Change, Item, Key};
use mustardway_types::time::Span;

/// A fleet that has seen three targets depart, one of which came back.
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
fn restarted_instance_is_told() {
    let mut fleet = fleet();
    fleet.restart(4);
    fleet.run(500);
    let known = &fleet.hosts[4].departed;
    assert!(known.is_superset(&names(&[1, 2])), "{known:?}");
}

/// Most instances were restarted together and know nothing of before either.
#[test]
fn long_running_peer_is_found() {
    let mut fleet = fleet();
    for number in 2..9 {
        fleet.restart(number);
    }
    fleet.run(1_500);
    let told = (2..9).filter(|number| !fleet.hosts[*number].departed.is_empty()).count();
    assert!(told >= 5, "{told} of 7 were told");
}

#[test]
fn long_departed_are_forgotten() {
    let mut fleet = fleet();
    fleet.run(RETENTION.as_millis());
    fleet.restart(4);
    fleet.run(500);
    assert!(fleet.hosts[4].departed.is_empty());
}

/// Instances ask when they start, and then no more.
#[test]
fn questions_end() {
    let mut fleet = Fleet::new(9, 3);
    fleet.run(20_000);
    fleet.sent.clear();
    fleet.run(2_000);
    let calm: usize = fleet.sent.values().sum();
    fleet.sent.clear();
    fleet.run(2_000);
    assert!(fleet.sent.values().sum::<usize>() <= calm + calm / 10);
}

#[test]
fn unreadable_departures_are_counted() {
    let Change::Put(Item::Target(registration)) = put(1, false) else { unreachable!("a target") };
    let departure = Departure { registration, age: Span::millis(7) };
    let mut message = Departed::new(Span::seconds(1), &[departure.clone(), departure.clone()]);
    message.registrations[0] = vec![0xff; 3];
    assert_eq!(message.decode(), (vec![departure], 1));
}
