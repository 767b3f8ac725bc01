//! The digest tells any two folders apart and depends on nothing else.

use mustardway_types::revision;
use mustardway_view::folder;

use crate::sample::{BASE, files};

#[test]
fn order_of_insertion() {
    let forth = files(&[("a.ini", "1"), ("b.ini", "2")]);
    let back = files(&[("b.ini", "2"), ("a.ini", "1")]);
    assert_eq!(forth.digest(), back.digest());
}

#[test]
fn borders_counted() {
    let folders = [
        files(&[("a.ini", "bc")]),
        files(&[("a.inib", "c")]),
        files(&[("a.ini", "b"), ("c", "")]),
        files(&[("a.ini", ""), ("bc", "")]),
        files(&[("a.ini", "bc\n")]),
        files(&[]),
        files(&[("", "")]),
    ];
    for (index, one) in folders.iter().enumerate() {
        for other in &folders[index + 1..] {
            assert_ne!(one.digest(), other.digest());
        }
    }
}

#[test]
fn part_of_view() {
    let files = files(&[("10.ini", BASE)]);
    let view = folder::parse(revision::Number(1), &files).unwrap();
    assert_eq!(view.digest, files.digest());
}

/// Instances of different builds compare digests, so the function may not change.
#[test]
fn fixed_value() {
    let files = files(&[("a.ini", "x = 1"), ("b.ini", "")]);
    assert_eq!(files.digest().to_string(), "476eddc1923206b1");
}
