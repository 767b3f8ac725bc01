//! The state machine of one instance.

use std::collections::{BTreeMap, BTreeSet};

use mustardway_types::domain;
use mustardway_types::instance::{self, Incarnation};
use mustardway_types::revision;
use mustardway_types::time::{Instant, Span};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::action::Action;
use crate::claim::PendingDeath;
use crate::contact::Contacts;
use crate::count::Counts;
use crate::event::Event;
use crate::fence::Fence;
use crate::gossip::Budget;
use crate::heartbeat::Kind;
use crate::member::{Record, State};
use crate::message::{Body, Message};
use crate::ring::{self, Links};
use crate::roster;
use crate::round_trips::RoundTrips;
use crate::settings::Settings;
use crate::suspicion::IndirectProbe;
use crate::table::Table;

/// Greatest number of roster entries that are read; further ones are ignored.
const ROSTER_MAX: usize = 8_192;
/// Time between two removals of old records.
const FORGET_INTERVAL: Span = Span::seconds(10);
/// Bound of the random first sequence number, so that the numbers of different
/// runs of the process start apart.
const SEQUENCE_START: u32 = 1 << 24;

/// Membership as seen by one instance.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg32,
    pub(crate) table: Table,
    pub(crate) contacts: Contacts,
    pub(crate) roster: BTreeMap<instance::Id, roster::Entry>,
    pub(crate) indirect_probes: Vec<IndirectProbe>,
    pub(crate) pending_deaths: BTreeMap<instance::Id, PendingDeath>,
    pub(crate) revision: Revision,
    pub(crate) budget: Budget,
    pub(crate) counts: Counts,
    pub(crate) sequence: u64,
    pub(crate) started: Instant,
    pub(crate) last_event: Instant,
    pub(crate) last_heard: Option<Instant>,
    pub(crate) silent_since: Instant,
    pub(crate) round_trips: RoundTrips,
    pub(crate) fence: Option<Fence>,
    pub(crate) superseded: bool,
    pub(crate) joined: bool,
    pub(crate) next_heartbeat: Instant,
    pub(crate) next_probe: Instant,
    pub(crate) next_sync: Instant,
    next_forget: Instant,
    linked_version: Option<u64>,
    left: bool,
}

/// The configuration in force, as given by the latest [`Event::Revision`].
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Revision {
    pub(crate) number: revision::Number,
    pub(crate) digest: revision::Digest,
    pub(crate) age: Span,
    pub(crate) at: Instant,
}

