//! The load of each route that a full service admits.

use std::net::{Ipv4Addr, SocketAddrV4};

use mustardway_admission::allocation::{allocate, water_level};
use mustardway_admission::service::Route;
use mustardway_load::key;
use mustardway_types::time::Span;
use proptest::prelude::*;

/// Share of the capacity that each route may use whatever its urgency.
const FLOOR: f64 = 0.05;
/// Greatest rounding error of a sum, as a share of the capacity.
const ROUNDING: f64 = 1e-9;

fn route(number: u8, urgency: u32, offered: f64) -> Route {
    let address = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443);
    Route {
        route: key::Route::of(address),
        urgency,
        offered,
        opening: offered,
        service_time: Span::millis(50),
        aim: Span::millis(250),
    }
}

fn routes(loads: &[(u32, f64)]) -> Vec<Route> {
    let mut routes = Vec::new();
    for (number, (urgency, offered)) in loads.iter().enumerate() {
        routes.push(route(u8::try_from(number).expect("few routes"), *urgency, *offered));
    }
    routes
}

fn admitted(capacity: f64, loads: &[(u32, f64)]) -> Vec<f64> {
    allocate(capacity, &routes(loads))
}

fn assert_near(actual: &[f64], expected: &[f64]) {
    assert_eq!(actual.len(), expected.len());
    for (actual, expected) in actual.iter().zip(expected) {
        assert!((actual - expected).abs() < 1e-6, "{actual} instead of {expected}");
    }
}

/// Guards against cuts while the capacity is sufficient.
#[test]
fn sufficient_capacity_admits_everything() {
    assert_near(&admitted(100.0, &[(0, 50.0), (1, 30.0), (2, 20.0)]), &[50.0, 30.0, 20.0]);
}

/// Guards against cuts of an urgent route while a less urgent one has more than its floor.
#[test]
fn least_urgent_route_loses_first() {
    assert_near(&admitted(100.0, &[(2, 60.0), (0, 60.0), (1, 30.0)]), &[10.0, 60.0, 30.0]);
}

/// Guards against starvation by more urgent routes.
#[test]
fn least_urgent_route_keeps_its_floor() {
    assert_near(&admitted(100.0, &[(0, 500.0), (1, 50.0), (2, 50.0)]), &[90.0, 5.0, 5.0]);
}

/// Guards against a floor that is set aside for a route which does not use it.
#[test]
fn unused_floor_goes_to_others() {
    assert_near(&admitted(100.0, &[(0, 500.0), (1, 1.0)]), &[99.0, 1.0]);
}

/// Guards against floors that exceed the capacity together.
#[test]
fn many_routes_share_the_capacity_as_floors() {
    let capacities = admitted(100.0, &[(3, 50.0); 40]);
    assert_near(&capacities, &[2.5; 40]);
}

/// Guards against a route with exploding demand that takes the share of its peers.
#[test]
fn exploding_route_leaves_equally_urgent_ones_their_share() {
    assert_near(&admitted(100.0, &[(1, 20.0), (1, 1_000.0), (1, 30.0)]), &[20.0, 50.0, 30.0]);
}

/// Guards against invalid results from invalid estimates.
#[test]
fn invalid_loads_count_as_none() {
    assert_near(&admitted(-1.0, &[(0, 10.0)]), &[0.0]);
    assert_near(&admitted(f64::NAN, &[(0, 10.0)]), &[0.0]);
    assert_near(&admitted(10.0, &[(0, f64::NAN), (0, -5.0), (1, 20.0)]), &[0.0, 0.0, 10.0]);
    assert_near(&admitted(10.0, &[(0, f64::INFINITY), (1, 20.0)]), &[9.5, 0.5]);
    assert!(admitted(10.0, &[]).is_empty());
}

/// Guards against a level that does not use up the capacity.
#[test]
fn water_level_uses_up_the_capacity() {
    assert!((water_level(10.0, &[8.0, 1.0, 5.0]) - 4.5).abs() < 1e-9);
    assert_eq!(water_level(14.0, &[8.0, 1.0, 5.0]), f64::INFINITY);
    assert_eq!(water_level(0.0, &[8.0, 1.0]), 0.0);
}

fn loads() -> impl Strategy<Value = Vec<(u32, f64)>> {
    let offered = prop_oneof![Just(0.0), 0.0..1.0, 0.0..100.0, 0.0..10_000.0];
    prop::collection::vec((0u32..4, offered), 0..24)
}

proptest! {
    /// Guards against more admitted load than there is capacity or demand, against capacity
    /// that is left unused although there is demand, and against a missed floor.
    #[test]
    fn allocation_is_within_its_bounds(capacity in 0.0..1_000.0f64, loads in loads()) {
        let admitted = admitted(capacity, &loads);
        let rounding = capacity * ROUNDING;
        let sum: f64 = admitted.iter().sum();
        let offered: f64 = loads.iter().map(|(_, offered)| offered).sum();
        prop_assert!(sum <= capacity + rounding);
        prop_assert!(sum >= capacity.min(offered) - offered * ROUNDING - rounding);
        let floor = (capacity * FLOOR).min(capacity / loads.len().max(1) as f64);
        for ((_, offered), admitted) in loads.iter().zip(&admitted) {
            prop_assert!(*admitted <= *offered);
            prop_assert!(*admitted >= offered.min(floor) - rounding);
        }
    }

    /// Guards against a less urgent route that gets more than its floor while a more urgent
    /// one is cut, and against unequal cuts within one urgency.
    #[test]
    fn allocation_is_by_urgency_and_fair(capacity in 0.0..1_000.0f64, loads in loads()) {
        let admitted = admitted(capacity, &loads);
        let rounding = (capacity + 1.0) * 1e-6;
        let floor = (capacity * FLOOR).min(capacity / loads.len().max(1) as f64);
        for ((urgency, offered), cut) in loads.iter().zip(&admitted) {
            if *cut >= *offered {
                continue;
            }
            for ((other_urgency, _), other) in loads.iter().zip(&admitted) {
                if other_urgency > urgency {
                    prop_assert!(*other <= floor + rounding);
                }
                if other_urgency == urgency {
                    prop_assert!(*other <= *cut + rounding);
                }
            }
        }
    }

    /// Guards against results that depend on the order in which an instance lists routes.
    #[test]
    fn allocation_does_not_depend_on_the_order(capacity in 0.0..1_000.0f64, loads in loads()) {
        let mut reversed: Vec<(u32, f64)> = loads.clone();
        reversed.reverse();
        let mut other = admitted(capacity, &reversed);
        other.reverse();
        for (one, other) in admitted(capacity, &loads).iter().zip(&other) {
            prop_assert!((one - other).abs() <= (capacity + 1.0) * 1e-6);
        }
    }
}
