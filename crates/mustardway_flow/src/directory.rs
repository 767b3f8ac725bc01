//! Published routes and targets, with the state kept for each target.
//!
//! Each target has a token of its own. Where two targets have an equal candidate for
//! their tokens, the one that started first uses it, so a target that is added never
//! gets the packets of flows at another one. All instances choose alike, also those
//! that have just started.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::{Arc, OnceLock};

use compact_str::CompactString;
use mustardway_load::key;
use mustardway_mirror::departed::RETENTION;
use mustardway_mirror::publication::{
    Change, Configuration, Departure, Item, Key, Registration, Route,
};
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, service, target};
use rustc_hash::FxHashMap;

use crate::health::Tracker;
use crate::note::Note;
use crate::observation::Observation;
use crate::slow_start::Pacer;
use crate::token::Token;

/// Time for which a target that was unregistered without notice still gets new flows.
/// Registrations that expire while the platform is unavailable are renewed within
/// about two seconds of its return.
pub const REGISTRATION_GRACE: Span = Span::millis(2_500);
/// Number of candidates for a target's token that packets of its flows may carry.
const TOKEN_CANDIDATES: u64 = 2;

/// A target and the state kept for it.
#[derive(Debug)]
pub struct Target {
    /// The registration as published.
    pub registration: Registration,
    /// Identifier of the target inside packets.
    pub token: Token,
    /// Identifier of this lifetime of the target in load estimates.
    pub key: key::Target,
    /// Time at which this instance learned of this lifetime, if another one was known.
    pub started: Instant,
    /// Ratio of the expected time until a proper answer to that of an unknown target.
    pub time_factor: f64,
    /// Time at which the registration vanished.
    pub unregistered_at: Option<Instant>,
    /// Time until which the target is cold: it has just started and works slowly.
    pub cold_until: Instant,
    /// What callers' packets show about the target.
    pub observation: Observation,
    /// Health status and probe schedule.
    pub health: Tracker,
    /// Spaces new flows while the target is cold.
    pub pacer: Pacer,
}

impl Target {
    fn new(registration: Registration, now: Instant) -> Self {
        Target {
            token: Token::of(&registration.id),
            key: key::Target::of(&registration.id, registration.born),
            started: Instant::default(),
            time_factor: 1.0,
            unregistered_at: None,
            cold_until: now + registration.cold,
            observation: Observation::default(),
            health: Tracker::default(),
            pacer: Pacer::default(),
            registration,
        }
    }

    /// Returns whether a token names this target without the mark of ambiguous flows.
    pub fn is_named_by(&self, token: Token) -> bool {
        token == self.token
            || (0..TOKEN_CANDIDATES)
                .any(|number| token == Token::candidate(&self.registration.id, number))
    }

    /// Returns the order in which targets choose their tokens: that of their starts.
    fn seniority(&self) -> (u64, &target::Id) {
        (self.registration.born.unwrap_or(u64::MAX), &self.registration.id)
    }
}

/// Health check, slow start and targets of one service.
#[derive(Debug, Clone, Default)]
struct Service {
    health_path: CompactString,
    cold_rate: Option<u32>,
    indexes: Vec<usize>,
}

/// Published routes and targets. Targets have stable indexes, which are reused once a
/// target is removed.
#[derive(Debug, Default)]
pub struct Directory {
    configuration: Option<Arc<Configuration>>,
    routes: FxHashMap<SocketAddrV4, usize>,
    /// Services to which the route of an address leads or has ever led.
    routed_services: FxHashMap<SocketAddrV4, Vec<service::Name>>,
    services: FxHashMap<service::Name, Service>,
    evacuated: BTreeSet<domain::Name>,
    targets: Vec<Option<Target>>,
    /// Indexes that can be reused.
    free: Vec<usize>,
    ids: BTreeMap<target::Id, usize>,
    /// Indexes by the tokens in use, without the bit that marks ambiguous flows.
    tokens: FxHashMap<Token, usize>,
    /// Targets whose first candidate is the token of an older target, oldest first.
    displaced: Vec<usize>,
    /// Indexes by the candidates that are not in use, without the bit that marks
    /// ambiguous flows. Computed when a token in no use is looked up.
    unused_tokens: OnceLock<FxHashMap<Token, usize>>,
    /// Whether the lookup tables by token and by service are out of date.
    is_index_stale: bool,
}

impl Directory {
    /// Applies changes of the published state and returns the decisions to log.
    pub fn apply(&mut self, changes: Vec<Change>, now: Instant) -> Vec<Note> {
        let notes =
            changes.into_iter().filter_map(|change| self.apply_change(change, now)).collect();
        self.rebuild_indexes();
        notes
    }

