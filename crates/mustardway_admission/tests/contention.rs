//! When a service counts as full, and how much load it is given then.

mod common;

use common::{INTERVAL, START, load, route};
use mustardway_admission::contention::{Contention, State};
use mustardway_admission::service::Load;

const SLOTS: f64 = 100.0;

/// Updates `contention` with the same load `times` times, and returns the states.
fn update(contention: &mut Contention, load: &Load, first: u64, times: u64) -> Vec<State> {
    let mut states = Vec::new();
    for step in first..first + times {
        let mut now = START;
        for _ in 0..step {
            now = now + INTERVAL;
        }
        states.push(contention.update(load, now));
    }
    states
}

fn full() -> Load {
    load(SLOTS, &[route(1, 1, 60.0, 0.4), route(2, 2, 140.0, 0.4)])
}

fn refusing() -> Contention {
    let mut contention = Contention::default();
    let states = update(&mut contention, &full(), 0, 4);
    assert_eq!(states.last(), Some(&State::Refusing));
    contention
}

/// Guards against targets that are reserved and released with each small change of the load.
#[test]
fn reservation_does_not_flap() {
    let mut contention = Contention::default();
    let at = |offered| load(SLOTS, &[route(1, 1, offered, 0.0)]);
    assert_eq!(update(&mut contention, &at(65.0), 0, 1), [State::Open]);
    assert_eq!(update(&mut contention, &at(71.0), 1, 1), [State::Reserving]);
    assert_eq!(update(&mut contention, &at(65.0), 2, 1), [State::Reserving]);
    assert_eq!(update(&mut contention, &at(59.0), 3, 1), [State::Open]);
}

/// Guards against refusals in a burst that is over before callers' retries fail.
#[test]
fn short_burst_is_not_refused() {
    let mut contention = Contention::default();
    let states = update(&mut contention, &full(), 0, 2);
    assert!(!states.contains(&State::Refusing), "{states:?}");
}

/// Guards against refusals because targets fail requests although they have room.
#[test]
fn failing_targets_are_not_full() {
    let mut contention = Contention::default();
    let failing = load(SLOTS, &[route(1, 1, 50.0, 0.6)]);
    let states = update(&mut contention, &failing, 0, 20);
    assert!(states.iter().all(|state| *state == State::Open), "{states:?}");
}

/// Guards against a budget that falls on and on while rejections last, so that slots are
/// idle.
#[test]
fn budget_stays_near_what_is_served() {
    let mut contention = refusing();
    let served = full().served();
    update(&mut contention, &full(), 4, 60);
    assert!(contention.budget() >= 0.8 * served, "{} of {served}", contention.budget());
    assert!(contention.budget() <= served, "{} of {served}", contention.budget());
}

/// Guards against refusals after a burst.
#[test]
fn refusals_end_within_a_second_of_a_burst() {
    let mut contention = refusing();
    let usual = load(SLOTS, &[route(1, 1, 20.0, 0.0), route(2, 2, 40.0, 0.0)]);
    let states = update(&mut contention, &usual, 4, 2);
    assert_ne!(states.last(), Some(&State::Refusing));
}

/// Guards against refusals that go on although the targets have room for all.
#[test]
fn budget_rises_while_there_is_room() {
    let mut contention = refusing();
    let relieved = load(SLOTS, &[route(1, 1, 40.0, 0.0), route(2, 2, 100.0, 0.0)]);
    let states = update(&mut contention, &relieved, 4, 10);
    assert_eq!(states.last(), Some(&State::Reserving));
}

/// Guards against a service that counts as idle because all of its targets are suspected:
/// full targets leave opening packets without an answer.
#[test]
fn service_without_usable_targets_stays_full() {
    let mut contention = refusing();
    let budget = contention.budget();
    let suspected = Load { slots: 0.0, ..full() };
    let states = update(&mut contention, &suspected, 4, 10);
    assert!(states.iter().all(|state| *state == State::Refusing), "{states:?}");
    assert!(contention.budget() <= budget);
}
