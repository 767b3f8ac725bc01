//! Targets whose identifiers have equal token hashes are told apart: each flow stays at
//! its own target.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::OnceLock;

use common::{HOME, Harness, acknowledgement, forwarded_to, id, opening, put, registration};
use mustardway_flow::front::{Event, Verdict};
use mustardway_flow::packet::Packet;
use mustardway_flow::token::Token;
use mustardway_mirror::departed::RETENTION;
use mustardway_mirror::publication::{Change, Departure, Key, Registration};
use mustardway_types::target;
use mustardway_types::time::Span;

/// Directory keys of the two targets.
const OLD: u64 = 10;
const ADDED: u64 = 11;

/// Returns two identifiers with the same token hash, the lesser one first.
fn equal_ids() -> &'static (target::Id, target::Id) {
    static IDS: OnceLock<(target::Id, target::Id)> = OnceLock::new();
    IDS.get_or_init(|| {
        let mut seen = BTreeMap::new();
        for number in 0u64.. {
            let name = id(number);
            // Tokens that differ in the mark of ambiguous flows alone are equal, too.
            let token = Token::of(&name).min(Token::of(&name).ambiguous());
            let Some(other) = seen.insert(token, name.clone()) else { continue };
            return (other.clone().min(name.clone()), other.max(name));
        }
        unreachable!("32 bits collide long before the numbers end")
    })
}

/// Returns the registrations of the old and of the added target. The added one has the
/// lesser identifier if `is_lesser`.
fn pair(is_lesser: bool, service: &str) -> (Registration, Registration) {
    let (lesser, greater) = equal_ids();
    let (old, added) = if is_lesser { (greater, lesser) } else { (lesser, greater) };
    let old = Registration {
        id: old.clone(),
        key: OLD,
        born: Some(5),
        ..registration(10, "orders", HOME)
    };
    let added = Registration {
        id: added.clone(),
        key: ADDED,
        born: Some(9),
        ..registration(11, service, HOME)
    };
    (old, added)
}

/// Opens a flow and returns the caller's next packet, with the token that the target got.
fn open(harness: &mut Harness, from: u16, route: u8) -> (u64, Packet) {
    let Verdict::Forward { key, token, .. } = harness.send(&opening(from, route, 0)) else {
        panic!("the flow is placed");
    };
    let packet = Packet { token, ..acknowledgement(from, route, 1) };
    assert_eq!(forwarded_to(harness.send(&packet)), Some(key));
    (key, packet)
}

/// Creates an instance that has just started and reads `registrations`.
fn started(registrations: &[Registration]) -> Harness {
    let mut harness = Harness::new(0, 0);
    for registration in registrations {
        harness.publish(put(registration.clone()));
    }
    harness
}

/// Guards against flows that are reset by an added target with the token of their own:
/// an instance that has not seen the flow sent its packets to the lesser identifier.
#[test]
fn added_target_gets_no_flows_of_another() {
    for is_lesser in [true, false] {
        let (old, added) = pair(is_lesser, "orders");
        let mut harness = started(std::slice::from_ref(&old));
        let (_, packet) = open(&mut harness, 1, 1);
        harness.publish(put(added.clone()));
        for order in [[&old, &added], [&added, &old]] {
            let mut restarted = started(&order.map(Clone::clone));
            assert_eq!(forwarded_to(restarted.send(&packet)), Some(OLD), "{is_lesser}");
        }
        let other_caller = Packet { source: common::caller(2), ..packet };
        assert_eq!(forwarded_to(harness.send(&other_caller)), Some(OLD), "{is_lesser}");
    }
}

