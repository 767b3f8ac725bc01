//! The view in force and what routing needs to know of earlier ones.
//!
//! A view is adopted only if its revision is greater than the one in force, so
//! that an instance never goes back. While views differ between instances, for
//! [`PREVIOUS_RETENTION`], the earlier view is kept, and an address that has changed its
//! service is quarantined for [`QUARANTINE_PERIOD`]: until then another instance may
//! still act on the old one. The services that an address had before are kept
//! longer, for flows that are still established there.
//!
//! An instance that starts has no earlier view to compare with. It takes over
//! what its peers still hold in quarantine with [`History::quarantine`].

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use displaydoc::Display;
use mustardway_types::{address, domain, revision, service, time};

use crate::change::{self, Change};
use crate::model::{DomainState, View};

/// Longest time until an accepted view is in force at every instance that is reached.
pub const PROPAGATION_MAX: time::Span = time::Span::seconds(6);
/// Time on top for late clocks and packets on their way.
pub const PROPAGATION_MARGIN: time::Span = time::Span::seconds(4);
/// How long the view before the one in force is kept.
pub const PREVIOUS_RETENTION: time::Span = time::Span(PROPAGATION_MAX.0 + PROPAGATION_MARGIN.0);
/// How long an address that changed its service takes no packets.
pub const QUARANTINE_PERIOD: time::Span = PREVIOUS_RETENTION;
/// Most earlier views that are kept at one time; the oldest goes first.
pub const PREVIOUS_MAX: usize = 8;
/// Most earlier services that are kept of one address; the oldest goes first.
pub const EARLIER_SERVICES_MAX: usize = 4;
/// Most addresses whose earlier services are kept; the one that changed first goes first.
pub const EARLIER_ADDRESSES_MAX: usize = 65_536;

/// Why a view is not adopted.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// revision {found} is lower than revision {current}, which is in force
    Lower {
        /// Revision of the refused view.
        found: revision::Number,
        /// Revision in force.
        current: revision::Number,
    },
    /// revision {revision} is already in force
    Same {
        /// Revision of both.
        revision: revision::Number,
    },
    /// revision {revision} has digest {found}, but the one in force has {current}
    OtherDigest {
        /// Revision of both.
        revision: revision::Number,
        /// Digest of the refused view.
        found: revision::Digest,
        /// Digest in force.
        current: revision::Digest,
    },
}

impl std::error::Error for Rejection {}

/// The view in force and what is kept of earlier ones.
#[derive(Debug, Default)]
pub struct History {
    current: Option<Arc<View>>,
    previous: VecDeque<Previous>,
    quarantined: BTreeMap<address::Address, time::Instant>,
    earlier: BTreeMap<address::Address, Earlier>,
    domains_out: BTreeMap<domain::Name, time::Instant>,
}

/// A view that was in force.
#[derive(Debug)]
struct Previous {
    view: Arc<View>,
    until: time::Instant,
}

/// Services that an address had.
#[derive(Debug)]
struct Earlier {
    /// Newest first.
    services: VecDeque<service::Name>,
    changed: time::Instant,
}

/// Commands.
impl History {
    /// Puts `view` in force and lists what it changes. The first view changes nothing.
    pub fn adopt(&mut self, view: Arc<View>, now: time::Instant) -> Result<Vec<Change>, Rejection> {
        self.check(&view)?;
        let changes = match &self.current {
            Some(current) => change::between(current, &view),
            None => Vec::new(),
        };
        for change in &changes {
            self.note_address(change, now);
        }
        self.note_domains(&view, now);
        if let Some(view) = self.current.replace(view) {
            self.previous.push_front(Previous { view, until: now + PREVIOUS_RETENTION });
            self.previous.truncate(PREVIOUS_MAX);
        }
        self.forget(now);
        Ok(changes)
    }

    /// Quarantines `address` for `span`, as a peer still does; never shortens one.
    pub fn quarantine(&mut self, address: address::Address, span: time::Span, now: time::Instant) {
        let until = now + time::Span(span.0.min(QUARANTINE_PERIOD.0));
        let entry = self.quarantined.entry(address).or_insert(until);
        *entry = until.max(*entry);
    }

