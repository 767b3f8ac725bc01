//! An instance whose own link is full gets no answer from any target for seconds. It
//! does not take the targets for lost.

mod common;

use std::collections::VecDeque;

use common::{Harness, forwarded_to, request};
use mustardway_flow::front::{Action, Event};
use mustardway_flow::health::Outcome;
use mustardway_flow::packet::Reset;
use mustardway_types::target;
use mustardway_types::time::{Instant, Span};

const TICK_MILLIS: u64 = 50;
const PROBE_TIMEOUT: Span = Span::millis(100);
/// Time between two retransmissions of a caller, in ticks.
const RETRANSMIT_TICKS: u64 = 4;

/// The probes in flight of an instance, all of which time out on a full link.
#[derive(Default)]
struct Probes {
    sent: VecDeque<(Instant, target::Id)>,
    resets: Vec<Reset>,
}

impl Probes {
    /// Advances the clock. While `is_full`, no probe is answered; otherwise all targets
    /// but `lost` answer at once.
    fn advance(&mut self, harness: &mut Harness, millis: u64, is_full: bool, lost: &target::Id) {
        for _ in 0..millis / TICK_MILLIS {
            harness.advance(TICK_MILLIS);
            while let Some((at, _)) = self.sent.front()
                && harness.now.since(*at) >= PROBE_TIMEOUT
                && let Some((_, id)) = self.sent.pop_front()
            {
                harness.handle(Event::Probed(id, Outcome::Silent));
            }
            for action in harness.take_actions() {
                match action {
                    Action::Probe(probe) if is_full || probe.target == *lost => {
                        self.sent.push_back((harness.now, probe.target));
                    }
                    Action::Probe(probe) => {
                        harness.handle(Event::Probed(probe.target, Outcome::Alive));
                    }
                    Action::Reset(reset) => self.resets.push(reset),
                    _ => {}
                }
            }
        }
    }
}

/// Returns a harness with flows at all its targets, each with a request that goes
/// unanswered, and one of the targets.
fn busy_instance() -> (Harness, u64) {
    let mut harness = Harness::new(4, 4);
    for from in 2..40 {
        harness.establish(from, 1);
    }
    let target = harness.establish(1, 1);
    harness.take_actions();
    (harness, target)
}

/// Advances the clock on a full link while the caller of `target` retransmits.
fn fill_link(harness: &mut Harness, probes: &mut Probes, target: u64, millis: u64) {
    for _ in 0..millis / (TICK_MILLIS * RETRANSMIT_TICKS) {
        harness.send(&request(1, 1, target));
        probes.advance(harness, TICK_MILLIS * RETRANSMIT_TICKS, true, &common::id(target));
    }
}

#[test]
fn full_link_resets_no_open_flow() {
    let (mut harness, target) = busy_instance();
    let mut probes = Probes::default();
    fill_link(&mut harness, &mut probes, target, 8_000);
    assert!(probes.resets.is_empty(), "{:?}", probes.resets);
    assert_eq!(forwarded_to(harness.send(&request(1, 1, target))), Some(target));
}

/// The link fills just after a probe of another target was answered.
#[test]
fn link_that_fills_after_a_fast_probe_resets_no_flow() {
    let (mut harness, target) = busy_instance();
    harness.send(&request(1, 1, target));
    harness.advance(200);
    harness.send(&request(1, 1, target));
    harness.confirm_responsiveness();
    let mut probes = Probes::default();
    fill_link(&mut harness, &mut probes, target, 1_400);
    assert!(probes.resets.is_empty(), "{:?}", probes.resets);
}

/// Packets that were left unanswered while the link was full show nothing, so one lost
/// connection after that does not make a target lost.
#[test]
fn drained_link_and_one_failed_probe_reset_no_flow() {
    let (mut harness, target) = busy_instance();
    let mut probes = Probes::default();
    fill_link(&mut harness, &mut probes, target, 2_000);
    let before = harness.now;
    while probes.sent.iter().all(|(at, id)| *at <= before || *id != common::id(target)) {
        probes.advance(&mut harness, TICK_MILLIS, false, &common::id(target));
        assert!(harness.now.since(before) < Span::seconds(2), "the target is not probed");
    }
    probes.advance(&mut harness, 2 * TICK_MILLIS, false, &common::id(target));
    assert!(probes.resets.is_empty(), "{:?}", probes.resets);
}

/// Once the link is free again, a target that is really lost is found within two
/// seconds, the shortest timeout of a grown site's callers.
#[test]
fn lost_target_is_found_after_the_link_drains() {
    let (mut harness, target) = busy_instance();
    let mut probes = Probes::default();
    fill_link(&mut harness, &mut probes, target, 2_000);
    for _ in 0..10 {
        harness.send(&request(1, 1, target));
        let lost = common::id(target);
        probes.advance(&mut harness, TICK_MILLIS * RETRANSMIT_TICKS, false, &lost);
    }
    assert!(!probes.resets.is_empty(), "the flows of the lost target wait");
}
