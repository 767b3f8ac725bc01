//! All replicas stay current with few calls to the platform, whichever instance
//! or failure domain fails.

mod common;

use common::{Fleet, put, put_cold};
use mustardway_mirror::node::Event;
use mustardway_mirror::publication::{Change, Key};
use mustardway_mirror::topology::Topology;
use mustardway_types::time::Span;

/// The shortest bound in which a change has to be in force, less the time that a
/// target's registration and a new flow take.
const STALENESS_MAX: Span = Span::millis(2_500);

#[test]
fn idle_fleet_makes_few_calls() {
    for (count, domains) in [(7, 3), (9, 3), (90, 4)] {
        let mut fleet = Fleet::new(count, domains);
        fleet.run(2_000);
        let before = fleet.platform.calls;
        fleet.run(60_000);
        let calls = fleet.platform.calls - before;
        assert!(calls <= 60, "{calls} calls by {count} instances in a minute");
        assert!(fleet.oldest() < STALENESS_MAX);
    }
}

#[test]
fn change_reaches_all_instances() {
    let mut fleet = Fleet::new(9, 3);
    fleet.run(1_000);
    fleet.platform.publish(put(1, false));
    fleet.run(1_200);
    for number in 0..9 {
        assert!(fleet.is_current(number), "instance {number}");
    }
}

/// A change of 60 KB, such as a configuration with many new routes, reaches all
/// instances, and no instance sends more than a few copies.
#[test]
fn large_change_is_sent_few_times_per_instance() {
    let mut fleet = Fleet::new(104, 4);
    fleet.run(3_000);
    fleet.sent.clear();
    for number in 0..500 {
        fleet.platform.publish(put(number, false));
    }
    fleet.run(1_500);
    for number in 0..104 {
        assert!(fleet.is_current(number), "instance {number}");
    }
    let change = 500 * 60;
    let most = fleet.sent.values().max().expect("something was sent");
    // Three relays and two children, and a margin for small messages.
    assert!(*most <= change * 7, "{most} bytes by one instance");
}

/// Instances that join read the platform themselves. The others know that state,
/// so it is not pushed.
#[test]
fn joining_instances_push_nothing() {
    let mut fleet = Fleet::new(52, 4);
    for number in 0..500 {
        fleet.platform.publish(put(number, false));
    }
    fleet.run(4_000);
    fleet.sent.clear();
    for number in 30..46 {
        fleet.restart(number);
    }
    fleet.run(1_500);
    for number in 0..52 {
        assert!(fleet.is_current(number), "instance {number}");
    }
    let full = 500 * 60;
    let most = fleet.sent.values().max().expect("something was sent");
    assert!(*most <= full, "{most} bytes by one instance");
}

#[test]
fn crashed_reader_is_replaced() {
    let mut fleet = Fleet::new(9, 3);
    fleet.run(1_500);
    let reader = fleet.reader();
    fleet.hosts[reader].running = false;
    // No other instance has detected the crash yet.
    fleet.platform.publish(put(1, true));
    fleet.run(2_500);
    for number in (0..9).filter(|number| *number != reader) {
        assert!(fleet.is_current(number), "instance {number}");
    }
}

#[test]
fn reader_without_platform_is_replaced() {
    let mut fleet = Fleet::new(9, 3);
    fleet.run(1_500);
    let reader = fleet.reader();
    fleet.denied.insert(reader);
    for round in 0..20 {
        fleet.platform.publish(put(round, true));
        fleet.run(2_500);
        assert!(fleet.is_current(reader), "round {round}");
        assert!(fleet.oldest() < STALENESS_MAX);
    }
}

#[test]
fn unavailable_platform_gets_limited_calls() {
    let mut fleet = Fleet::new(90, 4);
    fleet.run(2_000);
    fleet.denied = (0..90).collect();
    let before = fleet.platform.calls;
    fleet.run(10_000);
    let calls = fleet.platform.calls - before;
    // Each instance may try once per second, and slightly more often at first.
    assert!(calls <= 90 * 13, "{calls} calls");
    fleet.denied.clear();
    fleet.platform.publish(put(1, false));
    fleet.run(1_800);
    for number in 0..90 {
        assert!(fleet.is_current(number), "instance {number}");
    }
}

#[test]
fn partitioned_domain_catches_up() {
    let mut fleet = Fleet::new(9, 3);
    fleet.platform.publish(put(1, false));
    fleet.run(1_500);
    fleet.partitioned.insert(1);
    fleet.update_topologies();
    fleet.platform.publish(Change::Removed(Key::Target(common::target(1))));
    fleet.platform.publish(put(2, false));
    fleet.run(5_000);
    assert!(!fleet.is_current(1));
    fleet.partitioned.clear();
    fleet.run(1_500);
    for number in 0..9 {
        assert!(fleet.is_current(number), "instance {number}");
    }
}

#[test]
fn restarted_instance_pulls_from_peers() {
    let mut fleet = Fleet::new(9, 3);
    fleet.platform.publish(put(1, false));
    fleet.run(1_500);
    fleet.denied = (0..9).collect();
    fleet.restart(4);
    fleet.run(300);
    assert!(fleet.is_current(4), "peers answer while the platform is down");
}

/// Of configurations published in quick succession, only the latest one is
/// forwarded.
#[test]
fn configuration_burst_is_sent_once() {
    let mut fleet = Fleet::new(104, 4);
    for number in 0..100 {
        fleet.platform.publish(put(number, false));
    }
    fleet.run(3_000);
    let baseline = most_sent(&mut fleet, 0);
    let once = most_sent(&mut fleet, 1) - baseline;
    let often = most_sent(&mut fleet, 50) - baseline;
    assert!(often <= once * 3, "{often} bytes for 50 configurations, {once} for one");
}

