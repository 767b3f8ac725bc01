//! A published revision is in force at all instances in time.

mod common;

use std::sync::Arc;

use common::{Fleet, id};
use compact_str::CompactString;
use mustardway_spread::event::Event;
use mustardway_spread::platform::Failure;
use mustardway_spread::report;
use mustardway_types::time::Span;

const LIMIT: Span = Span::seconds(6);

#[test]
fn revision_is_in_force_everywhere() {
    for seed in 0..5 {
        let mut fleet = Fleet::settled(9, 3, seed);
        for number in 2..12 {
            fleet.publish(number);
            let spread = fleet.run_until(LIMIT, |fleet| fleet.all_at(number));
            assert!(spread.is_some(), "seed {seed}, revision {number}");
        }
        for host in &fleet.hosts {
            assert_eq!(host.replica.in_force().files, common::files(11));
        }
    }
}

#[test]
fn revision_spreads_over_lossy_links() {
    for seed in 0..5 {
        let mut fleet = Fleet::settled(60, 6, seed);
        fleet.loss = 0.3;
        fleet.duplication = 0.2;
        fleet.delay = (Span::millis(1), Span::millis(120));
        for number in 2..8 {
            fleet.publish(number);
            let spread = fleet.run_until(LIMIT, |fleet| fleet.all_at(number));
            assert!(spread.is_some(), "seed {seed}, revision {number}");
        }
    }
}

#[test]
fn latest_of_fast_changes_is_in_force() {
    let mut fleet = Fleet::settled(60, 6, 1);
    for number in 2..60 {
        fleet.publish(number);
        fleet.run(Span::millis(20));
    }
    assert!(fleet.run_until(LIMIT, |fleet| fleet.all_at(59)).is_some());
}

#[test]
fn quiet_fleet_makes_few_platform_calls() {
    let mut fleet = Fleet::settled(200, 6, 1);
    fleet.platform.calls = 0;
    fleet.run(Span::seconds(60));
    // 12 readers with long polls of 30 s.
    assert!(fleet.platform.calls <= 12 * 3, "{} calls", fleet.platform.calls);
}

/// Only one instance reaches the platform, and only until it has read the revision.
#[test]
fn one_read_is_enough_for_all() {
    let mut fleet = Fleet::settled(9, 3, 1);
    for index in 0..9 {
        fleet.event(index, Event::Reader(index == 0));
        if index != 0 {
            fleet.cut_platform(index);
        }
    }
    fleet.run(Span::seconds(1));
    fleet.publish(2);
    fleet.run(Span::millis(20));
    fleet.fail_platform(Some(Failure::Unreachable));
    assert!(fleet.run_until(LIMIT, |fleet| fleet.all_at(2)).is_some());
}

/// No instance is a reader, as with a wrong live list. Reads by instances without a
/// recent confirmation must still bring a revision in force.
#[test]
fn fleet_without_readers_reads_the_platform() {
    let mut fleet = Fleet::settled(9, 3, 1);
    for index in 0..9 {
        fleet.event(index, Event::Reader(false));
        fleet.restart(index, 70 + index as u64);
    }
    assert!(fleet.run_until(LIMIT, |fleet| fleet.all_at(1)).is_some());
    fleet.run(Span::seconds(20));
    fleet.publish(2);
    assert!(fleet.run_until(LIMIT, |fleet| fleet.all_at(2)).is_some());
}

#[test]
fn large_files_spread() {
    let mut fleet = Fleet::settled(9, 3, 1);
    let mut files = common::files(2);
    let content: Vec<u8> = (0..900_000u32).map(|value| (value % 251) as u8).collect();
    files.insert(CompactString::from("50-large.ini"), Arc::from(content));
    fleet.publish_files(2, files.clone());
    assert!(fleet.run_until(LIMIT, |fleet| fleet.all_at(2)).is_some());
    for host in &fleet.hosts {
        assert_eq!(host.replica.in_force().files, files);
    }
}

#[test]
fn differences_are_small() {
    let mut fleet = Fleet::settled(9, 3, 1);
    for host in &mut fleet.hosts {
        host.bytes = 0;
    }
    fleet.publish(3);
    assert!(fleet.run_until(LIMIT, |fleet| fleet.all_at(3)).is_some());
    let whole = common::set(3).bytes() as u64;
    let sent: u64 = fleet.hosts.iter().map(|host| host.bytes).sum();
    assert!(sent < whole, "{sent} bytes sent, a whole set has {whole}");
}

#[test]
fn partition_heals_to_latest_revision() {
    let mut fleet = Fleet::settled(9, 3, 1);
    for index in [0, 3, 6] {
        fleet.sides[index] = 1;
        fleet.cut_platform(index);
    }
    for number in 2..9 {
        fleet.publish(number);
        fleet.run(Span::seconds(1));
    }
    assert_eq!(fleet.revision_at(0), 1);
    assert_eq!(fleet.revision_at(1), 8);
    fleet.sides.fill(0);
    assert!(fleet.run_until(LIMIT, |fleet| fleet.all_at(8)).is_some());
}

#[test]
fn corrupt_peer_does_not_stop_spreading() {
    let mut fleet = Fleet::settled(9, 3, 1);
    fleet.corrupt_senders.insert(0);
    for number in 2..12 {
        fleet.publish(number);
        let spread = fleet.run_until(LIMIT, |fleet| fleet.all_at(number));
        assert!(spread.is_some(), "revision {number}");
    }
    for host in &fleet.hosts {
        assert_eq!(host.replica.in_force().files, common::files(11));
    }
    let mismatches = fleet.reported(
        |kind| matches!(kind, report::Kind::DigestMismatch { from, .. } if *from == id(0)),
    );
    assert!(mismatches > 0);
}
