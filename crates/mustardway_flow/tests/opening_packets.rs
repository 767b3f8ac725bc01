//! A new flow is placed once; copies follow it until its target is doubted.

mod common;

use assert_matches::assert_matches;
use common::{AWAY, HOME, Host, opening, packet, put, registration, target_of};
use mustardway_flow::front::{Action, Event, Verdict};
use mustardway_flow::health::Outcome;
use mustardway_flow::note::DropReason;
use mustardway_flow::packet::Packet;
use mustardway_mirror::publication::{Change, Item};

#[test]
fn early_copy_follows() {
    let mut host = Host::new(8, 8);
    for from in 0..30 {
        let first = host.open(from, 1);
        host.wait(100);
        assert_eq!(target_of(host.send(&opening(from, 1, 1))), first);
    }
}

#[test]
fn late_copy_moves() {
    let mut host = Host::new(8, 0);
    for from in 0..30 {
        let first = host.open(from, 1);
        host.wait(200);
        assert_ne!(target_of(host.send(&opening(from, 1, 1))), first);
    }
}

#[test]
fn last_target_is_kept() {
    let mut host = Host::new(1, 0);
    assert_eq!(host.open(1, 1), Some(1));
    host.wait(200);
    assert_eq!(target_of(host.send(&opening(1, 1, 1))), Some(1));
}

#[test]
fn opened_flow_keeps_target() {
    let mut host = Host::new(8, 0);
    let target = host.establish(1, 1);
    host.wait(300);
    assert_eq!(target_of(host.send(&opening(1, 1, 1))), Some(target));
}

#[test]
fn first_target_may_open() {
    let mut host = Host::new(8, 0);
    let first = host.open(1, 1).expect("placed");
    host.wait(200);
    let second = target_of(host.send(&opening(1, 1, 1))).expect("placed");
    assert_ne!(first, second);
    assert_eq!(target_of(host.send(&packet(1, 1, first))), Some(first));
    assert_eq!(host.front.table().active_flows_of(0).len() + flows(&host), 1);
}

/// A second target may answer late; the caller then sends that one's token.
#[test]
fn open_flow_keeps_first_target() {
    let mut host = Host::new(8, 0);
    let target = host.establish(1, 1);
    let other = target % 8 + 1;
    assert_eq!(target_of(host.send(&packet(1, 1, other))), Some(target));
    assert_eq!(target_of(host.send(&common::request(1, 1, other))), Some(target));
}

/// A caller sends copies while an instance stands still; the packets that waited
/// there open no second flow.
#[test]
fn held_opening_is_dropped() {
    let mut host = Host::new(8, 0);
    let target = host.establish(1, 1);
    host.tell(Event::Paused);
    assert_eq!(host.send(&opening(2, 1, 0)), Verdict::Drop(DropReason::Stale));
    assert_eq!(target_of(host.send(&packet(1, 1, target))), Some(target));
    host.tell(Event::BacklogCleared);
    assert!(host.open(3, 1).is_some());
}

/// Flows at all targets but the first in the directory.
fn flows(host: &Host) -> usize {
    (1..8).map(|index| host.front.table().active_flows_of(index).len()).sum()
}

#[test]
fn unfollowed_opening_probes() {
    let mut host = Host::new(3, 0);
    let target = host.open(1, 1).expect("placed");
    host.wait(30);
    assert!(host.take_probes().is_empty());
    host.wait(40);
    assert_eq!(host.take_probes(), [common::id(target)]);
}

#[test]
fn followed_opening_is_quiet() {
    let mut host = Host::new(3, 0);
    host.establish(1, 1);
    host.wait(200);
    assert!(host.take_probes().is_empty());
}

#[test]
fn repeat_leaves_domain() {
    let mut host = Host::new(6, 6);
    let first = host.open(1, 1).expect("placed");
    assert!(first <= 6, "the first try stays at home");
    host.wait(20);
    let repeat = Packet { source: other_port(1), ..opening(1, 1, 0) };
    assert!(target_of(host.send(&repeat)).expect("placed") > 6);
}

fn other_port(from: u16) -> std::net::SocketAddrV4 {
    std::net::SocketAddrV4::new(*common::caller(from).ip(), 41_000)
}

#[test]
fn hopeless_is_reset() {
    let mut host = Host::new(1, 0);
    host.lose(1, Outcome::Silent);
    assert_matches!(host.send(&opening(2, 1, 0)), Verdict::Reset(_));
}

#[test]
fn evacuated_domain_is_passed() {
    let mut host = Host::new(3, 3);
    let home = HOME.parse().expect("well formed");
    host.publish(Change::Put(Item::Evacuated(home)));
    for from in 0..40 {
        assert!(host.open(from, 1).expect("placed") > 3);
    }
}

#[test]
fn shares_follow_weights() {
    let mut host = Host::new(0, 0);
    let mut split = common::configuration(2);
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
    host.configure(split);
    host.publish(put(registration(1, "orders", HOME)));
    host.publish(put(registration(2, "files", AWAY)));
    let mut files = 0;
    for from in 0..2_000 {
        files += u32::from(host.open(from, 1) == Some(2));
    }
    // Ten per cent of 2,000, within four standard deviations.
    assert!((146..=254).contains(&files), "{files} of 2000");
}

#[test]
fn placement_is_logged() {
    let mut host = Host::new(1, 0);
    host.actions.clear();
    host.open(1, 1);
    assert_matches!(&host.actions[..], [Action::Note(_)]);
}
