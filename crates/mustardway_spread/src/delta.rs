//! Differences between two sets of files.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use prost::Message;

use crate::message::{Delta, File, Pull};
use crate::set::{Files, Set};

/// Number of earlier revisions that are kept as a base for differences.
const HISTORY_MAX: usize = 4;

/// Earlier revisions, from oldest to latest.
#[derive(Debug, Default)]
pub(crate) struct History {
    sets: VecDeque<Set>,
}

impl History {
    /// Keeps a revision that is no longer in force, and drops the oldest if there are
    /// too many.
    pub(crate) fn keep(&mut self, set: Set) {
        if set.number.0 == 0 {
            return;
        }
        if self.sets.len() == HISTORY_MAX {
            self.sets.pop_front();
        }
        self.sets.push_back(set);
    }

    /// Returns the encoded difference between the revision that the puller has and
    /// `set`, or all files of `set` if that revision is not kept or `pull` asks for
    /// the whole set.
    pub(crate) fn encode(&self, set: &Set, pull: &Pull) -> Bytes {
        let base = self.sets.iter().find(|base| {
            !pull.whole && base.number.0 == pull.base_number && base.digest.0 == pull.base_digest
        });
        let delta = match base {
            Some(base) => difference(base, set),
            None => difference(&Set::default(), set),
        };
        Bytes::from(delta.encode_to_vec())
    }
}

/// Reason for which a difference was not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The difference cannot be decoded.
    Malformed,
    /// The difference applies to a revision other than the one in force.
    Base,
}

/// Applies the encoded difference in `bytes` to `base` and returns the resulting
/// files.
pub(crate) fn apply(base: &Set, bytes: Bytes) -> Result<Files, Fault> {
    let delta = Delta::decode(bytes).map_err(|_| Fault::Malformed)?;
    let mut files = Files::new();
    if delta.base_number != 0 {
        if delta.base_number != base.number.0 || delta.base_digest != base.digest.0 {
            return Err(Fault::Base);
        }
        files = base.files.clone();
    }
    for name in &delta.removed {
        files.remove(name.as_str());
    }
    for file in &delta.files {
        files.insert(CompactString::from(&file.name), Arc::from(file.content.as_ref()));
    }
    Ok(files)
}

fn difference(base: &Set, set: &Set) -> Delta {
    let mut delta = Delta {
        base_number: base.number.0,
        base_digest: base.digest.0,
        files: Vec::new(),
        removed: Vec::new(),
    };
    for (name, content) in &set.files {
        if base.files.get(name) == Some(content) {
            continue;
        }
        let content = Bytes::copy_from_slice(content);
        delta.files.push(File { name: name.to_string(), content });
    }
    for name in base.files.keys() {
        if set.files.contains_key(name) {
            continue;
        }
        delta.removed.push(name.to_string());
    }
    delta
}
