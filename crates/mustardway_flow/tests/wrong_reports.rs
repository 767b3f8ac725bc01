//! A peer whose own link is full reports working targets lost. Its word alone rejects no
//! caller.

mod common;

use assert_matches::assert_matches;
use common::{AWAY, Harness, configuration, id, instances, opening, put, registration};
use mustardway_flow::front::{Event, Verdict};
use mustardway_flow::health::Outcome;
use mustardway_types::time::Span;

const TARGETS: u64 = 40;
/// Targets that the peer reports lost.
const REPORTED: u64 = 3;
/// Timeout of the callers, which leaves time for the routers to notice an instance that
/// is not ready.
const CALLER_TIMEOUT: Span = Span::seconds(2);

/// Returns an instance whose peer has just reported some of the targets lost, all of
/// which work.
fn after_reports() -> Harness {
    let mut harness = Harness::empty(1);
    let mut configuration = configuration(1);
    for route in &mut configuration.routes {
        route.limit = CALLER_TIMEOUT;
    }
    harness.configure(configuration);
    for number in 1..=TARGETS {
        harness.publish(put(registration(number, "orders", AWAY)));
    }
    harness.handle(Event::Peers {
        known: instances(9),
        neighbours: instances(3),
        relays: Vec::new(),
    });
    harness.advance(1_000);
    for number in 1..=REPORTED {
        harness.handle(Event::PeerReport {
            from: common::peer(1),
            target: id(number),
            is_lost: true,
        });
    }
    harness.advance(50);
    harness
}

#[test]
fn opening_packet_is_not_reset() {
    let mut harness = after_reports();
    let verdict = harness.send(&opening(1, 1, 0));
    assert!(!matches!(verdict, Verdict::Reset(_)), "{verdict:?}");
    harness.handle(Event::Probed(id(1), Outcome::Alive));
    harness.advance(150);
    assert_matches!(harness.send(&opening(1, 1, 1)), Verdict::Forward { .. });
}
