//! Reading a folder of configuration files from disk.

use std::path::Path;

use assert_matches::assert_matches;
use mustardway_types::revision;
use mustardway_view::directory::{self, Error};
use mustardway_view::folder;

fn example(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(name)
}

#[test]
fn example_folder_is_read() {
    let files = directory::read(&example("folder")).unwrap();
    assert_eq!(files.len(), 3);
    let view = folder::parse(revision::Number(1), &files).unwrap();
    assert_eq!(view.targets.len(), 4);
}

#[test]
fn absent_folder_is_an_error() {
    assert_matches!(directory::read(&example("absent")), Err(Error::Folder(_)));
}

#[test]
fn subfolder_is_an_error() {
    assert_matches!(directory::read(&example("")), Err(Error::Entry(name)) if name == "folder");
}
