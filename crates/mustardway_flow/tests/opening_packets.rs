//! A new flow is placed once. Copies of its opening packet go to the same target
//! until that target is suspected.

mod common;

use assert_matches::assert_matches;
use common::{
    AWAY, HOME, Harness, acknowledgement, answer_acknowledgement, configuration, forwarded_to,
    opening, put, registration,
};
use mustardway_flow::front::{Action, Event, Verdict};
use mustardway_flow::health::Outcome;
use mustardway_flow::note::DropReason;
use mustardway_flow::packet::Packet;
use mustardway_mirror::publication::{Change, Item};
use mustardway_types::time::Span;

#[test]
fn early_copy_goes_to_the_same_target() {
    let mut harness = Harness::new(8, 8);
    for from in 0..30 {
        let first = harness.open(from, 1);
        harness.advance(100);
        assert_eq!(forwarded_to(harness.send(&opening(from, 1, 1))), first);
    }
}

#[test]
fn late_copy_goes_to_another_target() {
    let mut harness = Harness::new(8, 0);
    for from in 0..30 {
        let first = harness.open(from, 1);
        harness.advance(200);
        assert_ne!(forwarded_to(harness.send(&opening(from, 1, 1))), first);
    }
}

#[test]
fn late_copy_stays_at_the_only_target() {
    let mut harness = Harness::new(1, 0);
    assert_eq!(harness.open(1, 1), Some(1));
    harness.advance(200);
    assert_eq!(forwarded_to(harness.send(&opening(1, 1, 1))), Some(1));
}

#[test]
fn copy_for_an_open_flow_keeps_the_target() {
    let mut harness = Harness::new(8, 0);
    let target = harness.establish(1, 1);
    harness.advance(300);
    assert_eq!(forwarded_to(harness.send(&opening(1, 1, 1))), Some(target));
}

#[test]
fn late_answer_of_the_first_target_opens_the_flow() {
    let mut harness = Harness::new(8, 0);
    let first = harness.open(1, 1).expect("the flow is placed");
    harness.advance(200);
    let second = forwarded_to(harness.send(&opening(1, 1, 1))).expect("the flow is placed");
    assert_ne!(first, second);
    assert_eq!(forwarded_to(harness.send(&acknowledgement(1, 1, first))), Some(first));
    assert_eq!(harness.front.table().active_flows_of(0).len() + flows_elsewhere(&harness), 1);
}

/// If a second target answers late, the caller sends the token of that target.
#[test]
fn second_answer_does_not_move_an_open_flow() {
    let mut harness = Harness::new(8, 0);
    let target = harness.establish(1, 1);
    let other = target % 8 + 1;
    assert_eq!(forwarded_to(harness.send(&acknowledgement(1, 1, other))), Some(target));
    assert_eq!(forwarded_to(harness.send(&common::request(1, 1, other))), Some(target));
}

/// While an instance is paused, the caller sends copies through other instances.
/// Packets that waited at the paused instance must not open a second flow.
#[test]
fn opening_held_during_a_pause_is_dropped() {
    let mut harness = Harness::new(8, 0);
    let target = harness.establish(1, 1);
    harness.handle(Event::Paused);
    assert_eq!(harness.send(&opening(2, 1, 0)), Verdict::Drop(DropReason::Stale));
    assert_eq!(forwarded_to(harness.send(&acknowledgement(1, 1, target))), Some(target));
    harness.handle(Event::BacklogCleared);
    assert!(harness.open(3, 1).is_some());
}

/// Returns the number of flows at all targets but the first in the directory.
fn flows_elsewhere(harness: &Harness) -> usize {
    (1..8).map(|index| harness.front.table().active_flows_of(index).len()).sum()
}

#[test]
fn opening_without_follow_up_probes_the_target() {
    let mut harness = Harness::new(3, 0);
    let target = harness.open(1, 1).expect("the flow is placed");
    harness.advance(30);
    assert!(harness.take_probes().is_empty());
    harness.advance(40);
    assert_eq!(harness.take_probes(), [common::id(target)]);
}

#[test]
fn opening_with_follow_up_sends_no_probe() {
    let mut harness = Harness::new(3, 0);
    harness.establish(1, 1);
    harness.advance(200);
    assert!(harness.take_probes().is_empty());
}

