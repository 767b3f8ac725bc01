//! Each sample counts once in the rates, whatever happens to the tree.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Fleet, route};
use mustardway_types::time::Span;

/// Returns the mean and the greatest relative deviation of the rate that the root of a
/// failure domain knows, over 10 s.
fn deviations(fleet: &mut Fleet, domain: usize, expected: f64) -> (f64, f64) {
    let mut sum = 0.0;
    let mut greatest = 0.0_f64;
    for _ in 0..100 {
        fleet.run(Span::millis(100));
        let deviation = fleet.requests_known(fleet.root(domain)) / expected - 1.0;
        sum += deviation;
        greatest = greatest.max(deviation.abs());
    }
    (sum / 100.0, greatest)
}

/// Guards against samples that are counted twice or not at all on their way to the roots,
/// and against a bias from sums that arrive in batches.
#[test]
fn steady_rate_is_known_within_five_per_cent() {
    for (instances, domains) in [(1, 1), (2, 1), (3, 3), (30, 3), (100, 5)] {
        let mut fleet = Fleet::new(instances, domains, 40);
        fleet.run(Span::seconds(10));
        let expected = fleet.requests_expected();
        for domain in 0..domains {
            let (mean, greatest) = deviations(&mut fleet, domain, expected);
            println!("{instances} in {domains}: mean {mean:.3}, greatest {greatest:.3}");
            assert!(mean.abs() <= 0.05, "{instances} instances: mean deviation {mean:.3}");
            assert!(greatest <= 0.05, "{instances} instances: greatest deviation {greatest:.3}");
        }
    }
}

/// Guards against rates that drop when the root changes: admission would take the service
/// for one with spare capacity.
#[test]
fn rate_is_kept_when_a_root_is_lost() {
    let mut fleet = Fleet::new(30, 3, 40);
    fleet.run(Span::seconds(10));
    let root = fleet.root(0);
    fleet.members[root].is_up = false;
    fleet.run(Span::millis(1_500));
    fleet.update_topologies();
    let expected = fleet.requests_expected();
    for _ in 0..50 {
        fleet.run(Span::millis(100));
        for domain in 0..3 {
            let known = fleet.requests_known(fleet.root(domain));
            // A domain that was without a root is missing for up to 1.5 s.
            assert!(known > 0.6 * expected, "{known} of {expected} in domain {domain}");
            assert!(known < 1.3 * expected, "{known} of {expected} in domain {domain}");
        }
    }
}

/// Guards against sums that are sent again after a failure domain has come back.
#[test]
fn nothing_is_counted_twice_after_a_domain_comes_back() {
    let mut fleet = Fleet::new(30, 3, 200);
    fleet.run(Span::seconds(10));
    let expected = fleet.requests_expected();
    fleet.cut = Some(1);
    fleet.run(Span::seconds(1));
    fleet.update_topologies();
    fleet.run(Span::seconds(10));
    let (mean, _) = deviations(&mut fleet, 1, expected / 3.0);
    assert!(mean.abs() <= 0.05, "deviation {mean:.3} of the domain that is cut off");
    let (mean, _) = deviations(&mut fleet, 0, expected * 2.0 / 3.0);
    assert!(mean.abs() <= 0.05, "deviation {mean:.3} of the rest");
    fleet.cut = None;
    fleet.update_topologies();
    for _ in 0..100 {
        fleet.run(Span::millis(100));
        for domain in 0..3 {
            let known = fleet.requests_known(fleet.root(domain));
            assert!(known <= 1.15 * expected, "{known} of {expected} in domain {domain}");
        }
    }
    let (mean, _) = deviations(&mut fleet, 0, expected);
    assert!(mean.abs() <= 0.05, "deviation {mean:.3} after healing");
}

/// Guards against messages that go in circles between instances whose lists of live
/// instances differ, and against samples that are counted twice there.
#[test]
fn different_lists_of_live_instances_cause_no_loop() {
    let mut fleet = Fleet::new(12, 2, 40);
    fleet.run(Span::seconds(10));
    for index in 0..12 {
        let unknown: BTreeSet<usize> = [(index * 5 + 1) % 12, (index * 7 + 2) % 12].into();
        fleet.update_topology(index, &unknown);
    }
    let sent = |fleet: &Fleet| fleet.members.iter().map(|member| member.node.counts().sent).sum();
    let before: u64 = sent(&fleet);
    for _ in 0..100 {
        fleet.run(Span::millis(100));
        assert!(fleet.messages_in_flight() <= 200);
        let expected = fleet.requests_expected();
        for index in 0..12 {
            let known = fleet.requests_known(index);
            assert!(known <= 1.15 * expected, "{known} of {expected} at {index}");
        }
    }
    // Each instance sends a report to at most two roots or a parent, and each summary
    // reaches an instance at most once from each root.
    let messages: u64 = sent(&fleet) - before;
    assert!(messages <= 12 * 20 * 6, "{messages} messages");
}

/// Guards against open flows that are counted at two places after the root has changed.
#[test]
fn open_flows_count_once() {
    let mut fleet = Fleet::new(30, 3, 40);
    for member in &mut fleet.members {
        member.node.set_flows(BTreeMap::from([(route(), 10)]));
    }
    fleet.run(Span::seconds(5));
    let flows = |fleet: &Fleet, index: usize| {
        fleet.members[index].node.view().route(route()).map_or(0.0, |load| load.flows)
    };
    for index in 0..30 {
        assert_eq!(flows(&fleet, index), 300.0);
    }
    let root = fleet.root(0);
    fleet.members[root].is_up = false;
    fleet.update_topologies();
    for _ in 0..50 {
        fleet.run(Span::millis(100));
        for domain in 0..3 {
            let known = flows(&fleet, fleet.root(domain));
            assert!(known <= 400.0, "{known} flows known in domain {domain}");
        }
    }
    assert_eq!(flows(&fleet, fleet.root(0)), 290.0);
}

/// Guards against a slow burst: what has ended counts no more after a second.
#[test]
fn burst_is_forgotten_within_two_seconds() {
    let mut fleet = Fleet::new(30, 3, 40);
    fleet.run(Span::seconds(10));
    let before = fleet.requests_expected();
    fleet.rate *= 3.0;
    fleet.run(Span::seconds(5));
    fleet.rate /= 3.0;
    fleet.run(Span::seconds(2));
    for index in 0..30 {
        let known = fleet.requests_known(index);
        assert!(known <= 1.5 * before, "{known} instead of {before} at {index}");
    }
}
