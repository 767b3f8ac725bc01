//! The tamper-evident trail of configuration changes, a hash chain.
//!
//! Each record holds the fingerprint of the previous one, so [`verify`] detects records
//! that were altered, added, reordered or removed from the middle. The trail keeps a
//! bounded number of records in memory; every record also goes to the log stream, where
//! the whole chain can be kept. Removal of the latest records is detected by comparison
//! with [`Trail::head`] or with the log of any other instance.

use std::collections::VecDeque;
use std::fmt;

use compact_str::CompactString;
use displaydoc::Display;
use mustardway_types::revision;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use slog::{Logger, info};

use crate::fingerprint::Fingerprint;

/// Default number of records that a trail keeps in memory.
pub const RECORDS_KEPT: usize = 512;
/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A wall-clock time in microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Time(pub u64);

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.0 / MICROS_PER_SECOND;
        write!(f, "{seconds}.{:06}", self.0 % MICROS_PER_SECOND)
    }
}

/// Position of a record in its chain, starting at 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Number(pub u64);

impl Number {
    /// Returns the number after this one.
    fn next(self) -> Self {
        Number(self.0.saturating_add(1))
    }
}

/// A file that a revision adds, replaces or removes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct File {
    /// Name of the file.
    pub name: CompactString,
    /// Fingerprint of the text in the previous revision; none if the file was not in it.
    pub before: Option<Fingerprint>,
    /// Fingerprint of the text in this revision; none if the file is removed.
    pub after: Option<Fingerprint>,
}

/// An event in the configuration of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    /// This instance adopted a revision.
    Adopted {
        /// The revision.
        revision: revision::Number,
        /// Digest of its files.
        digest: revision::Digest,
        /// The files that differ from the previous revision.
        files: Vec<File>,
        /// The changes of the configuration, one line each.
        changes: Vec<CompactString>,
    },
    /// Every live instance was observed to have a revision.
    InForce {
        /// The revision.
        revision: revision::Number,
        /// Digest of its files.
        digest: revision::Digest,
    },
    /// This instance refused a revision; the previous one stays in force.
    Refused {
        /// The revision.
        revision: revision::Number,
        /// Reasons for the refusal, one line each.
        errors: Vec<CompactString>,
    },
}

/// One record of the chain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// Position in the chain.
    pub number: Number,
    /// Time at which the record was written.
    pub at: Time,
    /// The recorded event.
    #[serde(flatten)]
    pub event: Event,
    /// Fingerprint of the previous record; zeroes for the first.
    pub previous: Fingerprint,
    /// Fingerprint of this record without this field.
    pub hash: Fingerprint,
}

/// A record without its own fingerprint. Its JSON is the input of the fingerprint.
#[derive(Serialize)]
struct Content<'a> {
    number: Number,
    at: Time,
    event: &'a Event,
    previous: Fingerprint,
}

impl Record {
    fn new(number: Number, at: Time, event: Event, previous: Fingerprint) -> Self {
        let hash = fingerprint(number, at, &event, previous);
        Record { number, at, event, previous, hash }
    }

    /// Returns whether the record's fingerprint matches its content.
    fn hash_matches(&self) -> bool {
        fingerprint(self.number, self.at, &self.event, self.previous) == self.hash
    }
}

fn fingerprint(number: Number, at: Time, event: &Event, previous: Fingerprint) -> Fingerprint {
    let content = Content { number, at, event, previous };
    // Serialisation cannot fail: the content has no maps, whose keys might not be strings.
    let json = serde_json::to_vec(&content).unwrap_or_default();
    Fingerprint::of(&json)
}

/// A fault in a chain.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// record {0} was altered
    Altered(u64),
    /// the record before record {0} is missing or was altered
    Broken(u64),
}

impl std::error::Error for Fault {}

/// Checks that `records` are a contiguous, unaltered part of a chain.
///
/// # Errors
/// Returns the first fault.
pub fn verify(records: &[Record]) -> Result<(), Fault> {
    let mut before: Option<&Record> = None;
    for record in records {
        if !record.hash_matches() {
            return Err(Fault::Altered(record.number.0));
        }
        if before.is_some_and(|before| !follows(before, record)) || !valid_start(before, record) {
            return Err(Fault::Broken(record.number.0));
        }
        before = Some(record);
    }
    Ok(())
}

