//! Targets that work but answer health checks slowly.

mod common;

use std::collections::VecDeque;

use common::{Harness, id, request};
use mustardway_flow::front::{Action, Event};
use mustardway_flow::health::Outcome;
use mustardway_flow::packet::Reset;
use mustardway_types::time::Span;

const TICK_MILLIS: u64 = 50;
/// Time that the health check takes after its connection is established: the target's
/// slots are busy.
const CHECK_TIME: Span = Span::millis(250);

/// Advances the clock. All probes but those of `lost` are answered after [`CHECK_TIME`]
/// and connect at once if `connects` is set, else only then. Returns the resets and the
/// number of probes of other targets.
fn run(
    harness: &mut Harness,
    millis: u64,
    connects: bool,
    lost: Option<u64>,
) -> (Vec<Reset>, usize) {
    let (mut resets, mut probes) = (Vec::new(), 0);
    let mut checks = VecDeque::new();
    for _ in 0..millis / TICK_MILLIS {
        resets.extend(harness.run(TICK_MILLIS, |_| true));
        let mut sent = std::mem::take(&mut harness.unanswered_probes);
        sent.retain(|(at, target)| {
            let is_lost = lost.is_some_and(|number| *target == id(number));
            if !is_lost && *at == harness.now {
                probes += 1;
                checks.push_back((*at, target.clone()));
                if connects {
                    harness.handle(Event::ProbeConnected(target.clone()));
                }
            }
            is_lost
        });
        harness.unanswered_probes = sent;
        while let Some((at, _)) = checks.front()
            && harness.now.since(*at) >= CHECK_TIME
            && let Some((_, target)) = checks.pop_front()
        {
            harness.handle(Event::Probed(target, Outcome::Alive));
        }
        for action in harness.take_actions() {
            if let Action::Reset(reset) = action {
                resets.push(reset);
            }
        }
    }
    (resets, probes)
}

/// Returns a harness with flows at all of its 20 targets.
fn busy_instance() -> Harness {
    let mut harness = Harness::new(20, 0);
    for from in 1..=60 {
        harness.establish(from, 1);
    }
    harness.take_actions();
    harness
}

#[test]
fn slow_answers_end_the_isolation() {
    for connects in [true, false] {
        let mut harness = busy_instance();
        let target = harness.establish(100, 1);
        harness.send(&request(100, 1, target));
        harness.advance(200);
        harness.send(&request(100, 1, target));
        harness.run(1_500, |_| true);
        assert!(!harness.front.is_ready());
        run(&mut harness, 1_000, connects, None);
        assert!(harness.front.is_ready(), "connects: {connects}");
    }
}

#[test]
fn lost_target_beside_slow_ones_is_found() {
    let mut harness = busy_instance();
    let target = harness.establish(100, 1);
    let (mut resets, mut probes) = (Vec::new(), 0);
    for _ in 0..10 {
        harness.send(&request(100, 1, target));
        let (reset, sent) = run(&mut harness, 200, true, Some(target));
        resets.extend(reset);
        probes += sent;
        assert!(harness.front.is_ready());
    }
    assert!(!resets.is_empty(), "the flows of the lost target wait");
    // A probe of another target for each silent one, of which few find the target lost.
    assert!(probes <= 8, "{probes} probes of targets that work");
}
