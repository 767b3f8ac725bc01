//! All instances together keep to the flow rate of a cold target.

mod common;

use common::{HOME, Harness, configuration, forwarded_to, id, opening, put, registration};
use mustardway_flow::front::{Event, Front};
use mustardway_flow::slow_start;
use mustardway_types::instance;
use mustardway_types::time::Span;

fn instances(count: usize) -> Vec<instance::Id> {
    (0..count).map(|number| format!("i-{number}").parse().expect("well formed")).collect()
}

#[test]
fn rate_shares_add_up_to_the_limit() {
    for rate in [1, 3, 5, 8, 12, 40, 200] {
        for count in [1, 2, 3, 7, 90] {
            let known = instances(count);
            let shares = known.iter().map(|me| slow_start::rate_share(me, &known, &id(1), rate));
            let total: f64 = shares.sum();
            assert!(
                (total - f64::from(rate)).abs() < 1e-6,
                "rate {rate} over {count} instances: total {total}"
            );
        }
    }
}

#[test]
fn three_senders_differ_by_target() {
    let known = instances(9);
    let senders = |id_of: u64| -> Vec<bool> {
        known.iter().map(|me| slow_start::rate_share(me, &known, &id(id_of), 40) > 0.0).collect()
    };
    assert_eq!(senders(1).iter().filter(|is| **is).count(), 3);
    assert_ne!(senders(1), senders(2), "other targets have other senders");
}

/// A cold target accepts 10 flows per second. Nine instances are asked for as many
/// flows as they can place. If each kept only its own limit, the target would be
/// overloaded.
#[test]
fn cold_rate_holds_over_all_instances() {
    let known = instances(9);
    let mut harnesses = Vec::new();
    for me in &known {
        let mut harness = Harness::empty(7);
        let home = HOME.parse().expect("well formed");
        harness.front = Front::new(me.clone(), home, 7);
        let mut limited = configuration(1);
        limited.services[0].cold_rate = Some(10);
        harness.configure(limited);
        let mut cold = registration(1, "orders", HOME);
        cold.cold = Span::seconds(4);
        harness.publish(put(cold));
        let neighbours = vec![me.clone()];
        harness.handle(Event::Peers { known: known.clone(), neighbours, relays: Vec::new() });
        harnesses.push(harness);
    }
    let mut arrivals = Vec::new();
    for step in 0u16..300 {
        for (index, harness) in harnesses.iter_mut().enumerate() {
            let from = step * 9 + u16::try_from(index).expect("the index fits in 16 bits");
            if forwarded_to(harness.send(&opening(from, 1, 0))).is_some() {
                arrivals.push(step);
            }
            harness.advance(10);
        }
    }
    // The stated bound: in any second, at most 1.5 times the rate, plus 5.
    for first in 0..200 {
        let within = arrivals.iter().filter(|step| (first..first + 100).contains(*step)).count();
        assert!(within <= 20, "{within} flows in the second from step {first}");
    }
    assert!(arrivals.len() >= 25, "{} flows in 3 s at 10 per second", arrivals.len());
}
