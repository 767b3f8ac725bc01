//! The table from reason to answer is whole and in order.

use mustardway_types::answer::{Kind, Reason, TABLE};

#[test]
fn each_reason_once() {
    for (index, (reason, kind)) in TABLE.iter().enumerate() {
        assert_eq!(*reason as usize, index);
        assert_eq!(reason.kind(), *kind);
    }
}

#[test]
fn last_reason_listed() {
    assert_eq!(Reason::TooLarge as usize + 1, TABLE.len());
}

#[test]
fn unknown_never_claims() {
    assert!(!Kind::Unknown.says_not_run());
    assert!(!Kind::Done.says_not_run());
}
