//! Anti-entropy: finds and repairs differences between two tables.
//!
//! An instance sends a summary of its table to a contact whose digest differs.
//! The contact answers with the buckets that differ, and gets back the entries
//! that are newer at the first instance.

use std::collections::BTreeMap;

use mustardway_types::instance;
use mustardway_types::time::{Instant, Span};
use rand::RngExt;

use crate::action::Action;
use crate::claim::{self, Source};
use crate::member::Record;
use crate::message::{BUCKETS, Body, ENTRIES_MAX, Entry, Summary};
use crate::node::Node;
use crate::table::Table;

/// Time that a difference must last before tables are compared, since gossip of
/// the change may still be on its way.
const DIFFERENCE_GRACE: Span = Span::seconds(1);
/// Time between two comparisons started by a joined instance.
const SYNC_INTERVAL: Span = Span::seconds(1);
/// Time between two comparisons started by a joining instance.
const JOIN_SYNC_INTERVAL: Span = Span::millis(100);

impl Node {
    /// Sends a summary to a random contact whose digest has differed for long
    /// enough.
    pub(crate) fn start_sync(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.next_sync || !self.budget.has_bytes() {
            return;
        }
        let grace = if self.joined { DIFFERENCE_GRACE } else { Span::ZERO };
        let mut differing = Vec::new();
        for (id, contact) in self.contacts.iter() {
            let lasting = contact.differs_since.is_some_and(|since| now.since(since) >= grace);
            if lasting {
                differing.push(id.clone());
            }
        }
        if differing.is_empty() {
            return;
        }
        let id = differing.swap_remove(self.rng.random_range(0..differing.len()));
        if let Some(contact) = self.contacts.get_mut(&id) {
            contact.differs_since = Some(now);
        }
        self.next_sync = now + if self.joined { SYNC_INTERVAL } else { JOIN_SYNC_INTERVAL };
        let buckets = self.table.buckets().to_vec();
        self.send(&id, Body::Summary(Summary { buckets }), actions);
    }

    /// Answers a summary with the buckets that differ, as many as fit in a message.
    /// The first bucket is random, so that repeated comparisons cover all buckets.
    pub(crate) fn handle_summary(
        &mut self,
        from: &instance::Id,
        summary: &Summary,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.record_any_heard(now);
        if summary.buckets.len() != BUCKETS {
            self.counts.malformed += 1;
            return;
        }
        if !self.budget.has_bytes() {
            return;
        }
        let mut groups: BTreeMap<usize, Vec<Entry>> = BTreeMap::new();
        for record in self.table.iter() {
            let bucket = Table::bucket(record);
            if summary.buckets[bucket] == self.table.buckets()[bucket] || record.presumed_dead {
                continue;
            }
            groups.entry(bucket).or_default().push(Entry::new(record));
        }
        let start = self.rng.random_range(0..BUCKETS);
        let mut entries = Vec::new();
        let mut mask = 0;
        for offset in 0..BUCKETS {
            let bucket = (start + offset) % BUCKETS;
            if summary.buckets[bucket] == self.table.buckets()[bucket] {
                continue;
            }
            let group = groups.remove(&bucket).unwrap_or_default();
            if mask != 0 && entries.len() + group.len() > ENTRIES_MAX {
                break;
            }
            entries.extend(group);
            mask |= 1 << bucket;
        }
        if mask == 0 {
            return;
        }
        entries.truncate(ENTRIES_MAX);
        self.counts.tables_sent += 1;
        self.budget.spend(&entries);
        self.send(from, Body::Table(crate::message::Table { entries, mask }), actions);
    }

    /// Applies the entries of a peer's table, and sends back the entries that are
    /// newer here if the peer asks for them.
    pub(crate) fn handle_table(
        &mut self,
        from: &instance::Id,
        table: &crate::message::Table,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.record_any_heard(now);
        let mut claims = BTreeMap::new();
        for entry in table.entries.iter().take(ENTRIES_MAX) {
            let (Some(id), Some(state)) = (entry.id(), entry.known_state()) else { continue };
            claims.insert(id, (entry.incarnation, claim::state_precedence(state, false)));
        }
        self.apply_entries(from, &table.entries, Source::Synced, now, actions);
        if !self.joined {
            self.next_sync = now;
        }
        if table.mask == 0 || !self.budget.has_bytes() {
            return;
        }
        let mut entries = Vec::new();
        for record in self.table.iter() {
            let wanted = table.mask & (1 << Table::bucket(record)) != 0;
            if !wanted || record.presumed_dead || !is_newer(record, &claims) {
                continue;
            }
            entries.push(Entry::new(record));
        }
        if entries.is_empty() {
            return;
        }
        entries.truncate(ENTRIES_MAX);
        self.budget.spend(&entries);
        self.send(from, Body::Table(crate::message::Table { entries, mask: 0 }), actions);
    }
}

/// Returns whether the record is newer than the peer's claim. Without a claim only
/// a live record is newer.
fn is_newer(record: &Record, claims: &BTreeMap<instance::Id, (u64, u8)>) -> bool {
    let known = claim::precedence(record);
    match claims.get(&record.member.id) {
        Some(claim) => known > *claim,
        None => record.state.is_live(),
    }
}
