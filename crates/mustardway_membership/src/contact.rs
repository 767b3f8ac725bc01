//! Contacts: the peers that this instance exchanges heartbeats with.

use std::collections::{BTreeMap, BTreeSet};

use mustardway_types::instance;
use mustardway_types::time::{Instant, Span};

/// Greatest number of contacts up to which a peer may add itself by asking to be
/// watched.
const CONTACTS_MAX: usize = 64;

/// A peer that this instance exchanges heartbeats with.
#[derive(Debug)]
pub(crate) struct Contact {
    /// Whether the peer is a neighbour on one of this instance's rings.
    pub(crate) neighbour: bool,
    /// Time at which the peer last asked this instance to watch it, as its
    /// neighbour.
    pub(crate) watch_requested: Option<Instant>,
    /// Time at which the peer was last heard. For a new contact it is the time at
    /// which the silence starts to count.
    pub(crate) last_heard: Instant,
    /// Latest sequence number received from the peer, or 0 if there is none.
    pub(crate) sequence: u64,
    /// Incarnation of the peer that the sequence number belongs to.
    pub(crate) incarnation: u64,
    /// Whether the peer has not answered yet, so that heartbeats carry this
    /// instance's own entry.
    pub(crate) needs_introduction: bool,
    /// Time since which the peer's digest has differed from the local one.
    pub(crate) differs_since: Option<Instant>,
    /// Times of the first and the latest query about the peer in the present
    /// silence.
    pub(crate) queried: Option<(Instant, Instant)>,
    /// Whether the connection to the peer was lost and it was not heard since.
    pub(crate) link_down: bool,
    /// Instances whose changes are still to be gossiped to the peer.
    pub(crate) pending: BTreeSet<instance::Id>,
    /// Earliest time of the next gossip to the peer.
    pub(crate) next_push: Instant,
}

impl Contact {
    fn new(now: Instant) -> Self {
        Contact {
            neighbour: false,
            watch_requested: None,
            last_heard: now,
            sequence: 0,
            incarnation: 0,
            needs_introduction: true,
            differs_since: None,
            queried: None,
            link_down: false,
            pending: BTreeSet::new(),
            next_push: now,
        }
    }

    /// Records that the peer was heard at `at`, which ends its silence.
    pub(crate) fn record_heard(&mut self, at: Instant) {
        self.last_heard = self.last_heard.max(at);
        self.queried = None;
        self.link_down = false;
    }
}

/// All contacts by name.
#[derive(Debug, Default)]
pub(crate) struct Contacts {
    map: BTreeMap<instance::Id, Contact>,
}

impl Contacts {
    /// Returns the contact of a peer.
    pub(crate) fn get(&self, id: &instance::Id) -> Option<&Contact> {
        self.map.get(id)
    }

    /// Returns the contact of a peer for modification.
    pub(crate) fn get_mut(&mut self, id: &instance::Id) -> Option<&mut Contact> {
        self.map.get_mut(id)
    }

    /// Returns all contacts, sorted by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&instance::Id, &Contact)> {
        self.map.iter()
    }

    /// Returns all contacts for modification, sorted by name.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&instance::Id, &mut Contact)> {
        self.map.iter_mut()
    }

    /// Returns the names of all contacts, sorted.
    pub(crate) fn ids(&self) -> Vec<instance::Id> {
        self.map.keys().cloned().collect()
    }

    /// Replaces the neighbours by `ids`. New contacts count as last heard at the
    /// given times.
    pub(crate) fn set_neighbours(&mut self, ids: Vec<(instance::Id, Instant)>) {
        for contact in self.map.values_mut() {
            contact.neighbour = false;
        }
        for (id, heard) in ids {
            let contact = self.map.entry(id).or_insert_with(|| Contact::new(heard));
            contact.neighbour = true;
        }
    }

    /// Records that a peer asks this instance to watch it. A new peer is ignored
    /// while there are `CONTACTS_MAX` contacts or more.
    pub(crate) fn record_watch_request(&mut self, id: &instance::Id, now: Instant) {
        if !self.map.contains_key(id) && self.map.len() >= CONTACTS_MAX {
            return;
        }
        let contact = self.map.entry(id.clone()).or_insert_with(|| Contact::new(now));
        contact.watch_requested = Some(now);
    }

    /// Removes the contact of a peer.
    pub(crate) fn remove(&mut self, id: &instance::Id) {
        self.map.remove(id);
    }

    /// Removes and returns the contacts that are no neighbours and have not asked
    /// to be watched within `lease`.
    pub(crate) fn expire(&mut self, lease: Span, now: Instant) -> Vec<instance::Id> {
        let mut ended = Vec::new();
        for (id, contact) in &self.map {
            let watched = contact.watch_requested.is_some_and(|at| now.since(at) < lease);
            // A silent peer is kept until the queries about it are settled.
            if contact.neighbour || watched || contact.queried.is_some() {
                continue;
            }
            ended.push(id.clone());
        }
        for id in &ended {
            self.map.remove(id);
        }
        ended
    }

    /// Counts every contact as just heard, after a pause of this instance.
    pub(crate) fn reset_silence(&mut self, now: Instant) {
        for contact in self.map.values_mut() {
            contact.record_heard(now);
            contact.watch_requested = contact.watch_requested.map(|_| now);
        }
    }

    /// Allows gossip to every contact at once.
    pub(crate) fn allow_push_now(&mut self, now: Instant) {
        for contact in self.map.values_mut() {
            contact.next_push = now;
        }
    }

    /// Queues a change of `id` for gossip to all contacts but `id` and `except`.
    pub(crate) fn queue_change(&mut self, id: &instance::Id, except: Option<&instance::Id>) {
        for (peer, contact) in &mut self.map {
            if Some(peer) == except || peer == id {
                continue;
            }
            contact.pending.insert(id.clone());
        }
    }
}
