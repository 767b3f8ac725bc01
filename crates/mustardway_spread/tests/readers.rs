//! All instances with the same live list choose the same readers.

mod common;

use common::id;
use mustardway_spread::readers;
use mustardway_types::instance;

#[test]
fn order_does_not_matter() {
    let ids: Vec<instance::Id> = (0..50).map(id).collect();
    let reversed: Vec<instance::Id> = ids.iter().rev().cloned().collect();
    assert_eq!(readers::rank(&ids, 2), readers::rank(&reversed, 2));
}

#[test]
fn fewer_live_than_readers() {
    let ids = [id(3)];
    assert_eq!(readers::rank(&ids, 2), [id(3)]);
    assert!(readers::rank(&[], 2).is_empty());
}

#[test]
fn lost_reader_is_replaced_by_next() {
    let ids: Vec<instance::Id> = (0..50).map(id).collect();
    let before = readers::rank(&ids, 3);
    let rest: Vec<instance::Id> = ids.into_iter().filter(|id| *id != before[0]).collect();
    assert_eq!(readers::rank(&rest, 2), before[1..]);
}
