//! All instances together keep to what a cold target bears.

mod common;

use common::{HOME, Host, configuration, id, opening, put, registration, target_of};
use mustardway_flow::front::{Event, Front};
use mustardway_flow::slow_start;
use mustardway_types::instance;
use mustardway_types::time::Span;

fn instances(count: usize) -> Vec<instance::Id> {
    (0..count).map(|number| format!("i-{number}").parse().expect("well formed")).collect()
}

#[test]
fn shares_add_up() {
    for rate in [1, 3, 5, 8, 12, 40, 200] {
        for count in [1, 2, 3, 7, 90] {
            let known = instances(count);
            let shares = known.iter().map(|me| slow_start::rate_share(me, &known, &id(1), rate));
            let total: f64 = shares.sum();
            assert!((total - f64::from(rate)).abs() < 1e-6, "{rate} over {count}: {total}");
        }
    }
}

#[test]
fn split_fleet_keeps_names() {
    let known = instances(9);
    let sharers = |id_of: u64| -> Vec<bool> {
        known.iter().map(|me| slow_start::rate_share(me, &known, &id(id_of), 40) > 0.0).collect()
    };
    assert_eq!(sharers(1).iter().filter(|is| **is).count(), 3);
    assert_ne!(sharers(1), sharers(2), "other targets have other sharers");
}

/// Flows that a cold target with a rate of 10 a second gets within any second,
/// from 9 instances that are asked for as many as they like.
#[test]
fn bound_holds_under_load() {
    let known = instances(9);
    let mut hosts = Vec::new();
    for me in &known {
        let mut host = Host::empty(7);
        let home = HOME.parse().expect("well formed");
        host.front = Front::new(me.clone(), home, 7);
        let mut limited = configuration(1);
        limited.services[0].cold_rate = Some(10);
        host.configure(limited);
        let mut cold = registration(1, "orders", HOME);
        cold.cold = Span::seconds(4);
        host.publish(put(cold));
        host.tell(Event::Peers { known: known.clone(), domain_instances: 1 });
        hosts.push(host);
    }
    let mut arrivals = Vec::new();
    for step in 0u16..300 {
        for (index, host) in hosts.iter_mut().enumerate() {
            let from = step * 9 + u16::try_from(index).expect("small");
            if target_of(host.send(&opening(from, 1, 0))).is_some() {
                arrivals.push(step);
            }
            host.wait(10);
        }
    }
    // The stated bound: the rate times 1.5, and 5 more, in any second.
    for first in 0..200 {
        let within = arrivals.iter().filter(|step| (first..first + 100).contains(*step)).count();
        assert!(within <= 20, "{within} from step {first}");
    }
    assert!(arrivals.len() >= 25, "three seconds at ten a second: {}", arrivals.len());
}