#[test]
fn retry_from_another_port_leaves_the_domain() {
    let mut harness = Harness::new(6, 6);
    let first = harness.open(1, 1).expect("the flow is placed");
    assert!(first <= 6, "the first attempt stays in the home domain");
    harness.advance(20);
    let repeat = Packet { source: address_with_other_port(1), ..opening(1, 1, 0) };
    assert!(forwarded_to(harness.send(&repeat)).expect("the flow is placed") > 6);
}

fn address_with_other_port(from: u16) -> std::net::SocketAddrV4 {
    std::net::SocketAddrV4::new(*common::caller(from).ip(), 41_000)
}

#[test]
fn opening_without_any_target_is_reset() {
    let mut harness = Harness::new(1, 0);
    harness.lose_target(1, Outcome::Silent);
    assert_matches!(harness.send(&opening(2, 1, 0)), Verdict::Reset(_));
}

#[test]
fn evacuated_domain_gets_no_new_flows() {
    let mut harness = Harness::new(3, 3);
    let home = HOME.parse().expect("well formed");
    harness.publish(Change::Put(Item::Evacuated(home)));
    for from in 0..40 {
        assert!(harness.open(from, 1).expect("the flow is placed") > 3);
    }
}

#[test]
fn shares_follow_weights() {
    let mut harness = Harness::new(0, 0);
    let mut split = configuration(2);
    split.routes[0].shares = vec![
        mustardway_mirror::publication::Share {
            service: "orders".parse().expect("well formed"),
            weight: 90,
        },
        mustardway_mirror::publication::Share {
            service: "files".parse().expect("well formed"),
            weight: 10,
        },
    ];
    harness.configure(split);
    harness.publish(put(registration(1, "orders", HOME)));
    harness.publish(put(registration(2, "files", AWAY)));
    let mut files = 0;
    for from in 0..2_000 {
        files += u32::from(harness.open(from, 1) == Some(2));
    }
    // Ten per cent of 2,000, within four standard deviations.
    assert!((146..=254).contains(&files), "{files} of 2000");
}

/// A weight of 0 takes a service out of use, also if the others have no target.
#[test]
fn share_of_weight_zero_gets_no_flows() {
    let share = |service: &str, weight| mustardway_mirror::publication::Share {
        service: service.parse().expect("well formed"),
        weight,
    };
    let mut harness = Harness::new(0, 0);
    let mut split = configuration(2);
    split.routes[0].shares = vec![share("orders", 1), share("files", 0)];
    harness.configure(split.clone());
    harness.publish(put(registration(1, "orders", HOME)));
    harness.publish(put(registration(2, "files", HOME)));
    for from in 0..50 {
        assert_eq!(harness.open(from, 1), Some(1));
    }
    harness.lose_target(1, Outcome::Silent);
    assert_matches!(harness.send(&opening(100, 1, 0)), Verdict::Reset(_));
    split.version = 3;
    split.routes[0].shares = vec![share("files", 0)];
    harness.configure(split);
    assert_matches!(harness.send(&opening(101, 1, 0)), Verdict::Reset(_));
}

#[test]
fn placement_is_logged() {
    let mut harness = Harness::new(1, 0);
    harness.actions.clear();
    harness.open(1, 1);
    assert_matches!(&harness.actions[..], [Action::Note(_)]);
}

/// All registrations expire while the platform is unavailable, and one is renewed
/// before the others. All targets work, so it must not get all new flows.
#[test]
fn first_renewed_target_gets_its_share() {
    let mut harness = Harness::new(5, 0);
    for number in 1..=5 {
        let from = 100 + u16::try_from(number).expect("small");
        harness.send(&acknowledgement(from, 1, number));
        harness.send(&answer_acknowledgement(from, 1, number));
    }
    for number in 1..=5 {
        harness.unregister(number);
    }
    harness.publish(put(registration(3, "orders", HOME)));
    for number in 1..=5 {
        let from = 100 + u16::try_from(number).expect("small");
        let packet = answer_acknowledgement(from, 1, number);
        harness.send(&Packet { acknowledgement: 8_001, ..packet });
    }
    let mut counts = [0; 6];
    for from in 0..20 {
        let target = harness.establish(from, 1);
        counts[usize::try_from(target).expect("small")] += 1;
    }
    assert!(counts.iter().all(|count| *count <= 8), "{counts:?}");
}

