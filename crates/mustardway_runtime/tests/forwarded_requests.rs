//! Tests of the table of forwarded requests.
//!
//! The next owner must learn which once-only requests a lost owner may have run, and the table must
//! not grow without bound.

#![allow(clippy::unwrap_used)]

use mustardway_gate::Key;
use mustardway_runtime::forwarded::Table;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{flow, request, target};

fn key(number: u64) -> Key {
    Key { flow: flow::Id(number), request: request::Id(1), part: 0 }
}

fn target(name: &str) -> target::Id {
    name.parse().unwrap()
}

#[test]
fn grouped_by_target() {
    let mut table = Table::default();
    let now = Instant(1_000_000);
    table.insert(target("a"), key(1), now);
    table.insert(target("b"), key(2), now);
    table.insert(target("a"), key(3), now);
    let found = table.by_target(|id| *id == target("a"));
    assert_eq!(found.len(), 1);
    assert_eq!(found[&target("a")], [key(1), key(3)]);
}

#[test]
fn requests_expire_after_a_minute() {
    let mut table = Table::default();
    let now = Instant(1_000_000);
    table.insert(target("a"), key(1), now);
    table.expire(now + Span::seconds(60));
    assert_eq!(table.len(), 1);
    table.expire(now + Span::seconds(61));
    assert!(table.is_empty());
}

#[test]
fn full_table_drops_the_oldest() {
    let mut table = Table::default();
    for number in 0..100_100 {
        table.insert(target("a"), key(number), Instant(1));
    }
    assert_eq!(table.len(), 100_000);
    let found = table.by_target(|_| true);
    assert!(!found[&target("a")].contains(&key(0)));
}
