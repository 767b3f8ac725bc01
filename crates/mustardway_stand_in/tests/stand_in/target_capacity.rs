//! Capacity of a target during warm-up.

use std::time::Duration;

use mustardway_stand_in::target::capacity::Ramp;

const RAMP: Ramp = Ramp { cold_slots: 1, slots: 5, warm_up: Duration::from_secs(8) };

#[test]
fn capacity_grows_over_warm_up() {
    let capacities: Vec<u32> = [0, 1, 2, 4, 6, 7, 8, 100]
        .map(|second| RAMP.capacity_at(Duration::from_secs(second)))
        .into();
    assert_eq!(capacities, [1, 1, 2, 3, 4, 4, 5, 5]);
}

#[test]
fn zero_warm_up_has_full_capacity() {
    let ramp = Ramp { warm_up: Duration::ZERO, ..RAMP };
    assert_eq!(ramp.capacity_at(Duration::ZERO), 5);
}
