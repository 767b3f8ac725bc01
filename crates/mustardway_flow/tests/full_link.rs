//! An instance whose own link is full gets no answer from any target for seconds. It
//! does not take the targets for lost.

mod common;

use common::{Harness, forwarded_to, id, request};
use mustardway_flow::health::Outcome;
use mustardway_flow::packet::Reset;
use mustardway_types::time::Span;

/// Time between two retransmissions of a caller.
const RETRANSMIT_MILLIS: u64 = 200;

/// Returns a harness with flows at all its targets, and one of the targets.
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
fn fill_link(harness: &mut Harness, target: u64, millis: u64) -> Vec<Reset> {
    let mut resets = Vec::new();
    for _ in 0..millis / RETRANSMIT_MILLIS {
        harness.send(&request(1, 1, target));
        resets.extend(harness.run(RETRANSMIT_MILLIS, |_| true));
    }
    resets
}

#[test]
fn full_link_resets_no_open_flow() {
    let (mut harness, target) = busy_instance();
    let resets = fill_link(&mut harness, target, 8_000);
    assert!(resets.is_empty(), "{resets:?}");
    assert_eq!(forwarded_to(harness.send(&request(1, 1, target))), Some(target));
}

/// The routers choose other instances for new flows while no target answers.
#[test]
fn instance_behind_a_full_link_is_not_ready() {
    let (mut harness, target) = busy_instance();
    fill_link(&mut harness, target, 2_000);
    assert!(!harness.front.is_ready());
    harness.run(500, |_| false);
    assert!(harness.front.is_ready());
}

/// The link fills just after a single probe was lost and a probe of another target was
/// answered.
#[test]
fn link_that_fills_after_a_fast_probe_resets_no_flow() {
    let (mut harness, target) = busy_instance();
    harness.send(&request(1, 1, target));
    harness.advance(200);
    harness.send(&request(1, 1, target));
    harness.finish_probe(target, Outcome::Silent);
    harness.take_actions();
    let resets = fill_link(&mut harness, target, 1_400);
    assert!(resets.is_empty(), "{resets:?}");
}

/// Packets that were left unanswered while the link was full show nothing, so one lost
/// connection after that does not make a target lost.
#[test]
fn drained_link_and_one_failed_probe_reset_no_flow() {
    let (mut harness, target) = busy_instance();
    let mut resets = fill_link(&mut harness, target, 2_000);
    let drained_at = harness.now;
    let is_lost = |it: &_| *it == id(target);
    let is_probed = |harness: &Harness| {
        harness.unanswered_probes.iter().any(|(at, it)| *at > drained_at && is_lost(it))
    };
    while !is_probed(&harness) {
        resets.extend(harness.run(50, is_lost));
        assert!(harness.now.since(drained_at) < Span::seconds(2), "the target is not probed");
    }
    resets.extend(harness.run(100, is_lost));
    assert!(resets.is_empty(), "{resets:?}");
}

/// Once the link is free again, a target that is really lost is found within two
/// seconds, the shortest timeout of a grown site's callers.
#[test]
fn lost_target_is_found_after_the_link_drains() {
    let (mut harness, target) = busy_instance();
    fill_link(&mut harness, target, 2_000);
    let mut resets = Vec::new();
    for _ in 0..10 {
        harness.send(&request(1, 1, target));
        resets.extend(harness.run(RETRANSMIT_MILLIS, |it| *it == id(target)));
    }
    assert!(!resets.is_empty(), "the flows of the lost target wait");
}

/// Callers retransmit after the last probe that the full link swallowed, and the link
/// drains while a probe of their target is in flight.
#[test]
fn link_that_drains_during_a_probe_resets_no_flow() {
    for drained_after in [0, 50, 100, 150] {
        let mut harness = Harness::new(4, 4);
        let callers: Vec<u16> = (1..40).filter(|from| harness.establish(*from, 1) == 1).collect();
        harness.take_actions();
        let mut resets = Vec::new();
        for _ in 0..10 {
            for from in &callers {
                harness.send(&request(*from, 1, 1));
            }
            resets.extend(harness.run(RETRANSMIT_MILLIS, |_| true));
        }
        for from in &callers {
            harness.send(&request(*from, 1, 1));
        }
        resets.extend(harness.run(drained_after, |_| true));
        resets.extend(harness.run(1_000, |_| false));
        assert!(resets.is_empty(), "drained after {drained_after} ms: {resets:?}");
    }
}