    fn apply_change(&mut self, change: Change, now: Instant) -> Option<Note> {
        match change {
            Change::Put(Item::Configuration(configuration)) => Some(self.configure(configuration)),
            Change::Put(Item::Target(registration)) => self.register(registration, now),
            Change::Put(Item::Evacuated(domain)) => {
                self.evacuated.insert(domain.clone());
                Some(Note::Evacuated { domain, out: true })
            }
            Change::Removed(Key::Target(id)) => self.unregister(id, now),
            Change::Removed(Key::Evacuated(domain)) => {
                self.evacuated.remove(&domain);
                Some(Note::Evacuated { domain, out: false })
            }
            // The last configuration stays in force until it is replaced.
            Change::Removed(Key::Configuration) => None,
        }
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_deref()
    }

    /// Returns whether a configuration is known.
    pub fn is_configured(&self) -> bool {
        self.configuration.is_some()
    }

    /// Returns the route of an address.
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        let index = *self.routes.get(&address)?;
        self.configuration.as_ref()?.routes.get(index)
    }

    /// Returns whether the route of an address leads to a service or has ever led to
    /// it.
    pub fn has_routed_to(&self, address: SocketAddrV4, service: &service::Name) -> bool {
        self.routed_services.get(&address).is_some_and(|services| services.contains(service))
    }

    /// Returns the configured time without packets after which a flow may be
    /// discarded.
    pub fn idle_timeout(&self) -> Option<Span> {
        self.configuration.as_ref().map(|configuration| configuration.idle)
    }

    /// Returns whether a failure domain is evacuated and gets no new flows.
    pub fn is_evacuated(&self, domain: &domain::Name) -> bool {
        self.evacuated.contains(domain)
    }

    /// Returns the indexes of the targets of a service.
    pub fn indexes_of_service(&self, service: &service::Name) -> &[usize] {
        self.services.get(service).map_or(&[], |service| &service.indexes)
    }

    /// Returns the requests per second that a cold target of a service can handle, if
    /// limited.
    pub fn cold_rate(&self, service: &service::Name) -> Option<u32> {
        self.services.get(service)?.cold_rate
    }

    /// Returns the path of a service's health check.
    pub fn health_path(&self, service: &service::Name) -> Option<&CompactString> {
        self.services.get(service).map(|service| &service.health_path)
    }

    /// Returns the target at an index.
    pub fn get(&self, index: usize) -> Option<&Target> {
        self.targets.get(index)?.as_ref()
    }

    /// Returns the target at an index, to update its state.
    pub fn get_mut(&mut self, index: usize) -> Option<&mut Target> {
        self.targets.get_mut(index)?.as_mut()
    }

    /// Returns the index of the target that a token names. `is_gone` tells of the time at
    /// which a target was unregistered whether the target has ended since.
    pub fn index_of_token(&self, token: Token, is_gone: impl Fn(Instant) -> bool) -> Option<usize> {
        let token = token.without_mark();
        let Some(index) = self.tokens.get(&token).copied() else {
            return self.unused_tokens().get(&token).copied();
        };
        let unregistered_at = self.get(index).and_then(|target| target.unregistered_at);
        if !unregistered_at.is_some_and(is_gone) {
            return Some(index);
        }
        // Instances that have started since do not know the target that is gone, and use
        // its token for another one.
        let mut displaced = self.displaced.iter().copied();
        let successor = displaced.find(|index| {
            self.get(*index).is_some_and(|target| {
                let first = Token::of(&target.registration.id).without_mark();
                first == token && target.unregistered_at.is_none()
            })
        });
        successor.or(Some(index))
    }

    /// Returns the indexes by candidate of the candidates that are not in use. A target
    /// changes its token if an older one with the same candidate becomes known or is
    /// forgotten, which not all instances notice at the same time.
    fn unused_tokens(&self) -> &FxHashMap<Token, usize> {
        self.unused_tokens.get_or_init(|| {
            let mut unused = FxHashMap::default();
            for (id, index) in &self.ids {
                for number in 0..TOKEN_CANDIDATES {
                    let token = Token::candidate(id, number).without_mark();
                    if !self.tokens.contains_key(&token) {
                        unused.entry(token).or_insert(*index);
                    }
                }
            }
            unused
        })
    }

    /// Returns the index of a target.
    pub fn index_of(&self, id: &target::Id) -> Option<usize> {
        self.ids.get(id).copied()
    }

    /// Returns the indexes of all targets.
    pub fn indexes(&self) -> impl Iterator<Item = usize> {
        self.ids.values().copied()
    }

    /// Returns the indexes of the targets in a failure domain.
    pub fn indexes_in_domain(&self, domain: &domain::Name) -> Vec<usize> {
        let is_in = |index: &usize| {
            self.get(*index).is_some_and(|target| target.registration.domain == *domain)
        };
        self.ids.values().copied().filter(is_in).collect()
    }

    /// Removes targets that were unregistered long ago and have no flows.
    pub fn remove_expired(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for (id, index) in &self.ids {
            let Some(target) = self.get(*index) else { continue };
            let is_expired =
                target.unregistered_at.is_some_and(|since| now.since(since) >= RETENTION);
            if is_expired && target.observation.flows == 0 {
                expired.push((id.clone(), *index));
            }
        }
        for (id, index) in expired {
            self.ids.remove(&id);
            self.targets[index] = None;
            self.free.push(index);
            self.is_index_stale = true;
        }
        self.rebuild_indexes();
    }

    fn configure(&mut self, configuration: Arc<Configuration>) -> Note {
        self.routes.clear();
        for (index, route) in configuration.routes.iter().enumerate() {
            self.routes.insert(route.address, index);
            let routed_services = self.routed_services.entry(route.address).or_default();
            for share in &route.shares {
                if !routed_services.contains(&share.service) {
                    routed_services.push(share.service.clone());
                }
            }
        }
        for service in &configuration.services {
            let known = self.services.entry(service.name.clone()).or_default();
            known.health_path = service.health.clone();
            known.cold_rate = service.cold_rate;
        }
        let note =
            Note::Configured { version: configuration.version, routes: configuration.routes.len() };
        self.configuration = Some(configuration);
        note
    }

    fn register(&mut self, registration: Registration, now: Instant) -> Option<Note> {
        let cold_until = now + registration.cold;
        let id = registration.id.clone();
        let leaving = registration.leaving;
        let Some(index) = self.index_of(&id) else {
            self.insert(id.clone(), Target::new(registration, now));
            return Some(Note::Registered { target: id, leaving });
        };
        let known = self.get_mut(index)?;
        let was = std::mem::replace(&mut known.registration, registration);
        let was_unregistered = known.unregistered_at.take().is_some();
        known.cold_until = cold_until;
        let is_restarted = was.born != known.registration.born;
        if is_restarted {
            known.health = Tracker::default();
            known.key = key::Target::of(&known.registration.id, known.registration.born);
            known.started = now;
            known.time_factor = 1.0;
            known.observation.deprioritised_until = None;
        }
        if is_restarted || was.service != known.registration.service {
            self.is_index_stale = true;
        }
        let is_notable = is_restarted || was_unregistered || was.leaving != leaving;
        is_notable.then_some(Note::Registered { target: id, leaving })
    }

    /// Adds targets that were unregistered before this instance started, with the
    /// time since then.
    pub fn restore_departed(&mut self, departures: Vec<Departure>, now: Instant) {
        for Departure { registration, age } in departures {
            if self.index_of(&registration.id).is_some() || age >= RETENTION {
                continue;
            }
            let mut target = Target::new(registration, now);
            target.unregistered_at = Some(now - age);
            self.insert(target.registration.id.clone(), target);
        }
        self.rebuild_indexes();
    }

    fn unregister(&mut self, id: target::Id, now: Instant) -> Option<Note> {
        let index = self.index_of(&id)?;
        self.get_mut(index)?.unregistered_at = Some(now);
        Some(Note::Unregistered { target: id })
    }

    fn insert(&mut self, id: target::Id, target: Target) {
        let index = self.free.pop().unwrap_or(self.targets.len());
        if index == self.targets.len() {
            self.targets.push(None);
        }
        self.targets[index] = Some(target);
        self.ids.insert(id, index);
        self.is_index_stale = true;
    }

    /// Rebuilds the lookup tables by token and by service.
    fn rebuild_indexes(&mut self) {
        if !std::mem::take(&mut self.is_index_stale) {
            return;
        }
        for service in self.services.values_mut() {
            service.indexes.clear();
        }
        for index in self.ids.values() {
            let Some(target) = &self.targets[*index] else { continue };
            let service = self.services.entry(target.registration.service.clone()).or_default();
            service.indexes.push(*index);
        }
        self.assign_tokens();
    }

    /// Assigns each target the first of its candidate tokens that no older target uses.
    fn assign_tokens(&mut self) {
        self.unused_tokens.take();
        self.displaced.clear();
        self.tokens.clear();
        for (id, index) in &self.ids {
            self.tokens.insert(Token::of(id).without_mark(), *index);
        }
        let has_duplicates = self.tokens.len() < self.ids.len();
        let mut indexes: Vec<usize> = self.ids.values().copied().collect();
        if has_duplicates {
            indexes.sort_by_key(|index| self.get(*index).map(Target::seniority));
            self.tokens.clear();
        }
        for index in indexes {
            let Some(target) = &mut self.targets[index] else { continue };
            target.token = Token::of(&target.registration.id);
            if !has_duplicates {
                continue;
            }
            let mut number = 0;
            while self.tokens.contains_key(&target.token.without_mark()) {
                number += 1;
                target.token = Token::candidate(&target.registration.id, number);
            }
            self.tokens.insert(target.token.without_mark(), index);
            if number > 0 {
                self.displaced.push(index);
            }
        }
    }
}
