//! How much load a target bears at a time.

use std::time::Duration;

use mustardway_stand_in::target::capacity::Ramp;

const RAMP: Ramp = Ramp { cold_slots: 1, slots: 5, warm_up: Duration::from_secs(8) };

#[test]
fn cold_to_warm() {
    let bears: Vec<u32> = [0, 1, 2, 4, 6, 7, 8, 100]
        .map(|second| RAMP.capacity_at(Duration::from_secs(second)))
        .into();
    assert_eq!(bears, [1, 1, 2, 3, 4, 4, 5, 5]);
}

#[test]
fn warm_at_once() {
    let ramp = Ramp { warm_up: Duration::ZERO, ..RAMP };
    assert_eq!(ramp.capacity_at(Duration::ZERO), 5);
}
