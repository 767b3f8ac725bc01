//! The digest differs between folders with different files, and depends only on names and contents.

use mustardway_types::revision;
use mustardway_view::folder;

use crate::sample::{BASE, files};

#[test]
fn insertion_order_does_not_matter() {
    let forward = files(&[("a.ini", "1"), ("b.ini", "2")]);
    let backward = files(&[("b.ini", "2"), ("a.ini", "1")]);
    assert_eq!(forward.digest(), backward.digest());
}

#[test]
fn boundaries_between_names_and_contents_count() {
    let folders = [
        files(&[("a.ini", "bc")]),
        files(&[("a.inib", "c")]),
        files(&[("a.ini", "b"), ("c", "")]),
        files(&[("a.ini", ""), ("bc", "")]),
        files(&[("a.ini", "bc\n")]),
        files(&[]),
        files(&[("", "")]),
    ];
    for (index, left) in folders.iter().enumerate() {
        for right in &folders[index + 1..] {
            assert_ne!(left.digest(), right.digest());
        }
    }
}

#[test]
fn view_has_the_digest_of_its_files() {
    let files = files(&[("10.ini", BASE)]);
    let view = folder::parse(revision::Number(1), &files).unwrap();
    assert_eq!(view.digest, files.digest());
}

/// Instances of different builds compare digests, so the digest function must not change.
#[test]
fn value_is_fixed() {
    let files = files(&[("a.ini", "x = 1"), ("b.ini", "")]);
    assert_eq!(files.digest().to_string(), "476eddc1923206b1");
}
