//! An instance that can place less than half of the demand is not ready.

mod common;

use common::{AWAY, HOME, Harness, acknowledgement, put, registration};
use mustardway_flow::health::Outcome;
use mustardway_mirror::publication::{Change, Item, Key};

/// Returns a harness with the given number of opening packets for each service.
fn with_demand(orders: u16, files: u16) -> Harness {
    let mut harness = Harness::new(1, 1);
    harness.publish(put(registration(9, "files", AWAY)));
    let callers = (0..orders).map(|from| (from, 1));
    for (from, route) in callers.chain((0..files).map(|from| (1_000 + from, 3))) {
        let target = harness.open(from, route).expect("the flow is placed");
        harness.send(&acknowledgement(from, route, target));
    }
    harness
}

fn lose_target(harness: &mut Harness, number: u64) {
    harness.lose_target(number, Outcome::Silent);
}

#[test]
fn unconfigured_is_not_ready() {
    assert!(!Harness::empty(1).front.is_ready());
}

#[test]
fn instance_without_demand_is_ready() {
    let mut harness = Harness::new(0, 0);
    harness.advance(50);
    assert!(harness.front.is_ready());
}

#[test]
fn loss_of_a_minor_service_stays_ready() {
    let mut harness = with_demand(10, 5);
    lose_target(&mut harness, 9);
    harness.advance(50);
    assert!(harness.front.is_ready());
}

#[test]
fn loss_of_a_major_service_is_not_ready() {
    let mut harness = with_demand(5, 10);
    lose_target(&mut harness, 9);
    harness.advance(50);
    assert!(!harness.front.is_ready());
}

#[test]
fn evacuated_and_lost_targets_are_not_ready() {
    let mut harness = with_demand(10, 0);
    let home: mustardway_types::domain::Name = HOME.parse().expect("well formed");
    harness.publish(Change::Put(Item::Evacuated(home.clone())));
    harness.advance(50);
    assert!(harness.front.is_ready(), "the other failure domain serves");
    lose_target(&mut harness, 2);
    harness.advance(50);
    assert!(!harness.front.is_ready());
    harness.advance(10_000);
    assert!(!harness.front.is_ready(), "the last counted demand is kept");
    harness.publish(Change::Removed(Key::Evacuated(home)));
    harness.advance(50);
    assert!(harness.front.is_ready());
}
