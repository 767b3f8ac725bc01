//! Audit trail entries for configuration revisions.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::SystemTime;

use compact_str::{CompactString, ToCompactString};
use mustardway_telemetry::audit::{Event, File, Time, Trail};
use mustardway_telemetry::fingerprint::Fingerprint;
use mustardway_telemetry::promise::{Counters, Promise, Verdict};
use mustardway_types::{revision, time};
use mustardway_view::folder::Files;
use parking_lot::Mutex;

use crate::control::observer::{Adopted, Observer};

/// Writes revisions to the audit trail and records whether the promise about configuration was
/// kept.
pub struct Writer {
    trail: Arc<Trail>,
    promises: Arc<Counters>,
    latest: Mutex<(revision::Number, revision::Digest)>,
}

impl Writer {
    /// Creates a writer to `trail`.
    pub fn new(trail: Arc<Trail>, promises: Arc<Counters>) -> Self {
        Writer { trail, promises, latest: Mutex::default() }
    }
}

impl Observer for Writer {
    fn adopted(&self, adopted: &Adopted) {
        let mut latest = self.latest.lock();
        let verdict = if adopted.revision > latest.0 { Verdict::Kept } else { Verdict::Violated };
        self.promises.add(Promise::ConfigurationHolds, verdict);
        *latest = (adopted.revision, adopted.digest);
        let event = Event::Adopted {
            revision: adopted.revision,
            digest: adopted.digest,
            files: changed_files(&adopted.before, &adopted.after),
            changes: adopted.changes.iter().map(ToCompactString::to_compact_string).collect(),
        };
        self.trail.write(wall_clock(), event);
    }

    fn refused(&self, revision: revision::Number, problems: &[String]) {
        let errors = problems.iter().map(CompactString::from).collect();
        self.trail.write(wall_clock(), Event::Refused { revision, errors });
    }

    fn in_force_everywhere(&self, revision: revision::Number) {
        let latest = *self.latest.lock();
        if latest.0 == revision {
            self.trail.write(wall_clock(), Event::InForce { revision, digest: latest.1 });
        }
    }
}

/// Returns the wall clock time. It is shown to people only; no decision depends on it.
fn wall_clock() -> Time {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Time(time::Span::from(since.unwrap_or_default()).0)
}

/// Returns the files that differ between `before` and `after`.
fn changed_files(before: &Files, after: &Files) -> Vec<File> {
    let names: BTreeSet<&str> = before.iter().chain(after.iter()).map(|(name, _)| name).collect();
    let fingerprint = |files: &Files, name: &str| files.get(name).map(|text| Fingerprint::of(text));
    let mut changed = Vec::new();
    for name in names {
        let (before, after) = (fingerprint(before, name), fingerprint(after, name));
        if before != after {
            changed.push(File { name: name.into(), before, after });
        }
    }
    changed
}
