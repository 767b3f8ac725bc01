//! The files of one revision.

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::CompactString;
use mustardway_types::revision;

/// Files by name, opaque here.
pub type Files = BTreeMap<CompactString, Arc<[u8]>>;

/// The files of one revision with number and digest.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Set {
    /// Number; 0 before any revision is in force.
    pub number: revision::Number,
    /// Digest of the files.
    pub digest: revision::Digest,
    /// The files.
    pub files: Files,
}

impl Set {
    /// Bytes of all names and contents.
    pub fn bytes(&self) -> usize {
        let mut bytes = 0;
        for (name, content) in &self.files {
            bytes += name.len() + content.len();
        }
        bytes
    }
}

/// Digest of a folder of files. All instances must digest alike.
pub trait Digester: Send {
    /// The digest of `files`.
    fn digest(&self, files: &Files) -> revision::Digest;
}

impl<F: Fn(&Files) -> revision::Digest + Send> Digester for F {
    fn digest(&self, files: &Files) -> revision::Digest {
        self(files)
    }
}
