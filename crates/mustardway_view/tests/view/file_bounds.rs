//! Limits on the names, number, size and encoding of files.

use std::sync::Arc;

use mustardway_types::revision;
use mustardway_view::folder::{self, FILE_BYTES_MAX, FILES_MAX, Files};

use crate::sample::{BASE, files, problems};

/// Returns a file of `size` bytes: the base followed by a comment.
fn file(size: usize) -> Vec<u8> {
    let mut content = BASE.as_bytes().to_vec();
    content.resize(size, b'#');
    content
}

#[test]
fn largest_file_is_accepted() {
    let files: Files = [("10.ini", file(FILE_BYTES_MAX))].into_iter().collect();
    assert!(folder::parse(revision::Number(1), &files).is_ok());
}

#[test]
fn larger_file_is_rejected() {
    let files: Files = [("10.ini", file(FILE_BYTES_MAX + 1))].into_iter().collect();
    assert_eq!(problems(&files), ["10.ini: 1048577 bytes: allowed are at most 1048576"]);
}

#[test]
fn larger_folder_is_rejected() {
    let content: Arc<[u8]> = file(FILE_BYTES_MAX).into();
    let files: Files = (0..65).map(|index| (format!("{index}.ini"), content.clone())).collect();
    let wanted = "folder: 68157440 bytes in all files: allowed are at most 67108864";
    assert_eq!(problems(&files), [wanted]);
}

#[test]
fn too_many_files_are_rejected() {
    let names: Vec<String> = (0..=FILES_MAX).map(|index| format!("{index}.ini")).collect();
    let files: Files = names.iter().map(|name| (name, &b""[..])).collect();
    assert_eq!(problems(&files), ["folder: 1001 files: allowed are at most 1000"]);
}

#[test]
fn empty_folder_is_rejected() {
    let wanted = "folder: no files: at least one file ending in .ini is needed";
    assert_eq!(problems(&Files::new()), [wanted]);
}

#[test]
fn bad_file_names_are_rejected() {
    let long = "a".repeat(97) + ".ini";
    for name in ["", ".ini", "a.txt", "a/b.ini", "../a.ini", ".a.ini", "A.ini", "a b.ini", &long] {
        let lines = problems(&files(&[("10.ini", BASE), (name, "")]));
        assert_eq!(lines.len(), 1, "{name}");
        assert!(lines[0].starts_with(&format!("{name}: bad file name")), "{lines:?}");
    }
}

#[test]
fn invalid_utf8_is_rejected() {
    let files: Files = [("10.ini", &b"[domain a]\xff"[..])].into_iter().collect();
    assert_eq!(problems(&files), ["10.ini: byte 10 is not UTF-8: allowed is UTF-8 text"]);
}

#[test]
fn byte_order_mark_is_rejected() {
    let lines = problems(&files(&[("10.ini", &format!("\u{feff}{}", &BASE[32..]))]));
    assert!(lines[0].starts_with("10.ini:1: "), "{lines:?}");
}