fn follows(before: &Record, record: &Record) -> bool {
    record.number == before.number.next() && record.previous == before.hash
}

/// Returns whether `record` may come first if `before` is none. Record 1 of a chain must
/// have zeroes as its previous fingerprint.
fn valid_start(before: Option<&Record>, record: &Record) -> bool {
    let is_first = record.number == Number(1);
    before.is_some() || !is_first || record.previous == Fingerprint::default()
}

/// The position and fingerprint of the latest record of a chain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Head {
    /// Number of the latest record, 0 before the first.
    pub number: Number,
    /// Fingerprint of the latest record, zeroes before the first.
    pub hash: Fingerprint,
}

/// An adopted revision with the times at which it was adopted and came into force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Change {
    /// The revision.
    pub revision: revision::Number,
    /// Digest of its files.
    pub digest: revision::Digest,
    /// Time at which this instance adopted the revision.
    pub adopted_at: Time,
    /// Time at which every live instance was first observed to have the revision.
    pub in_force_at: Option<Time>,
    /// The files that differ from the previous revision.
    pub files: Vec<File>,
    /// The changes of the configuration, one line each.
    pub changes: Vec<CompactString>,
}

/// Numbers of events, including those whose records are no longer kept.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Number of adopted revisions.
    pub adopted: u64,
    /// Number of refused revisions.
    pub refused: u64,
}

impl Totals {
    fn add(&mut self, event: &Event) {
        match event {
            Event::Adopted { .. } => self.adopted += 1,
            Event::Refused { .. } => self.refused += 1,
            Event::InForce { .. } => {}
        }
    }
}

#[derive(Debug, Default)]
struct State {
    records: VecDeque<Record>,
    head: Head,
    totals: Totals,
}

/// The audit trail of one instance.
#[derive(Debug)]
pub struct Trail {
    state: Mutex<State>,
    records_max: usize,
    logger: Logger,
}

impl Trail {
    /// Creates an empty trail that keeps the latest `records_max` records, at least one.
    pub fn new(records_max: usize, logger: Logger) -> Self {
        Trail { state: Mutex::default(), records_max: records_max.max(1), logger }
    }

    /// Appends a record and writes it to the log stream.
    pub fn write(&self, at: Time, event: Event) {
        let mut state = self.state.lock();
        state.totals.add(&event);
        let number = state.head.number.next();
        let record = Record::new(number, at, event, state.head.hash);
        state.head = Head { number, hash: record.hash };
        let json = serde_json::to_string(&record).unwrap_or_default();
        state.records.push_back(record);
        if state.records.len() > self.records_max {
            state.records.pop_front();
        }
        // Logged under the lock, so that the log has the order of the chain.
        info!(self.logger, "audit"; "record" => json);
    }

    /// Returns the position and fingerprint of the latest record.
    pub fn head(&self) -> Head {
        self.state.lock().head
    }

    /// Returns the numbers of events since the start of the trail.
    pub fn totals(&self) -> Totals {
        self.state.lock().totals
    }

    /// Returns the records in memory, oldest first.
    pub fn records(&self) -> Vec<Record> {
        self.state.lock().records.iter().cloned().collect()
    }

    /// Returns the adopted revisions whose records are in memory, oldest first.
    pub fn changes(&self) -> Vec<Change> {
        let state = self.state.lock();
        let mut changes: Vec<Change> = Vec::new();
        for record in &state.records {
            apply_record(&mut changes, record);
        }
        changes
    }
}

/// Applies `record` to `changes`: adds an adopted revision, or sets its time of coming
/// into force.
fn apply_record(changes: &mut Vec<Change>, record: &Record) {
    match &record.event {
        Event::Adopted { revision, digest, files, changes: lines } => changes.push(Change {
            revision: *revision,
            digest: *digest,
            adopted_at: record.at,
            in_force_at: None,
            files: files.clone(),
            changes: lines.clone(),
        }),
        Event::InForce { revision, digest } => {
            for change in changes.iter_mut().rev() {
                let same = change.revision == *revision && change.digest == *digest;
                if same && change.in_force_at.is_none() {
                    change.in_force_at = Some(record.at);
                }
            }
        }
        Event::Refused { .. } => {}
    }
}