/// Instances that were partitioned away during a burst of configurations get only
/// the latest one.
#[test]
fn partitioned_domain_gets_latest_configuration() {
    let mut fleet = Fleet::new(9, 3);
    fleet.run(3_000);
    let once = most_sent(&mut fleet, 1);
    fleet.partitioned.insert(2);
    for _ in 0..50 {
        fleet.publish_next_configuration(50);
        fleet.run(100);
    }
    fleet.partitioned.clear();
    let after = most_sent(&mut fleet, 0);
    assert!(after <= once * 5, "{after} bytes for 50 configurations, {once} for one");
}

/// Returns the most bytes that one instance sends in the 2 s after `count`
/// configurations.
fn most_sent(fleet: &mut Fleet, count: u64) -> usize {
    fleet.sent.clear();
    for _ in 0..count {
        fleet.publish_next_configuration(50);
    }
    fleet.run(2_000);
    fleet.sent.values().max().copied().unwrap_or_default()
}

/// Targets that warm up register again with every heartbeat, which is not
/// forwarded.
#[test]
fn warm_up_registrations_are_not_forwarded() {
    const COLD_MILLIS: u64 = 9_000;
    let mut fleet = Fleet::new(9, 3);
    for number in 0..50 {
        fleet.platform.publish(put_cold(number, COLD_MILLIS));
    }
    for elapsed in (0..5_000).step_by(10) {
        if elapsed == 3_000 {
            fleet.sent.clear();
        }
        for number in 0..50 {
            if (elapsed + 130 * number) % 800 == 0 {
                fleet.platform.publish(put_cold(number, COLD_MILLIS - elapsed));
            }
        }
        fleet.run(10);
    }
    let warming = fleet.sent.values().max().copied().unwrap_or_default();
    let baseline = most_sent(&mut fleet, 0);
    assert!(warming <= baseline * 2, "{warming} bytes, {baseline} while nothing changes");
}

/// A registration with a longer cold time than before is forwarded.
#[test]
fn cold_again_target_is_forwarded() {
    let mut fleet = Fleet::new(9, 3);
    fleet.platform.publish(put_cold(1, 500));
    fleet.run(3_000);
    fleet.platform.publish(put_cold(1, 6_000));
    fleet.run(1_500);
    for host in &fleet.hosts {
        assert_eq!(host.changes.last(), Some(&put_cold(1, 6_000)));
    }
}

/// A failure domain that is cut off from the platform: a few instances look for it often
/// enough that changes are in force in time once the cut ends.
#[test]
fn partitioned_domain_makes_limited_calls() {
    let mut fleet = Fleet::new(118, 2);
    fleet.run(5_000);
    fleet.partitioned.insert(1);
    fleet.update_topologies();
    fleet.run(5_000);
    let before = fleet.platform.calls;
    fleet.run(10_000);
    let calls = fleet.platform.calls - before;
    // Three instances each second, the others every three.
    assert!(calls <= 10 + 3 * 10 + 56 * 10 / 3, "{calls} calls by 59 instances in 10 s");
    fleet.platform.publish(put(1, false));
    fleet.partitioned.clear();
    fleet.update_topologies();
    fleet.run(1_800);
    for number in 0..118 {
        assert!(fleet.is_current(number), "instance {number}");
    }
}

/// Instances that start at once do not know each other at first. Each of them would
/// take itself for the reader.
#[test]
fn starting_fleet_makes_limited_calls() {
    let mut fleet = Fleet::new(60, 3);
    fleet.run(5_000);
    for number in 0..60 {
        fleet.restart(number);
    }
    for number in 0..60 {
        fleet.handle_event(number, Event::Topology(Topology::default()));
    }
    let before = fleet.platform.calls;
    fleet.run(2_200);
    let calls = fleet.platform.calls - before;
    assert!(calls <= 60, "{calls} calls by 60 instances that start");
    fleet.update_topologies();
    fleet.run(1_000);
    assert!(fleet.oldest() < STALENESS_MAX);
}

/// The platform drops its history while all instances are behind. A few of them read
/// the whole state and push it.
#[test]
fn lost_history_is_read_by_few_instances() {
    let mut fleet = Fleet::new(118, 2);
    for number in 0..50 {
        fleet.platform.publish(put(number, false));
    }
    fleet.run(5_000);
    fleet.denied = (0..118).collect();
    fleet.run(2_600);
    for number in 50..60 {
        fleet.platform.publish(put(number, false));
    }
    fleet.platform.compacted = fleet.platform.number;
    fleet.denied.clear();
    fleet.platform.full_reads = 0;
    fleet.run(4_000);
    for number in 0..118 {
        assert!(fleet.is_current(number), "instance {number}");
    }
    assert!(fleet.platform.full_reads <= 12, "{} full reads", fleet.platform.full_reads);
}

/// All instances notice at about the same time that the platform is away.
#[test]
fn outage_causes_few_calls_by_each_instance() {
    let mut fleet = Fleet::new(118, 2);
    fleet.run(5_000);
    fleet.denied = (0..118).collect();
    let before = fleet.platform.calls;
    fleet.run(6_000);
    let calls = fleet.platform.calls - before;
    // Six instances try each second and more often at first, the others at most thrice.
    assert!(calls <= 6 * 9 + 112 * 3, "{calls} calls in 6 s");
}
