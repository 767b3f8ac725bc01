//! Suspicion of silent contacts: others are queried before one is declared dead.
//!
//! A watcher that hears nothing from a contact queries the contact's other
//! watchers and a few instances of other failure domains. An instance that has
//! heard the contact vouches for it. Any other probes the contact and vouches for
//! it if it answers. So a broken link, or a cut between two domains that a third
//! domain still reaches, does not get a live instance declared dead.

use mustardway_types::instance::{self, Incarnation};
use mustardway_types::time::{Instant, Span};
use rand::RngExt;

use crate::action::Action;
use crate::gossip;
use crate::heartbeat::Kind;
use crate::member::State;
use crate::message::{Body, Entry, Gossip, Query, Vouch};
use crate::node::Node;
use crate::ring;

/// Random instances of other failure domains that are queried in addition to the
/// other watchers.
const EXTRA_HELPERS: usize = 2;
/// Greatest number of indirect probes under way at a time.
const INDIRECT_PROBES_MAX: usize = 64;

/// A probe of `subject` on behalf of `requester`.
#[derive(Debug)]
pub(crate) struct IndirectProbe {
    subject: instance::Id,
    requester: instance::Id,
    deadline: Instant,
}

impl Node {
    /// Queries other instances about silent contacts, and declares a contact dead
    /// after a lease of silence if the first query is at least a third of a lease
    /// old. An instance whose heartbeats of the last half lease no peer has answered
    /// declares nobody dead, since it is probably cut off or slow itself.
    pub(crate) fn check_silent_contacts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let lease = self.settings.lease;
        let third = Span(lease.0 / 3);
        let is_answered = self.round_trips.is_answered_since(now - Span(lease.0 / 2));
        self.indirect_probes.retain(|probe| now < probe.deadline);
        for id in self.contacts.ids() {
            let Some(contact) = self.contacts.get(&id) else { continue };
            let silence = now.since(contact.last_heard);
            let query_after = if contact.link_down { third } else { third + third };
            if silence < query_after {
                continue;
            }
            let queried = contact.queried;
            if queried.is_none_or(|(_, last)| now.since(last) >= self.settings.heartbeat) {
                self.query_helpers(&id, now, actions);
            }
            let queried_long = queried.is_some_and(|(first, _)| now.since(first) >= third);
            if silence < lease || !queried_long || !is_answered {
                continue;
            }
            self.counts.declared_dead += 1;
            self.table.set_state(&id, State::Dead, now);
            self.contacts.queue_change(&id, None);
        }
    }

    /// Answers whether this instance has recently heard `query.subject`. If it has
    /// not, it probes the subject and vouches later if the probe is answered.
    pub(crate) fn handle_query(
        &mut self,
        from: &instance::Id,
        query: &Query,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.record_any_heard(now);
        let Ok(subject) = query.subject.parse::<instance::Id>() else {
            self.counts.malformed += 1;
            return;
        };
        if self.is_me(&subject) {
            self.send_heartbeat(from, Kind::Introduction, now, actions);
            return;
        }
        let mut vouch = Vouch {
            subject: query.subject.clone(),
            incarnation: query.incarnation,
            heard: false,
            age_millis: 0,
        };
        let Some(record) = self.table.get(&subject) else {
            self.send(from, Body::Vouch(vouch), actions);
            return;
        };
        let same_incarnation = record.member.incarnation == Incarnation(query.incarnation);
        if !same_incarnation || !record.state.is_live() {
            if !record.presumed_dead {
                let entries = vec![Entry::new(record)];
                self.send(from, Body::Gossip(Gossip { entries }), actions);
            }
            return;
        }
        if self.heard_recently(&subject, now)
            && let Some(contact) = self.contacts.get(&subject)
        {
            vouch.heard = true;
            vouch.age_millis = now.since(contact.last_heard).as_millis();
            self.send(from, Body::Vouch(vouch), actions);
            return;
        }
        // Contacts hear this instance by its heartbeats anyway. Others learn from
        // the negative answer that they are not cut off.
        if self.contacts.get(from).is_none() {
            self.send(from, Body::Vouch(vouch), actions);
        }
        if self.indirect_probes.len() >= INDIRECT_PROBES_MAX {
            return;
        }
        let deadline = now + Span(self.settings.lease.0 / 3);
        self.indirect_probes.push(IndirectProbe {
            subject: subject.clone(),
            requester: from.clone(),
            deadline,
        });
        self.send_heartbeat(&subject, Kind::Probe, now, actions);
    }

    /// Ends the silence of a contact that another instance has heard within half a
    /// lease.
    pub(crate) fn handle_vouch(&mut self, _from: &instance::Id, vouch: &Vouch, now: Instant) {
        self.record_any_heard(now);
        let Ok(subject) = vouch.subject.parse::<instance::Id>() else {
            self.counts.malformed += 1;
            return;
        };
        let Some(record) = self.table.get(&subject) else { return };
        let same_incarnation = record.member.incarnation == Incarnation(vouch.incarnation);
        if !vouch.heard || !same_incarnation || !record.state.is_live() {
            return;
        }
        let suspect = record.state == State::Suspect;
        let half = Span(self.settings.lease.0 / 2);
        let age = Span::millis(vouch.age_millis.min(self.settings.lease.as_millis()));
        let Some(contact) = self.contacts.get_mut(&subject) else { return };
        if age > half || contact.queried.is_none() {
            return;
        }
        self.counts.suspicions_cleared += 1;
        contact.record_heard(now - age);
        if !contact.neighbour {
            self.contacts.remove(&subject);
        }
        if suspect {
            self.table.set_state(&subject, State::Alive, now);
        }
    }

    /// Vouches for `subject`, which was just heard, to those who queried it.
    pub(crate) fn answer_indirect_probes(
        &mut self,
        subject: &instance::Id,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.table.get(subject) else { return };
        let incarnation = record.member.incarnation.0;
        let mut indirect_probes = std::mem::take(&mut self.indirect_probes);
        indirect_probes.retain(|probe| {
            if probe.subject != *subject || now >= probe.deadline {
                return true;
            }
            let vouch =
                Vouch { subject: subject.to_string(), incarnation, heard: true, age_millis: 0 };
            self.send(&probe.requester, Body::Vouch(vouch), actions);
            false
        });
        self.indirect_probes = indirect_probes;
    }

    /// Queries other instances about a silent contact and probes the contact. From
    /// the second query on, the contact is suspect and more instances are queried.
    fn query_helpers(&mut self, id: &instance::Id, now: Instant, actions: &mut Vec<Action>) {
        let mut repeated = false;
        if let Some(contact) = self.contacts.get_mut(id) {
            repeated = contact.queried.is_some();
            let first = contact.queried.map_or(now, |(first, _)| first);
            contact.queried = Some((first, now));
        }
        if repeated && self.state(id) == Some(State::Alive) {
            self.table.set_state(id, State::Suspect, now);
        }
        let Some(record) = self.table.get(id) else { return };
        let query = Query { subject: id.to_string(), incarnation: record.member.incarnation.0 };
        let mut helpers = ring::neighbours(&self.table, record, self.links());
        if repeated {
            helpers.extend(self.sample_other_domains(id));
        }
        helpers.sort();
        helpers.dedup();
        for helper in helpers {
            let Some(record) = self.table.get(&helper) else { continue };
            if self.is_me(&helper) {
                continue;
            }
            let body = Body::Query(query.clone());
            actions.push(gossip::send(&helper, record.member.address, body));
        }
        self.send_heartbeat(id, Kind::Probe, now, actions);
    }

    /// Returns `EXTRA_HELPERS` random live instances outside the failure domain of
    /// `id`, chosen by reservoir sampling.
    fn sample_other_domains(&mut self, id: &instance::Id) -> Vec<instance::Id> {
        let Some(subject) = self.table.get(id) else { return Vec::new() };
        let domain = subject.member.domain.clone();
        let mut chosen: Vec<instance::Id> = Vec::new();
        let mut seen = 0;
        for record in self.table.iter() {
            let other = record.member.domain != domain && !self.is_me(&record.member.id);
            if !other || !record.state.is_live() {
                continue;
            }
            seen += 1;
            if chosen.len() < EXTRA_HELPERS {
                chosen.push(record.member.id.clone());
                continue;
            }
            let slot = self.rng.random_range(0..seen);
            if slot < EXTRA_HELPERS {
                chosen[slot] = record.member.id.clone();
            }
        }
        chosen
    }
}
