//! A target that is cold once more, as after an evacuation of its failure domain, becomes
//! known to all instances.

mod common;

use common::{Fleet, put_cold};
use mustardway_mirror::publication::{Change, Item};
use mustardway_types::time::Span;

/// Time between two registrations of a target.
const HEARTBEAT_MILLIS: u64 = 800;
/// Cold time of a target that has just started.
const COLD_MILLIS: u64 = 3_000;

/// Lets target 1 register with every heartbeat for `millis`, with `cold` milliseconds of
/// cold time at first.
fn run_heartbeats(fleet: &mut Fleet, cold: u64, millis: u64) {
    let mut elapsed = 0;
    while elapsed < millis {
        fleet.platform.publish(put_cold(1, cold.saturating_sub(elapsed)));
        let step = HEARTBEAT_MILLIS.min(millis - elapsed);
        fleet.run(step);
        elapsed += step;
    }
}

/// Returns the cold time that an instance was told last.
fn last_cold(fleet: &Fleet, number: usize) -> Option<Span> {
    let changes = fleet.hosts[number].changes.iter().rev();
    let mut colds = changes.filter_map(|change| match change {
        Change::Put(Item::Target(registration)) => Some(registration.cold),
        _ => None,
    });
    colds.next()
}

/// Returns the number of times that each instance was told that the target is cold.
fn times_told(fleet: &Fleet) -> Vec<usize> {
    let is_cold =
        |change: &&Change| matches!(change, Change::Put(Item::Target(it)) if it.cold > Span::ZERO);
    let running = fleet.hosts.iter().filter(|host| host.running);
    running.map(|host| host.changes.iter().filter(is_cold).count()).collect()
}

/// Guards against too many requests to targets that are cold again after an evacuation:
/// the peers of the reading instance took them for warm.
#[test]
fn target_cold_again_is_known_everywhere() {
    for cold in [COLD_MILLIS, 2_300, 900, 400] {
        for (count, domains) in [(4, 2), (9, 3), (40, 4)] {
            let mut fleet = Fleet::new(count, domains);
            fleet.run(2_000);
            run_heartbeats(&mut fleet, COLD_MILLIS, 8_000);
            let before = times_told(&fleet);
            run_heartbeats(&mut fleet, cold, 1_600);
            for (number, before) in before.into_iter().enumerate() {
                assert_eq!(
                    times_told(&fleet)[number],
                    before + 1,
                    "{cold} ms, {number} of {count}"
                );
                assert_eq!(last_cold(&fleet, number), Some(Span::millis(cold)));
            }
        }
    }
}

/// The target is cold for the whole time again before the first one has ended.
#[test]
fn warm_up_begins_again() {
    let mut fleet = Fleet::new(9, 3);
    fleet.run(2_000);
    run_heartbeats(&mut fleet, COLD_MILLIS, 2_400);
    run_heartbeats(&mut fleet, COLD_MILLIS, 1_600);
    assert!(times_told(&fleet).iter().all(|times| *times == 2), "{:?}", times_told(&fleet));
}

/// An instance that begins to read knows only what was forwarded.
#[test]
fn next_reader_notices_a_target_cold_again() {
    for millis in [1_600, 4_000, 8_000] {
        let mut fleet = Fleet::new(9, 3);
        fleet.run(2_000);
        run_heartbeats(&mut fleet, COLD_MILLIS, millis);
        let reader = fleet.reader();
        fleet.hosts[reader].running = false;
        fleet.update_topologies();
        run_heartbeats(&mut fleet, COLD_MILLIS, 3_000);
        for (number, host) in fleet.hosts.iter().enumerate() {
            let is_told = last_cold(&fleet, number) >= Some(Span::millis(1_400));
            assert!(!host.running || is_told, "{number} after {millis} ms");
        }
        assert!(times_told(&fleet).iter().all(|times| *times >= 2), "{:?}", times_told(&fleet));
    }
}

/// An instance that starts while the platform does not answer learns from a peer for how
/// long a target is still cold.
#[test]
fn peer_tells_the_rest_of_the_cold_time() {
    for (elapsed, rest) in [(2_000, COLD_MILLIS - 2_000), (5_000, 0)] {
        let mut fleet = Fleet::new(4, 2);
        fleet.run(2_000);
        fleet.platform.publish(put_cold(1, COLD_MILLIS));
        fleet.run(elapsed);
        fleet.denied.extend(0..4);
        let number = (fleet.reader() + 1) % 4;
        fleet.restart(number);
        fleet.run(1_000);
        let told = last_cold(&fleet, number).expect("the target is known");
        // An instance reads and forwards within 1.5 s what is published.
        assert!(told <= Span::millis(rest + 1_500), "{told} after {elapsed} ms");
        assert!(told >= Span::millis(rest.saturating_sub(1_000)), "{told} after {elapsed} ms");
    }
}
