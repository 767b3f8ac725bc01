//! Peers that this instance exchanges heartbeats with.

use std::collections::{BTreeMap, BTreeSet};

use mustardway_types::instance;
use mustardway_types::time::{Instant, Span};

/// Greatest number of peers that may name this instance their neighbour.
const CONTACTS_MAX: usize = 64;

/// One peer that this instance exchanges heartbeats with.
#[derive(Debug)]
pub(crate) struct Contact {
    /// A neighbour on one of this instance's rings.
    pub(crate) neighbour: bool,
    /// When it last named this instance its neighbour.
    pub(crate) watch_requested: Option<Instant>,
    /// When it was last heard, or when this instance began to listen.
    pub(crate) last_heard: Instant,
    /// Latest sequence number heard from it.
    pub(crate) sequence: u64,
    /// Incarnation that the sequence number belongs to.
    pub(crate) incarnation: u64,
    /// It has not answered yet, so heartbeats tell it who sends them.
    pub(crate) needs_introduction: bool,
    /// Since when its digest differs from the one here.
    pub(crate) differs_since: Option<Instant>,
    /// When others were first and last asked about it in this silence.
    pub(crate) queried: Option<(Instant, Instant)>,
    /// Its connection was lost.
    pub(crate) link_down: bool,
    /// Instances whose change it has not been told yet.
    pub(crate) pending: BTreeSet<instance::Id>,
    /// When it may next be sent changes.
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

    /// Forgets the silence before `at`.
    pub(crate) fn record_heard(&mut self, at: Instant) {
        self.last_heard = self.last_heard.max(at);
        self.queried = None;
        self.link_down = false;
    }
}

/// All peers that this instance exchanges heartbeats with.
#[derive(Debug, Default)]
pub(crate) struct Contacts {
    map: BTreeMap<instance::Id, Contact>,
}

impl Contacts {
    /// The contact of a peer.
    pub(crate) fn get(&self, id: &instance::Id) -> Option<&Contact> {
        self.map.get(id)
    }

    /// The contact of a peer, to change.
    pub(crate) fn get_mut(&mut self, id: &instance::Id) -> Option<&mut Contact> {
        self.map.get_mut(id)
    }

    /// All contacts in the order of their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&instance::Id, &Contact)> {
        self.map.iter()
    }

    /// All contacts, to change.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&instance::Id, &mut Contact)> {
        self.map.iter_mut()
    }

    /// Names of all contacts.
    pub(crate) fn ids(&self) -> Vec<instance::Id> {
        self.map.keys().cloned().collect()
    }

    /// Takes `ids` as the neighbours from now on. New ones count as heard at
    /// the time that goes with them.
    pub(crate) fn set_neighbours(&mut self, ids: Vec<(instance::Id, Instant)>) {
        for contact in self.map.values_mut() {
            contact.neighbour = false;
        }
        for (id, heard) in ids {
            let contact = self.map.entry(id).or_insert_with(|| Contact::new(heard));
            contact.neighbour = true;
        }
    }

    /// Notes that a peer names this instance its neighbour.
    pub(crate) fn record_watch_request(&mut self, id: &instance::Id, now: Instant) {
        if !self.map.contains_key(id) && self.map.len() >= CONTACTS_MAX {
            return;
        }
        let contact = self.map.entry(id.clone()).or_insert_with(|| Contact::new(now));
        contact.watch_requested = Some(now);
    }

    /// Ends the contact with a peer.
    pub(crate) fn remove(&mut self, id: &instance::Id) {
        self.map.remove(id);
    }

    /// Ends contacts that neither side names a neighbour within `lease`.
    pub(crate) fn expire(&mut self, lease: Span, now: Instant) -> Vec<instance::Id> {
        let mut ended = Vec::new();
        for (id, contact) in &self.map {
            let watched = contact.watch_requested.is_some_and(|at| now.since(at) < lease);
            // A silent claimant is kept until its silence is explained.
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

    /// Starts every contact anew after a pause of this instance.
    pub(crate) fn reset_silence(&mut self, now: Instant) {
        for contact in self.map.values_mut() {
            contact.record_heard(now);
            contact.watch_requested = contact.watch_requested.map(|_| now);
        }
    }

    /// Lets every contact be told at once.
    pub(crate) fn allow_push_now(&mut self, now: Instant) {
        for contact in self.map.values_mut() {
            contact.next_push = now;
        }
    }

    /// Notes a change that all contacts but `except` are to be told.
    pub(crate) fn queue_change(&mut self, id: &instance::Id, except: Option<&instance::Id>) {
        for (peer, contact) in &mut self.map {
            if Some(peer) == except || peer == id {
                continue;
            }
            contact.pending.insert(id.clone());
        }
    }
}
