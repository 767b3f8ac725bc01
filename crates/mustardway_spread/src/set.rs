//! The files of one revision.

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::CompactString;
use mustardway_types::revision;

/// Files by name. Their content is opaque to this crate.
pub type Files = BTreeMap<CompactString, Arc<[u8]>>;

/// The files of one revision with its number and digest.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Set {
    /// Number of the revision; 0 before any revision is in force.
    pub number: revision::Number,
    /// Digest of the files.
    pub digest: revision::Digest,
    /// The files by name.
    pub files: Files,
}

impl Set {
    /// Returns the total size of all names and contents in bytes.
    pub fn bytes(&self) -> usize {
        let mut bytes = 0;
        for (name, content) in &self.files {
            bytes += name.len() + content.len();
        }
        bytes
    }
}

/// Computes the digest of a set of files. All instances must use the same digest.
pub trait Digester: Send {
    /// Returns the digest of `files`.
    fn digest(&self, files: &Files) -> revision::Digest;
}

impl<F: Fn(&Files) -> revision::Digest + Send> Digester for F {
    fn digest(&self, files: &Files) -> revision::Digest {
        self(files)
    }
}