/// The registration of a crashed target expires after it has been silent for seconds.
#[test]
fn silent_unregistered_target_is_avoided() {
    let mut harness = Harness::new(5, 0);
    for number in 1..=5 {
        let from = 100 + u16::try_from(number).expect("small");
        harness.send(&acknowledgement(from, 1, number));
        harness.send(&answer_acknowledgement(from, 1, number));
    }
    harness.advance(2_300);
    harness.unregister(3);
    for from in 0..40 {
        assert_ne!(harness.open(from, 1), Some(3));
    }
}

/// The answer and the caller's next packet wait at the instance as well.
#[test]
fn copy_that_waited_behind_a_stall_goes_to_the_same_target() {
    let mut harness = Harness::new(8, 0);
    for from in 0..30 {
        let first = harness.open(from, 1);
        harness.now = harness.now + Span::millis(210);
        assert_eq!(forwarded_to(harness.send(&opening(from, 1, 1))), first);
        harness.advance(50);
    }
}

/// The caller's next copy may have opened the flow through another instance meanwhile.
#[test]
fn opening_packet_that_waited_until_the_next_copy_is_dropped() {
    let mut harness = Harness::new(8, 0);
    harness.advance(50);
    harness.now = harness.now + Span::millis(210);
    assert_eq!(harness.send(&opening(1, 1, 0)), Verdict::Drop(DropReason::Stale));
    assert!(forwarded_to(harness.send(&opening(1, 1, 1))).is_some());
    assert_eq!(harness.send(&opening(2, 9, 0)), Verdict::Drop(DropReason::Stale));
    harness.handle(Event::BacklogCleared);
    assert!(forwarded_to(harness.send(&opening(3, 1, 0))).is_some());
}

/// The instance is busy, but its ticks come in time.
#[test]
fn opening_packet_at_the_end_of_a_long_queue_is_dropped() {
    let mut harness = Harness::new(8, 0);
    harness.advance(50);
    for from in 0..5 {
        harness.open(from, 1);
        harness.handle(Event::BacklogRemains);
        harness.advance(50);
    }
    assert_eq!(harness.send(&opening(9, 1, 0)), Verdict::Drop(DropReason::Stale));
    harness.advance(150);
    assert!(
        forwarded_to(harness.send(&opening(9, 1, 0))).is_some(),
        "no packet came for two ticks"
    );
}

#[test]
fn opening_packet_from_before_the_configuration_is_dropped() {
    let mut harness = Harness::empty(1);
    harness.advance(300);
    harness.configure(configuration(1));
    harness.publish(put(registration(1, "orders", HOME)));
    harness.advance(50);
    assert_eq!(harness.send(&opening(1, 1, 0)), Verdict::Drop(DropReason::Stale));
    harness.handle(Event::BacklogCleared);
    assert_eq!(harness.open(2, 1), Some(1));
}

/// Another instance got the opening packet; its copy comes after the caller's next packet.
#[test]
fn copy_of_a_flow_that_opened_here_goes_to_its_target() {
    for target in 1..=8 {
        let mut harness = Harness::new(8, 0);
        harness.advance(50);
        assert_eq!(forwarded_to(harness.send(&acknowledgement(1, 1, target))), Some(target));
        assert_eq!(forwarded_to(harness.send(&opening(1, 1, 1))), Some(target));
        assert_eq!(forwarded_to(harness.send(&acknowledgement(1, 1, target))), Some(target));
    }
}

/// The answer to the opening packet is late, and its failure domain is evacuated meanwhile.
#[test]
fn copy_of_a_flow_that_may_open_at_its_target_is_not_reset() {
    let mut harness = Harness::new(2, 0);
    harness.advance(50);
    harness.open(1, 1);
    let home = HOME.parse().expect("well formed");
    harness.publish(Change::Put(Item::Evacuated(home)));
    harness.advance(200);
    assert_eq!(harness.send(&opening(1, 1, 1)), Verdict::Drop(DropReason::UnknownCopy));
    assert_matches!(harness.send(&opening(2, 1, 0)), Verdict::Reset(_));
}
