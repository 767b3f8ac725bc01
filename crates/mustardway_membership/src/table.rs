//! The table of all records at one instance, with the digests that are compared
//! with those of peers.

use std::collections::BTreeMap;

use mustardway_types::hash;
use mustardway_types::instance::{self, Incarnation};
use mustardway_types::time::{Instant, Span};

use crate::member::{Member, Record, State};
use crate::message::BUCKETS;

/// Greatest number of records that are kept.
const RECORDS_MAX: usize = 16_384;
/// Hash seed of the positions on the rings.
const POSITION_SEED: u64 = 0x6d75_7374_6172_6401;
/// Hash seed of the digests.
const DIGEST_SEED: u64 = 0x6d75_7374_6172_6402;

/// All records at one instance.
#[derive(Debug)]
pub(crate) struct Table {
    records: BTreeMap<instance::Id, Record>,
    buckets: [u64; BUCKETS],
    live: usize,
    version: u64,
}

impl Table {
    /// Creates an empty table.
    pub(crate) fn new() -> Self {
        Table { records: BTreeMap::new(), buckets: [0; BUCKETS], live: 0, version: 0 }
    }

    /// Returns a number that grows with every change of a record.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of live records.
    pub(crate) fn live(&self) -> usize {
        self.live
    }

    /// Returns the record of an instance.
    pub(crate) fn get(&self, id: &instance::Id) -> Option<&Record> {
        self.records.get(id)
    }

    /// Returns all records, sorted by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Returns the digest of all live records.
    pub(crate) fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |digest, bucket| digest ^ bucket)
    }

    /// Returns the digests of the buckets.
    pub(crate) fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// Returns the index of the record's bucket.
    pub(crate) fn bucket(record: &Record) -> usize {
        (record.position % BUCKETS as u64) as usize
    }

    /// Sets the member and state of an instance. `base_incarnation` is the
    /// incarnation that the failure domain and address were announced with.
    /// Returns false if the instance is new and the table is full.
    pub(crate) fn put(
        &mut self,
        member: Member,
        base_incarnation: Incarnation,
        state: State,
        now: Instant,
    ) -> bool {
        let known = self.records.get(&member.id);
        if known.is_none() && self.records.len() >= RECORDS_MAX {
            return false;
        }
        let record = Record {
            position: position(&member.id),
            listed_leaving: known.is_some_and(|known| known.listed_leaving),
            member,
            state,
            changed: now,
            presumed_dead: false,
            base_incarnation,
        };
        self.replace(record);
        true
    }

    /// Sets the incarnation and state of a known instance and keeps its failure
    /// domain and address.
    pub(crate) fn raise_incarnation(
        &mut self,
        id: &instance::Id,
        incarnation: Incarnation,
        state: State,
        now: Instant,
    ) {
        let Some(record) = self.records.get(id) else { return };
        let member = Member { incarnation, ..record.member.clone() };
        let record = Record { member, state, changed: now, presumed_dead: false, ..record.clone() };
        self.replace(record);
    }

    /// Sets the state of a known instance.
    pub(crate) fn set_state(&mut self, id: &instance::Id, state: State, now: Instant) {
        let Some(record) = self.records.get(id) else { return };
        if record.state == state && !record.presumed_dead {
            return;
        }
        let record = Record { state, changed: now, presumed_dead: false, ..record.clone() };
        self.replace(record);
    }

    /// Presumes an instance dead because no peer at all was heard.
    pub(crate) fn presume_dead(&mut self, id: &instance::Id, now: Instant) {
        let Some(record) = self.records.get(id) else { return };
        let record =
            Record { state: State::Dead, changed: now, presumed_dead: true, ..record.clone() };
        self.replace(record);
    }

    /// Sets whether the platform lists an instance as leaving.
    pub(crate) fn set_listed_leaving(&mut self, id: &instance::Id, leaving: bool) {
        let Some(record) = self.records.get_mut(id) else { return };
        if record.listed_leaving == leaving {
            return;
        }
        record.listed_leaving = leaving;
        self.version += 1;
    }

    /// Removes the records of instances that have been dead for `dead` or have left
    /// for `left`.
    pub(crate) fn forget(&mut self, dead: Span, left: Span, now: Instant) {
        let before = self.records.len();
        self.records.retain(|_, record| match record.state {
            State::Dead => now.since(record.changed) < dead,
            State::Left => now.since(record.changed) < left,
            State::Alive | State::Suspect | State::Leaving => true,
        });
        if self.records.len() != before {
            self.version += 1;
        }
    }

    fn replace(&mut self, record: Record) {
        let bucket = Table::bucket(&record);
        let new = digest(&record);
        self.live += usize::from(record.state.is_live());
        self.version += 1;
        let old = self.records.insert(record.member.id.clone(), record);
        self.buckets[bucket] ^= new;
        let Some(old) = old else { return };
        self.buckets[bucket] ^= digest(&old);
        self.live -= usize::from(old.state.is_live());
    }
}

/// Returns the position of an instance on the hashed rings.
fn position(id: &instance::Id) -> u64 {
    hash::seeded(POSITION_SEED, id.as_str().as_bytes())
}

/// Returns what a record contributes to the digest: 0 if it is not live.
fn digest(record: &Record) -> u64 {
    let state_code = match record.state {
        State::Alive | State::Suspect => 1,
        State::Leaving => 2,
        State::Dead | State::Left => return 0,
    };
    let incarnation_and_state = hash::mix(record.member.incarnation.0, state_code);
    hash::mix(hash::mix(DIGEST_SEED, record.position), incarnation_and_state)
}