    fn check(&self, view: &View) -> Result<(), Rejection> {
        let Some(current) = &self.current else {
            return Ok(());
        };
        let revision = view.revision;
        if revision < current.revision {
            return Err(Rejection::Lower { found: revision, current: current.revision });
        }
        if revision > current.revision {
            return Ok(());
        }
        if view.digest == current.digest {
            return Err(Rejection::Same { revision });
        }
        Err(Rejection::OtherDigest { revision, found: view.digest, current: current.digest })
    }

    /// Drops what is no longer needed at `now`.
    fn forget(&mut self, now: time::Instant) {
        self.previous.retain(|previous| previous.until > now);
        self.quarantined.retain(|_, until| *until > now);
        while self.earlier.len() > EARLIER_ADDRESSES_MAX {
            let oldest = self.earlier.iter().min_by_key(|(_, earlier)| earlier.changed);
            let Some((address, _)) = oldest else {
                return;
            };
            let address = *address;
            self.earlier.remove(&address);
        }
    }

    fn note_address(&mut self, change: &Change, now: time::Instant) {
        match change {
            Change::AddressMoved { address, from, .. } => {
                self.note_earlier(*address, from, now);
                self.quarantine(*address, QUARANTINE_PERIOD, now);
            }
            Change::AddressRemoved { address, service } => {
                self.note_earlier(*address, service, now);
            }
            Change::AddressAdded { address, service } => {
                let last = self.earlier_services(*address).next();
                let is_back = last.is_none_or(|last| last == service);
                if is_back {
                    return;
                }
                self.quarantine(*address, QUARANTINE_PERIOD, now);
            }
            _ => {}
        }
    }

    fn note_earlier(
        &mut self,
        address: address::Address,
        service: &service::Name,
        now: time::Instant,
    ) {
        let earlier = self
            .earlier
            .entry(address)
            .or_insert_with(|| Earlier { services: VecDeque::new(), changed: now });
        earlier.changed = now;
        earlier.services.retain(|other| other != service);
        earlier.services.push_front(service.clone());
        earlier.services.truncate(EARLIER_SERVICES_MAX);
    }

    fn note_domains(&mut self, view: &View, now: time::Instant) {
        let is_out = |name: &domain::Name| {
            view.domains.get(name).is_some_and(|domain| domain.state == DomainState::Out)
        };
        self.domains_out.retain(|name, _| is_out(name));
        for name in view.domains.keys().filter(|name| is_out(name)) {
            self.domains_out.entry(name.clone()).or_insert(now);
        }
    }
}

/// Queries.
impl History {
    /// The view in force.
    pub fn current(&self) -> Option<&Arc<View>> {
        self.current.as_ref()
    }

    /// Earlier views that an instance or caller may still act on, newest first.
    pub fn previous(&self, now: time::Instant) -> impl Iterator<Item = &Arc<View>> {
        let kept = self.previous.iter().filter(move |previous| previous.until > now);
        kept.map(|previous| &previous.view)
    }

    /// Whether `address` has just changed its service.
    pub fn is_quarantined(&self, address: address::Address, now: time::Instant) -> bool {
        self.quarantined.get(&address).is_some_and(|until| *until > now)
    }

    /// Addresses in quarantine with the time that is left.
    pub fn quarantined(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (address::Address, time::Span)> {
        let held = self.quarantined.iter().filter(move |(_, until)| **until > now);
        held.map(move |(address, until)| (*address, until.since(now)))
    }

    /// Services that `address` has lost, the last lost first. One that it has got back may be
    /// among them.
    pub fn earlier_services(
        &self,
        address: address::Address,
    ) -> impl Iterator<Item = &service::Name> {
        self.earlier.get(&address).into_iter().flat_map(|earlier| &earlier.services)
    }

    /// Since when `domain` is out; nothing if it is in or unknown.
    pub fn domain_out_since(&self, domain: &domain::Name) -> Option<time::Instant> {
        self.domains_out.get(domain).copied()
    }
}
