//! An instance that can place less than half of the demand is not ready.

mod common;

use common::{AWAY, HOME, Host, put, registration};
use mustardway_flow::health::Outcome;
use mustardway_mirror::publication::{Change, Item, Key};

/// A host whose callers ask for `orders` and `files` in these numbers.
fn asked(orders: u16, files: u16) -> Host {
    let mut host = Host::new(1, 1);
    host.publish(put(registration(9, "files", AWAY)));
    for from in 0..orders {
        host.open(from, 1);
    }
    for from in 0..files {
        host.open(1_000 + from, 3);
    }
    host
}

fn lose(host: &mut Host, number: u64) {
    host.lose(number, Outcome::Silent);
}

#[test]
fn unconfigured_is_not_ready() {
    assert!(!Host::empty(1).front.is_ready());
}

#[test]
fn quiet_instance_is_ready() {
    let mut host = Host::new(0, 0);
    host.wait(50);
    assert!(host.front.is_ready());
}

#[test]
fn lost_minor_service_stays_ready() {
    let mut host = asked(10, 5);
    lose(&mut host, 9);
    host.wait(50);
    assert!(host.front.is_ready());
}

#[test]
fn lost_major_service_is_not_ready() {
    let mut host = asked(5, 10);
    lose(&mut host, 9);
    host.wait(50);
    assert!(!host.front.is_ready());
}

#[test]
fn cut_and_evacuated_is_not_ready() {
    let mut host = asked(10, 0);
    let home: mustardway_types::domain::Name = HOME.parse().expect("well formed");
    host.publish(Change::Put(Item::Evacuated(home.clone())));
    host.wait(50);
    assert!(host.front.is_ready(), "the other failure domain serves");
    lose(&mut host, 2);
    host.wait(50);
    assert!(!host.front.is_ready());
    host.wait(10_000);
    assert!(!host.front.is_ready(), "demand that went elsewhere is remembered");
    host.publish(Change::Removed(Key::Evacuated(home)));
    host.wait(50);
    assert!(host.front.is_ready());
}
