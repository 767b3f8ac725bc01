//! A small base configuration, and views and problems of changes to it.

use mustardway_types::revision;
use mustardway_view::folder::{self, Files};
use mustardway_view::model::View;

/// The base: two failure domains, two services and three targets.
pub const BASE: &str = "\
# Failure domains and services.
[domain rosario]
region = ar-centro

[domain cordoba]
region = ar-centro
state = in

[service reservas]
addresses = 10.0.0.1:443, 10.0.0.2:443

[service archivo]
addresses = 10.0.0.3:443

[target reservas-1]
service = reservas
domain = rosario
endpoint = 10.1.0.1:7000
weight = 200

[target reservas-2]
service = reservas
domain = cordoba
endpoint = 10.1.0.2:7000

[target archivo-1]
service = archivo
domain = cordoba
endpoint = 10.1.0.3:7000
";

/// Returns files with these names and texts.
pub fn files(texts: &[(&str, &str)]) -> Files {
    texts.iter().map(|(name, text)| (*name, text.as_bytes())).collect()
}

/// Returns the view of [`BASE`] with one more file, under `revision`.
pub fn changed(revision: u64, change: &str) -> View {
    let files = files(&[("10.ini", BASE), ("20.ini", change)]);
    folder::parse(revision::Number(revision), &files).expect("sample has no problems")
}

/// Returns the view of these files.
pub fn view(texts: &[(&str, &str)]) -> View {
    folder::parse(revision::Number(7), &files(texts)).expect("sample has no problems")
}

/// Returns the text of every problem of `files`.
pub fn problems(files: &Files) -> Vec<String> {
    let problems = folder::parse(revision::Number(7), files).expect_err("sample has problems");
    problems.iter().map(ToString::to_string).collect()
}

/// Returns the text of every problem of [`BASE`] with one more file.
pub fn changed_problems(change: &str) -> Vec<String> {
    problems(&files(&[("10.ini", BASE), ("20.ini", change)]))
}
