//! A cold target warms up with answers in time, and no faster than its warm-up
//! time allows.

mod support;

use mustardway_gate::{Ending, Gate, Observation};
use mustardway_types::answer::Reason;
use support::{admit, ask, at, done, ended, finish, gate_at, limits, reason, serving};

/// Sends `count` packets, `gap` milliseconds apart, each answered after `took` milliseconds.
fn send_answered(gate: &mut Gate, from: u64, count: u64, gap: u64, took: u64) {
    for number in 0..count {
        let now = from + number * gap;
        let mut ask = ask(1, now, now);
        ask.deadline = at(now + 1_000_000);
        admit(gate, at(now), &ask);
        finish(gate, at(now + took), now, done(took));
    }
}

fn cold_gate(slots: u32) -> Gate {
    gate_at("entry-1", limits(slots, 1, 4), serving(), at(0))
}

#[test]
fn level_rises_at_most_linearly() {
    let mut gate = cold_gate(11);
    send_answered(&mut gate, 0, 1_000, 5, 1);
    assert_eq!(gate.load(at(5_000)).allowed, 5, "half of the time, less than half of the way");
    send_answered(&mut gate, 5_000, 1_100, 5, 1);
    assert_eq!(gate.load(at(10_500)).allowed, 11);
}

#[test]
fn idle_target_stays_cold() {
    let gate = cold_gate(11);
    assert_eq!(gate.load(at(60_000)).allowed, 1);
}

#[test]
fn shed_halves_level() {
    let mut gate = cold_gate(8);
    send_answered(&mut gate, 0, 2_200, 5, 1);
    assert_eq!(gate.load(at(11_000)).allowed, 8);
    for (number, allowed) in [(0, 4), (1, 2), (2, 1), (3, 1)] {
        let now = 11_000 + number;
        admit(&mut gate, at(now), &support::due(ask(1, now, now), 20_000));
        finish(&mut gate, at(now), now, ended(Ending::Shed, 1));
        assert_eq!(gate.load(at(now)).allowed, allowed);
    }
}

#[test]
fn reconnect_resets_to_cold() {
    let mut gate = cold_gate(8);
    send_answered(&mut gate, 0, 2_200, 5, 1);
    gate.observe(at(11_000), Observation::Reconnected);
    assert_eq!(gate.load(at(11_000)).allowed, 1);
    send_answered(&mut gate, 11_000, 200, 5, 1);
    assert_eq!(gate.load(at(12_000)).allowed, 1, "a tenth of the time, less than one slot");
}

#[test]
fn slow_answers_reset_to_cold() {
    let mut gate = cold_gate(8);
    send_answered(&mut gate, 0, 2_200, 5, 2);
    send_answered(&mut gate, 11_000, 4, 100, 90);
    assert_eq!(gate.load(at(11_500)).allowed, 8);
    send_answered(&mut gate, 11_500, 1, 100, 90);
    assert_eq!(gate.load(at(11_600)).allowed, 1);
}

#[test]
fn health_reports_do_not_warm_up() {
    let mut gate = cold_gate(8);
    gate.observe(at(0), Observation::HealthOk);
    assert_eq!(gate.load(at(0)).allowed, 1);
    send_answered(&mut gate, 0, 1, 5, 1);
    gate.observe(at(10), Observation::HealthFailed);
    assert_eq!(reason(&admit(&mut gate, at(10), &ask(2, 1, 99))), Some(Reason::NoTarget));
    send_answered(&mut gate, 20, 1, 5, 1);
    assert_eq!(gate.counters().run, 2, "an established flow goes on");
}