impl Node {
    /// Creates the state of an instance that starts `now`.
    pub fn new(settings: Settings, now: Instant) -> Self {
        let mut rng = Pcg32::seed_from_u64(settings.seed ^ settings.me.incarnation.0);
        let mut table = Table::new();
        let base_incarnation = settings.me.incarnation;
        table.put(settings.me.clone(), base_incarnation, State::Alive, now);
        let phase = Span(rng.random_range(0..settings.heartbeat.0.max(1)));
        Node {
            table,
            contacts: Contacts::default(),
            roster: BTreeMap::new(),
            indirect_probes: Vec::new(),
            pending_deaths: BTreeMap::new(),
            revision: Revision::default(),
            budget: Budget::new(settings.gossip_bytes_per_second, now),
            counts: Counts::default(),
            sequence: u64::from(rng.random_range(1..SEQUENCE_START)),
            started: now,
            last_event: now,
            last_heard: None,
            silent_since: now,
            round_trips: RoundTrips::default(),
            fence: None,
            superseded: false,
            joined: false,
            next_heartbeat: now + phase,
            next_probe: now,
            next_sync: now,
            next_forget: now + FORGET_INTERVAL,
            linked_version: None,
            left: false,
            rng,
            settings,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`. After
    /// [`Event::Left`] all events are ignored.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        if self.left {
            return;
        }
        self.detect_pause(now);
        let version = self.table.version();
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Roster(entries) => self.set_roster(entries),
            Event::Received { from, message } => self.receive(&from, message, now, actions),
            Event::LinkDown(id) => self.mark_link_down(&id),
            Event::Leave => self.set_own_state(State::Leaving, false, now),
            Event::Return => self.set_own_state(State::Alive, true, now),
            Event::Left => self.set_own_state(State::Left, false, now),
            Event::Revision { number, digest, age } => {
                self.revision = Revision { number, digest, age, at: now };
            }
        }
        self.push_changes(now, actions);
        self.left = self.me().state == State::Left;
        if self.table.version() != version {
            actions.push(Action::Changed);
        }
    }

    /// Returns all live records, including this instance's own.
    pub fn live(&self) -> impl Iterator<Item = &Record> {
        self.table.iter().filter(|record| record.state.is_live())
    }

    /// Returns all records, including those of instances that are dead or have
    /// left.
    pub fn members(&self) -> impl Iterator<Item = &Record> {
        self.table.iter()
    }

    /// Returns the names of the live instances of a failure domain, sorted.
    pub fn live_in<'a>(
        &'a self,
        domain: &'a domain::Name,
    ) -> impl Iterator<Item = &'a instance::Id> {
        let live = self.live().filter(move |record| record.member.domain == *domain);
        live.map(|record| &record.member.id)
    }

    /// Returns the record of an instance.
    pub fn record(&self, id: &instance::Id) -> Option<&Record> {
        self.table.get(id)
    }

    /// Returns the believed state of an instance.
    pub fn state(&self, id: &instance::Id) -> Option<State> {
        self.table.get(id).map(|record| record.state)
    }

    /// Returns this instance's own record.
    pub fn me(&self) -> &Record {
        self.table.get(&self.settings.me.id).expect("own record is never forgotten")
    }

    /// Returns the live peers that heartbeats are exchanged with, as of the latest
    /// tick.
    pub fn neighbours(&self) -> Vec<instance::Id> {
        let mut ids = self.contacts.ids();
        ids.retain(|id| self.state(id).is_some_and(State::is_live));
        ids
    }

    /// Returns a number that grows with every change of the live list or of a
    /// state.
    pub fn version(&self) -> u64 {
        self.table.version()
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns whether this instance is fenced, that is, must not act as an owner.
    pub fn fenced(&self, now: Instant) -> bool {
        let half = Span(self.settings.lease.0 / 2);
        let paused = now.since(self.last_event) > half;
        let cut_off = self.table.live() > 1 && now.since(self.silent_since) >= half;
        self.left || self.superseded || self.fence.is_some() || paused || cut_off
    }

    /// Returns whether the live list is reliable: it has once been the same as a
    /// peer's, or no peer was heard within a lease of the start. Two leases after
    /// the start it counts as reliable in any case.
    pub fn ready(&self, now: Instant) -> bool {
        let lease = self.settings.lease;
        match self.last_heard {
            None => now.since(self.started) >= lease,
            Some(_) => self.joined || now.since(self.started) >= lease + lease,
        }
    }

    /// Returns the number of neighbours on each side of the rings.
    pub(crate) fn links(&self) -> Links {
        Links { domain: self.settings.domain_links, cross: self.settings.cross_links }
    }

    /// Returns whether `id` is this instance.
    pub(crate) fn is_me(&self, id: &instance::Id) -> bool {
        *id == self.settings.me.id
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.update_contacts(now, actions);
        self.check_silent_contacts(now, actions);
        self.declare_unrefuted_deaths(now);
        self.check_isolation(now);
        self.lift_fence_when_alone(now);
        self.update_contacts(now, actions);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.settings.heartbeat;
            self.heartbeat_all(now, actions);
        }
        self.probe(now, actions);
        self.start_sync(now, actions);
        if now < self.next_forget {
            return;
        }
        self.next_forget = now + FORGET_INTERVAL;
        self.table.forget(self.settings.dead_retention, self.settings.left_retention, now);
    }

    fn receive(
        &mut self,
        from: &instance::Id,
        message: Message,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.is_me(from) {
            return;
        }
        let Some(body) = message.body else {
            self.counts.without_body += 1;
            return;
        };
        match body {
            Body::Heartbeat(heartbeat) => self.handle_heartbeat(from, &heartbeat, now, actions),
            Body::Gossip(gossip) => self.handle_gossip(from, &gossip.entries, now, actions),
            Body::Query(query) => self.handle_query(from, &query, now, actions),
            Body::Vouch(vouch) => self.handle_vouch(from, &vouch, now),
            Body::Summary(summary) => self.handle_summary(from, &summary, now, actions),
            Body::Table(table) => self.handle_table(from, &table, now, actions),
        }
    }

    fn set_roster(&mut self, entries: Vec<roster::Entry>) {
        self.roster.clear();
        for entry in entries.into_iter().take(ROSTER_MAX) {
            self.roster.insert(entry.id.clone(), entry);
        }
        if self.last_heard.is_none() {
            self.next_probe = Instant::default();
        }
        let ids: Vec<_> = self.table.iter().map(|record| record.member.id.clone()).collect();
        for id in ids {
            let leaving = self.roster.get(&id).is_some_and(|entry| entry.leaving);
            self.table.set_listed_leaving(&id, leaving);
        }
    }

    fn mark_link_down(&mut self, id: &instance::Id) {
        let Some(contact) = self.contacts.get_mut(id) else { return };
        contact.link_down = true;
    }

    fn set_own_state(&mut self, state: State, raise: bool, now: Instant) {
        let me = self.me();
        if me.state == state {
            return;
        }
        let id = me.member.id.clone();
        let incarnation = Incarnation(me.member.incarnation.0 + u64::from(raise));
        self.table.raise_incarnation(&id, incarnation, state, now);
        self.contacts.queue_change(&id, None);
        if state == State::Left {
            self.contacts.allow_push_now(now);
            self.budget.refill();
        }
    }

    /// Removes ended contacts, which get a last heartbeat, and chooses the
    /// neighbours again if the table has changed. New neighbours from a domain with
    /// a recent death start two thirds of a lease into their silence, so that they
    /// are queried at once.
    fn update_contacts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let ended = self.contacts.expire(self.settings.lease, now);
        for id in ended {
            self.send_heartbeat(&id, Kind::Regular, now, actions);
        }
        if self.linked_version == Some(self.table.version()) {
            return;
        }
        self.linked_version = Some(self.table.version());
        for id in self.contacts.ids() {
            let live = self.table.get(&id).is_some_and(|record| record.state.is_live());
            if !live {
                self.contacts.remove(&id);
            }
        }
        let neighbours = ring::neighbours(&self.table, self.me(), self.links());
        let recent_deaths = self.domains_with_recent_deaths(now);
        let head_start = Span(self.settings.lease.0 * 2 / 3);
        let mut heard = Vec::new();
        for id in neighbours {
            let domain = self.table.get(&id).map(|record| &record.member.domain);
            let domain_lost_instance = domain.is_some_and(|domain| recent_deaths.contains(domain));
            heard.push((id, if domain_lost_instance { now - head_start } else { now }));
        }
        self.contacts.set_neighbours(heard);
        self.bring_probe_forward(now);
    }

    /// Returns the failure domains with a death in the last two leases. Their
    /// instances are queried as soon as they become neighbours. Otherwise a domain
    /// that is cut off would be detected ring neighbour by ring neighbour, at one
    /// lease each.
    fn domains_with_recent_deaths(&self, now: Instant) -> BTreeSet<domain::Name> {
        let lease = self.settings.lease;
        let mut domains = BTreeSet::new();
        for record in self.table.iter() {
            if record.state != State::Dead || now.since(record.changed) >= lease + lease {
                continue;
            }
            if !domains.contains(&record.member.domain) {
                domains.insert(record.member.domain.clone());
            }
        }
        domains
    }
}
