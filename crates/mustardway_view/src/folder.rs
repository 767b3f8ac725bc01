//! A folder of configuration files and the view that it stands for.
//!
//! # Merge
//!
//! - Files are merged in the byte order of their names.
//! - `[domain NAME]` has the keys region and state (in, out); `[service NAME]`
//!   has addresses, a list parted by commas; `[target NAME]` has service,
//!   domain, endpoint, state (serving, leaving), weight, slots, cold-slots,
//!   connections, warm-up and queue.
//! - A later file replaces single keys of an item; its other keys stay. An
//!   empty value takes back a key that an earlier file set, so that its default
//!   holds again.
//! - `[defaults target]` gives defaults for all keys of a target but its
//!   endpoint, in whatever file it stands. Keys without any value take the
//!   constants of [`build`].
//! - An empty `[remove domain NAME]`, `[remove service NAME]` or
//!   `[remove target NAME]` removes what earlier files set. A later file may set
//!   the item anew, from nothing. It may not be removed again after that: what
//!   is set and removed in turns has no clear meaning to a reader.
//! - One file may not give a section or key twice, nor set and remove one item.
//!
//! # Problems
//!
//! A folder is taken whole or not at all. Files that cannot be read as INI text
//! end the work after all files are read; otherwise all problems of all files
//! are listed.

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::CompactString;
use mustardway_types::revision;
use xxhash_rust::xxh3::Xxh3;

use crate::build;
use crate::check;
use crate::ini::{self, Document};
use crate::merge::Merged;
use crate::model::View;
use crate::problem::{Kind, List, Problem};

/// Most bytes of one file.
pub const FILE_BYTES_MAX: usize = 1 << 20;
/// Most bytes of all files.
pub const FOLDER_BYTES_MAX: usize = 64 << 20;
/// Most files.
pub const FILES_MAX: usize = 1_000;
/// Most bytes of a file name.
pub const NAME_BYTES_MAX: usize = 100;

/// End of every file name.
const SUFFIX: &str = ".ini";
/// Seed of the digest.
const DIGEST_SEED: u64 = 0x6d75_7374_6172_6477;

/// The files of a folder by name, as the platform publishes them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Files(BTreeMap<CompactString, Arc<[u8]>>);

impl Files {
    /// No files.
    pub fn new() -> Self {
        Files::default()
    }

    /// Adds a file or replaces the one of this name.
    pub fn insert(&mut self, name: &str, content: impl Into<Arc<[u8]>>) {
        self.0.insert(name.into(), content.into());
    }

    /// Removes the file of this name, if there is one.
    pub fn remove(&mut self, name: &str) {
        self.0.remove(name);
    }

    /// The content of the file of this name.
    pub fn get(&self, name: &str) -> Option<&Arc<[u8]>> {
        self.0.get(name)
    }

    /// Names and contents in the order of merging.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Arc<[u8]>)> {
        self.0.iter().map(|(name, content)| (name.as_str(), content))
    }

    /// Number of files.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is no file.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Bytes of all contents.
    pub fn bytes(&self) -> usize {
        self.0.values().map(|content| content.len()).sum()
    }

    /// Digest of all names and contents, each with its length before it.
    pub fn digest(&self) -> revision::Digest {
        let mut hasher = Xxh3::with_seed(DIGEST_SEED);
        for (name, content) in &self.0 {
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
            hasher.update(&(content.len() as u64).to_le_bytes());
            hasher.update(content);
        }
        revision::Digest(hasher.digest())
    }
}

impl<Name: AsRef<str>, Content: Into<Arc<[u8]>>> FromIterator<(Name, Content)> for Files {
    fn from_iter<I: IntoIterator<Item = (Name, Content)>>(files: I) -> Self {
        let mut all = Files::new();
        for (name, content) in files {
            all.insert(name.as_ref(), content);
        }
        all
    }
}

/// The view that `files` stand for, or every problem that keeps them from being one.
pub fn parse(revision: revision::Number, files: &Files) -> Result<View, Vec<Problem>> {
    let mut problems = List::default();
    let documents = read(files, &mut problems);
    if !problems.is_empty() {
        return Err(problems.into_vec());
    }
    let mut merged = Merged::default();
    for (name, document) in &documents {
        merged.add(name, document, &mut problems);
    }
    let view = build::view(&merged, revision, files.digest(), &mut problems);
    check::items(&view, &merged, &mut problems);
    if !problems.is_empty() {
        return Err(problems.into_vec());
    }
    Ok(view)
}

fn read<'a>(files: &'a Files, problems: &mut List) -> Vec<(&'a str, Document)> {
    let mut documents = Vec::with_capacity(files.len());
    if let Err(kind) = check_folder(files) {
        problems.push(Problem::new(kind));
        return documents;
    }
    for (name, content) in files.iter() {
        let text = match check_file(name, content) {
            Ok(text) => text,
            Err(kind) => {
                problems.push(Problem::new(kind).in_file(name));
                continue;
            }
        };
        documents.push((name, ini::read(name, text, problems)));
    }
    documents
}

fn check_folder(files: &Files) -> Result<(), Kind> {
    if files.is_empty() {
        return Err(Kind::EmptyFolder);
    }
    if files.len() > FILES_MAX {
        return Err(Kind::TooManyFiles { found: files.len(), allowed: FILES_MAX });
    }
    if files.bytes() > FOLDER_BYTES_MAX {
        return Err(Kind::FolderTooLarge { found: files.bytes(), allowed: FOLDER_BYTES_MAX });
    }
    Ok(())
}

fn check_file<'a>(name: &str, content: &'a [u8]) -> Result<&'a str, Kind> {
    if !is_file_name(name) {
        return Err(Kind::FileName);
    }
    if content.len() > FILE_BYTES_MAX {
        return Err(Kind::FileTooLarge { found: content.len(), allowed: FILE_BYTES_MAX });
    }
    str::from_utf8(content).map_err(|error| Kind::Encoding { offset: error.valid_up_to() })
}

fn is_file_name(name: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    name.len() <= NAME_BYTES_MAX
        && name.len() > SUFFIX.len()
        && name.ends_with(SUFFIX)
        && !name.starts_with('.')
        && name.bytes().all(allowed)
}
