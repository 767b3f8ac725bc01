//! The trail of configuration changes.
//!
//! Each record holds the fingerprint of the one before, so a record that was
//! altered, removed from the middle, added or moved shows in [`verify`]. The trail
//! keeps a bounded number of records in memory; every record also goes to the log
//! stream, where the whole chain can be kept. A removal of the latest records shows
//! against [`Trail::head`], or against any other instance's log.

use std::collections::VecDeque;
use std::fmt;

use compact_str::CompactString;
use displaydoc::Display;
use mustardway_types::revision;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use slog::{Logger, info};

use crate::fingerprint::Fingerprint;

/// Records that a trail keeps unless told otherwise.
pub const RECORDS_KEPT: usize = 512;
/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A point of time on the wall clock: microseconds since 1970 UTC.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Time(pub u64);

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.0 / MICROS_PER_SECOND;
        write!(f, "{seconds}.{:06}", self.0 % MICROS_PER_SECOND)
    }
}

/// Position of a record in its chain, from 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Number(pub u64);

impl Number {
    /// The number after this one.
    fn next(self) -> Self {
        Number(self.0.saturating_add(1))
    }
}

/// A file that a revision adds, replaces or removes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct File {
    /// Its name.
    pub name: CompactString,
    /// Fingerprint of its text in the revision before; none where it was not there.
    pub before: Option<Fingerprint>,
    /// Fingerprint of its text now; none where it is removed.
    pub after: Option<Fingerprint>,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    /// This instance has adopted a revision.
    Adopted {
        /// The revision.
        revision: revision::Number,
        /// Digest of its files.
        digest: revision::Digest,
        /// The files that differ from the revision before.
        files: Vec<File>,
        /// What they change, one line each.
        changes: Vec<CompactString>,
    },
    /// Every live instance was seen to have a revision.
    InForce {
        /// The revision.
        revision: revision::Number,
        /// Digest of its files.
        digest: revision::Digest,
    },
    /// This instance refused a revision; the one before stays in force.
    Refused {
        /// The revision.
        revision: revision::Number,
        /// Why, one line each.
        errors: Vec<CompactString>,
    },
}

/// One record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// Position in the chain.
    pub number: Number,
    /// When it was written.
    pub at: Time,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
    /// Fingerprint of the record before; zeroes for the first.
    pub previous: Fingerprint,
    /// Fingerprint of this record without this member.
    pub hash: Fingerprint,
}

/// A record without its own fingerprint: what the fingerprint is taken of, as JSON.
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

    /// Whether its own fingerprint fits.
    fn fits(&self) -> bool {
        fingerprint(self.number, self.at, &self.event, self.previous) == self.hash
    }
}

fn fingerprint(number: Number, at: Time, event: &Event, previous: Fingerprint) -> Fingerprint {
    let content = Content { number, at, event, previous };
    // Plain data without maps always serialises.
    let json = serde_json::to_vec(&content).unwrap_or_default();
    Fingerprint::of(&json)
}

/// What is wrong with a chain.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// record {0} was altered
    Altered(u64),
    /// what stood before record {0} is missing or was altered
    Broken(u64),
}

impl std::error::Error for Fault {}

/// Checks that `records` are a piece of a chain, without alteration or gap.
///
/// # Errors
/// The first fault.
pub fn verify(records: &[Record]) -> Result<(), Fault> {
    let mut before: Option<&Record> = None;
    for record in records {
        if !record.fits() {
            return Err(Fault::Altered(record.number.0));
        }
        if before.is_some_and(|before| !follows(before, record)) || !starts(before, record) {
            return Err(Fault::Broken(record.number.0));
        }
        before = Some(record);
    }
    Ok(())
}

fn follows(before: &Record, record: &Record) -> bool {
    record.number == before.number.next() && record.previous == before.hash
}

/// Whether a record without one before it may stand first.
fn starts(before: Option<&Record>, record: &Record) -> bool {
    let first_of_all = record.number == Number(1);
    before.is_some() || !first_of_all || record.previous == Fingerprint::default()
}

/// The end of a chain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Head {
    /// Number of the latest record, 0 before the first.
    pub number: Number,
    /// Its fingerprint, zeroes before the first.
    pub hash: Fingerprint,
}

/// A revision with the time it was adopted and the time it came into force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Change {
    /// The revision.
    pub revision: revision::Number,
    /// Digest of its files.
    pub digest: revision::Digest,
    /// When this instance adopted it.
    pub adopted_at: Time,
    /// When every live instance was first seen to have it.
    pub in_force_at: Option<Time>,
    /// The files that differ from the revision before.
    pub files: Vec<File>,
    /// What they change, one line each.
    pub changes: Vec<CompactString>,
}

/// How many events there were, also those whose records are no longer kept.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Revisions adopted.
    pub adopted: u64,
    /// Revisions refused.
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

/// The trail of one instance.
#[derive(Debug)]
pub struct Trail {
    state: Mutex<State>,
    records_max: usize,
    logger: Logger,
}

impl Trail {
    /// An empty trail that keeps the latest `records_max` records.
    pub fn new(records_max: usize, logger: Logger) -> Self {
        Trail { state: Mutex::default(), records_max: records_max.max(1), logger }
    }

    /// Writes a record, also to the log stream.
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
        // Under the lock, so that the stream has the order of the chain.
        info!(self.logger, "audit"; "record" => json);
    }

    /// The end of the chain.
    pub fn head(&self) -> Head {
        self.state.lock().head
    }

    /// How many events there were.
    pub fn totals(&self) -> Totals {
        self.state.lock().totals
    }

    /// The records that are kept, oldest first.
    pub fn records(&self) -> Vec<Record> {
        self.state.lock().records.iter().cloned().collect()
    }

    /// The revisions adopted, oldest first, as far as records are kept.
    pub fn changes(&self) -> Vec<Change> {
        let state = self.state.lock();
        let mut changes: Vec<Change> = Vec::new();
        for record in &state.records {
            note(&mut changes, record);
        }
        changes
    }
}

/// Adds what `record` says to `changes`.
fn note(changes: &mut Vec<Change>, record: &Record) {
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
