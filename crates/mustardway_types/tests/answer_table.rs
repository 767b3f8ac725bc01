//! The table from reason to answer is complete and in order.

use mustardway_types::answer::{Kind, Reason, TABLE};

#[test]
fn table_is_in_order_of_reasons() {
    for (index, (reason, kind)) in TABLE.iter().enumerate() {
        assert_eq!(*reason as usize, index);
        assert_eq!(reason.kind(), *kind);
    }
}

#[test]
fn table_holds_last_reason() {
    assert_eq!(Reason::TooLarge as usize + 1, TABLE.len());
}

#[test]
fn unknown_and_done_do_not_say_not_run() {
    assert!(!Kind::Unknown.says_not_run());
    assert!(!Kind::Done.says_not_run());
}
