//! A folder of configuration files, its digest, and the parser that builds a view from it.
//!
//! # Merge
//!
//! - Files are merged in the byte order of their names.
//! - `[domain NAME]` has the keys region and state (in, out); `[service NAME]`
//!   has addresses, a list separated by commas; `[target NAME]` has service,
//!   domain, endpoint, state (serving, leaving), weight, slots, cold-slots,
//!   connections, warm-up and queue.
//! - A later file replaces single keys of an item and leaves its other keys. An
//!   empty value takes back a key that an earlier file set, so that its default
//!   applies again.
//! - `[defaults target]` sets defaults for all keys of a target except its
//!   endpoint, for the targets of all files. A key without any value gets the
//!   default constant of [`build`].
//! - An empty `[remove domain NAME]`, `[remove service NAME]` or
//!   `[remove target NAME]` removes an item that earlier files set. A later file
//!   may set the item again, without any of its former keys, but the item may
//!   not be removed a second time: an item that is set and removed in turns has
//!   no clear meaning to a reader.
//! - One file may not give a section or key twice, and may not both set and
//!   remove the same item.
//!
//! # Problems
//!
//! A folder is accepted as a whole or rejected as a whole. If some files are not
//! valid INI text, only the syntax problems of all files are reported.
//! Otherwise all problems of all files are reported.

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

/// Greatest size of one file, in bytes.
pub const FILE_BYTES_MAX: usize = 1 << 20;
/// Greatest size of all files together, in bytes.
pub const FOLDER_BYTES_MAX: usize = 64 << 20;
/// Greatest number of files.
pub const FILES_MAX: usize = 1_000;
/// Greatest length of a file name, in bytes.
pub const NAME_BYTES_MAX: usize = 100;

/// Suffix of every file name.
const SUFFIX: &str = ".ini";
/// Seed of the digest. Instances compare digests, so it is the same in every version.
const DIGEST_SEED: u64 = 0x6d75_7374_6172_6477;

/// The files of a configuration by name, as the platform publishes them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Files(BTreeMap<CompactString, Arc<[u8]>>);

impl Files {
    /// Returns an empty set of files.
    pub fn new() -> Self {
        Files::default()
    }

    /// Adds a file, or replaces the file of this name.
    pub fn insert(&mut self, name: &str, content: impl Into<Arc<[u8]>>) {
        self.0.insert(name.into(), content.into());
    }

    /// Removes the file of this name, if there is one.
    pub fn remove(&mut self, name: &str) {
        self.0.remove(name);
    }

    /// Returns the content of the file of this name.
    pub fn get(&self, name: &str) -> Option<&Arc<[u8]>> {
        self.0.get(name)
    }

    /// Returns the names and contents in the order in which they are merged.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Arc<[u8]>)> {
        self.0.iter().map(|(name, content)| (name.as_str(), content))
    }

    /// Returns the number of files.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there is no file.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the size of all contents together, in bytes.
    pub fn bytes(&self) -> usize {
        self.0.values().map(|content| content.len()).sum()
    }

    /// Returns the digest of all names and contents. Each is preceded by its length, so that moving
    /// bytes between names and contents changes the digest.
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

/// Builds the view from `files`.
///
/// # Errors
/// All problems of the files, if there are any.
pub fn parse(revision: revision::Number, files: &Files) -> Result<View, Vec<Problem>> {
    let mut problems = List::default();
    let documents = parse_files(files, &mut problems);
    if !problems.is_empty() {
        return Err(problems.into_vec());
    }
    let mut merged = Merged::default();
    for (name, document) in &documents {
        merged.add(name, document, &mut problems);
    }
    let view = build::view(&merged, revision, files.digest(), &mut problems);
    check::references(&view, &merged, &mut problems);
    if !problems.is_empty() {
        return Err(problems.into_vec());
    }
    Ok(view)
}

fn parse_files<'a>(files: &'a Files, problems: &mut List) -> Vec<(&'a str, Document)> {
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