/// Both targets get flows, and every instance knows which flow is at which target.
#[test]
fn both_targets_get_flows() {
    for is_lesser in [true, false] {
        let (old, added) = pair(is_lesser, "orders");
        let mut harness = started(&[old.clone(), added.clone()]);
        let mut restarted = started(&[added, old]);
        let mut used = BTreeSet::new();
        for from in 0..60 {
            let (key, packet) = open(&mut harness, from, 1);
            used.insert(key);
            assert_eq!(forwarded_to(restarted.send(&packet)), Some(key));
        }
        assert_eq!(used, BTreeSet::from([OLD, ADDED]));
    }
}

/// The only target of a service has the token of a target of another service.
#[test]
fn other_service_is_served() {
    for is_lesser in [true, false] {
        let (old, added) = pair(is_lesser, "files");
        let mut harness = started(&[old.clone(), added.clone()]);
        let mut restarted = started(&[added, old]);
        for (route, target) in [(1, OLD), (3, ADDED)] {
            let (key, packet) = open(&mut harness, 1, route);
            assert_eq!(key, target);
            assert_eq!(forwarded_to(restarted.send(&packet)), Some(target));
        }
    }
}

/// An instance that started after the old target had left knows the added one alone, and
/// uses another token for it than instances that know both.
#[test]
fn left_target_is_known_to_some_instances() {
    for is_lesser in [true, false] {
        let (old, added) = pair(is_lesser, "orders");
        let mut harness = started(&[old.clone(), added.clone()]);
        let mut from = 1;
        let of_added = loop {
            let (key, packet) = open(&mut harness, from, 1);
            from += 1;
            if key == ADDED {
                break packet;
            }
        };
        harness.publish(Change::Removed(Key::Target(old.id.clone())));
        harness.advance(3_000);
        let mut restarted = started(std::slice::from_ref(&added));
        assert_eq!(forwarded_to(restarted.send(&of_added)), Some(ADDED));
        let (_, of_restarted) = open(&mut restarted, 200, 1);
        assert_eq!(forwarded_to(harness.send(&of_restarted)), Some(ADDED));
        let departure = Departure { registration: old.clone(), age: Span::seconds(4) };
        restarted.handle(Event::Departed(vec![departure]));
        for packet in [of_added, of_restarted] {
            let unseen = Packet { source: common::caller(300), ..packet };
            assert_eq!(forwarded_to(restarted.send(&unseen)), Some(ADDED));
        }
        // The old target is forgotten, and flows of the added one are still known.
        harness.advance(RETENTION.as_millis() + 1_000);
        harness.advance(1_000);
        let unseen = Packet { source: common::caller(301), ..of_added };
        assert_eq!(forwarded_to(harness.send(&unseen)), Some(ADDED));
    }
}

/// Registrations that expire while the platform is unavailable come back.
#[test]
fn expired_registration_keeps_the_token() {
    for is_lesser in [true, false] {
        let (old, added) = pair(is_lesser, "orders");
        let mut harness = started(std::slice::from_ref(&old));
        let (_, packet) = open(&mut harness, 1, 1);
        let mut other = started(&[old.clone(), added]);
        let unseen = |from| Packet { source: common::caller(from), ..packet };
        other.publish(Change::Removed(Key::Target(old.id.clone())));
        assert_eq!(forwarded_to(other.send(&unseen(2))), Some(OLD));
        other.advance(2_000);
        assert_eq!(forwarded_to(other.send(&unseen(3))), Some(OLD));
        other.publish(put(old));
        assert_eq!(forwarded_to(other.send(&unseen(4))), Some(OLD));
    }
}

/// A process that starts again under its identifier holds no flows of before.
#[test]
fn restarted_target_leaves_the_token() {
    for is_lesser in [true, false] {
        let (old, added) = pair(is_lesser, "orders");
        let mut harness = started(&[old.clone(), added.clone()]);
        let again = Registration { born: Some(20), ..old };
        harness.publish(put(again.clone()));
        let mut restarted = started(&[again, added]);
        for from in 0..40 {
            let (key, packet) = open(&mut harness, from, 1);
            assert_eq!(forwarded_to(restarted.send(&packet)), Some(key));
        }
    }
}
