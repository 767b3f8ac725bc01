//! Decisions on the new flows to a service, by its load.

mod common;

use std::net::Ipv4Addr;

use common::{INTERVAL, START, key, load, route};
use mustardway_admission::contention::State;
use mustardway_admission::controller::{Controller, Decision, Opening, Reserved, is_reserved};
use mustardway_admission::service::Load;
use mustardway_load::key::Target;
use mustardway_types::service;

fn service() -> service::Name {
    "orders".parse().expect("well formed")
}

/// Returns a controller that has seen `load` for `updates` half seconds.
fn controller(load: &Load, updates: u64) -> Controller {
    let mut controller = Controller::default();
    let mut now = START;
    for _ in 0..updates {
        controller.update(&service(), load, now);
        now = now + INTERVAL;
    }
    controller
}

/// Returns the share of 1,000 callers with one flow each that is admitted on a route.
fn admitted_share(controller: &mut Controller, number: u8) -> f64 {
    let mut admitted = 0;
    for caller in 0..1_000u16 {
        let [high, low] = caller.to_be_bytes();
        let caller = Ipv4Addr::new(100, 64, high, low);
        let opening = Opening { route: key(number), caller, epoch: 1 };
        admitted +=
            u32::from(matches!(controller.decide(&service(), &opening), Decision::Admit(_)));
    }
    f64::from(admitted) / 1_000.0
}

/// A service at twice its capacity.
fn overloaded() -> Load {
    load(100.0, &[route(1, 1, 60.0, 0.5), route(2, 2, 140.0, 0.5)])
}

/// Guards against urgent flows that are refused while ordinary ones are admitted.
#[test]
fn ordinary_flows_are_refused_first() {
    let mut controller = controller(&overloaded(), 6);
    assert!(admitted_share(&mut controller, 1) > 0.99);
    let ordinary = admitted_share(&mut controller, 2);
    // About 100 slots serve the 60 of the urgent route, and 40 of the other 140.
    assert!((0.15..0.4).contains(&ordinary), "{ordinary}");
}

/// Guards against refusals of a service that has room, and before its load is known.
#[test]
fn service_with_room_admits_all() {
    let idle = load(100.0, &[route(1, 1, 20.0, 0.0), route(2, 2, 40.0, 0.0)]);
    for mut controller in [Controller::default(), controller(&idle, 6)] {
        for number in [1, 2] {
            assert!((admitted_share(&mut controller, number) - 1.0).abs() < f64::EPSILON);
        }
    }
}

/// Guards against refusals by a load that is no longer known.
#[test]
fn unknown_load_admits_all() {
    let mut controller = controller(&overloaded(), 6);
    controller.reset();
    assert!((admitted_share(&mut controller, 2) - 1.0).abs() < f64::EPSILON);
}

/// Guards against urgent flows that wait behind ordinary ones although none is refused.
#[test]
fn nearly_full_service_reserves_targets() {
    let nearly_full = load(100.0, &[route(1, 1, 20.0, 0.0), route(2, 2, 60.0, 0.0)]);
    let mut controller = controller(&nearly_full, 2);
    let status = controller.status(&service()).expect("known").clone();
    assert_eq!(status.state, State::Reserving);
    assert!((0.2..0.5).contains(&status.reserved), "{}", status.reserved);
    let mut decide = |number| {
        let caller = Ipv4Addr::new(100, 64, 0, 1);
        controller.decide(&service(), &Opening { route: key(number), caller, epoch: 1 })
    };
    assert_eq!(decide(1), Decision::Admit(Reserved::Prefer));
    assert_eq!(decide(2), Decision::Admit(Reserved::Avoid));
}

/// Guards against reservations where no route is more urgent than another.
#[test]
fn equal_urgency_reserves_nothing() {
    let equal = load(100.0, &[route(1, 1, 40.0, 0.0), route(2, 1, 45.0, 0.0)]);
    let controller = controller(&equal, 2);
    assert!(controller.status(&service()).expect("known").reserved.abs() < f64::EPSILON);
}

/// Guards against instances that reserve different targets, and against a reservation that
/// moves to other targets when it grows.
#[test]
fn larger_reservation_contains_a_smaller_one() {
    let targets: Vec<Target> = (0..1_000u64).map(|number| Target(number << 20)).collect();
    let count = |share| targets.iter().filter(|target| is_reserved(**target, share)).count();
    assert_eq!(count(0.0), 0);
    assert!((250..350).contains(&count(0.3)), "{}", count(0.3));
    for target in &targets {
        assert!(!is_reserved(*target, 0.2) || is_reserved(*target, 0.3));
    }
}
