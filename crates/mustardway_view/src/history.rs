//! The view in force, and what routing needs from the views before it.
//!
//! A view is adopted only if its revision is greater than the one in force, so
//! that an instance never reverts to an older configuration. For some time after
//! a change, instances have different views in force, and another instance may
//! still act on the old one. The old view is therefore kept for
//! [`PREVIOUS_RETENTION`], and an address that has changed its service is
//! quarantined for [`QUARANTINE_PERIOD`]. The earlier services of an address are
//! kept longer, because flows to them may still be established.
//!
//! An instance that starts has no earlier view to compare with. It copies the
//! quarantine of its peers with [`History::quarantine`].

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use displaydoc::Display;
use mustardway_types::{address, domain, revision, service, time};

use crate::change::{self, Change};
use crate::model::{DomainState, View};

/// Longest time from the acceptance of a view until it is in force at every reachable instance.
pub const PROPAGATION_MAX: time::Span = time::Span::seconds(6);
/// Time added to [`PROPAGATION_MAX`] for clocks that lag and packets in flight.
pub const PROPAGATION_MARGIN: time::Span = time::Span::seconds(4);
/// Time for which a view is kept after a later one has replaced it.
pub const PREVIOUS_RETENTION: time::Span = time::Span(PROPAGATION_MAX.0 + PROPAGATION_MARGIN.0);
/// Time for which an address that changed its service takes no packets.
pub const QUARANTINE_PERIOD: time::Span = PREVIOUS_RETENTION;
/// Greatest number of earlier views kept at one time; the oldest is dropped first.
pub const PREVIOUS_MAX: usize = 8;
/// Greatest number of earlier services kept for one address; the oldest is dropped first.
pub const EARLIER_SERVICES_MAX: usize = 4;
/// Greatest number of addresses whose earlier services are kept; the address that changed least
/// recently is dropped first.
pub const EARLIER_ADDRESSES_MAX: usize = 65_536;

/// Why a view was not adopted.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// revision {found} is lower than revision {current}, which is in force
    Lower {
        /// Revision of the rejected view.
        found: revision::Number,
        /// Revision of the view in force.
        current: revision::Number,
    },
    /// revision {revision} is already in force
    Same {
        /// Revision of both views.
        revision: revision::Number,
    },
    /// revision {revision} has digest {found}, but the one in force has {current}
    OtherDigest {
        /// Revision of both views.
        revision: revision::Number,
        /// Digest of the rejected view.
        found: revision::Digest,
        /// Digest of the view in force.
        current: revision::Digest,
    },
}

impl std::error::Error for Rejection {}

/// The view in force, and the parts of earlier views that are still needed.
#[derive(Debug, Default)]
pub struct History {
    current: Option<Arc<View>>,
    previous: VecDeque<Previous>,
    /// Quarantined addresses, each with the end of its quarantine.
    quarantined: BTreeMap<address::Address, time::Instant>,
    earlier_services: BTreeMap<address::Address, EarlierServices>,
    /// Failure domains that are out, each with the time since which it is out.
    domains_out: BTreeMap<domain::Name, time::Instant>,
}

/// A view that was in force earlier.
#[derive(Debug)]
struct Previous {
    view: Arc<View>,
    /// Time until which the view is kept.
    until: time::Instant,
}

/// Services that an address had earlier.
#[derive(Debug)]
struct EarlierServices {
    /// The services, the one lost last first.
    services: VecDeque<service::Name>,
    /// Time at which the address last lost a service.
    changed: time::Instant,
}

/// Methods that change the history.
impl History {
    /// Puts `view` in force and returns its changes. The list is empty for the first view.
    pub fn adopt(&mut self, view: Arc<View>, now: time::Instant) -> Result<Vec<Change>, Rejection> {
        self.check_revision(&view)?;
        let changes = match &self.current {
            Some(current) => change::between(current, &view),
            None => Vec::new(),
        };
        for change in &changes {
            self.record_address_change(change, now);
        }
        self.record_domains_out(&view, now);
        if let Some(view) = self.current.replace(view) {
            self.previous.push_front(Previous { view, until: now + PREVIOUS_RETENTION });
            self.previous.truncate(PREVIOUS_MAX);
        }
        self.remove_expired(now);
        Ok(changes)
    }

    /// Quarantines `address` for the `span` that remains of its quarantine at a peer, at most
    /// [`QUARANTINE_PERIOD`]. An existing quarantine is never shortened.
    pub fn quarantine(&mut self, address: address::Address, span: time::Span, now: time::Instant) {
        let until = now + time::Span(span.0.min(QUARANTINE_PERIOD.0));
        let entry = self.quarantined.entry(address).or_insert(until);
        *entry = until.max(*entry);
    }

    fn check_revision(&self, view: &View) -> Result<(), Rejection> {
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

    /// Removes views and quarantines that have ended at `now`, and addresses above
    /// [`EARLIER_ADDRESSES_MAX`].
    fn remove_expired(&mut self, now: time::Instant) {
        self.previous.retain(|previous| previous.until > now);
        self.quarantined.retain(|_, until| *until > now);
        while self.earlier_services.len() > EARLIER_ADDRESSES_MAX {
            let oldest = self.earlier_services.iter().min_by_key(|(_, earlier)| earlier.changed);
            let Some((address, _)) = oldest else {
                return;
            };
            let address = *address;
            self.earlier_services.remove(&address);
        }
    }

    fn record_address_change(&mut self, change: &Change, now: time::Instant) {
        match change {
            Change::AddressMoved { address, from, .. } => {
                self.record_earlier_service(*address, from, now);
                self.quarantine(*address, QUARANTINE_PERIOD, now);
            }
            Change::AddressRemoved { address, service } => {
                self.record_earlier_service(*address, service, now);
            }
            Change::AddressAdded { address, service } => {
                let last = self.earlier_services(*address).next();
                let had_no_other_service = last.is_none_or(|last| last == service);
                if had_no_other_service {
                    return;
                }
                self.quarantine(*address, QUARANTINE_PERIOD, now);
            }
            _ => {}
        }
    }

    fn record_earlier_service(
        &mut self,
        address: address::Address,
        service: &service::Name,
        now: time::Instant,
    ) {
        let earlier = self
            .earlier_services
            .entry(address)
            .or_insert_with(|| EarlierServices { services: VecDeque::new(), changed: now });
        earlier.changed = now;
        earlier.services.retain(|other| other != service);
        earlier.services.push_front(service.clone());
        earlier.services.truncate(EARLIER_SERVICES_MAX);
    }

    fn record_domains_out(&mut self, view: &View, now: time::Instant) {
        let is_out = |name: &domain::Name| {
            view.domains.get(name).is_some_and(|domain| domain.state == DomainState::Out)
        };
        self.domains_out.retain(|name, _| is_out(name));
        for name in view.domains.keys().filter(|name| is_out(name)) {
            self.domains_out.entry(name.clone()).or_insert(now);
        }
    }
}

/// Methods that read the history.
impl History {
    /// Returns the view in force, if there is one.
    pub fn current(&self) -> Option<&Arc<View>> {
        self.current.as_ref()
    }

    /// Returns the earlier views that another instance or a caller may still act on, newest first.
    pub fn previous(&self, now: time::Instant) -> impl Iterator<Item = &Arc<View>> {
        let kept = self.previous.iter().filter(move |previous| previous.until > now);
        kept.map(|previous| &previous.view)
    }

    /// Returns whether `address` changed its service so recently that it is in quarantine.
    pub fn is_quarantined(&self, address: address::Address, now: time::Instant) -> bool {
        self.quarantined.get(&address).is_some_and(|until| *until > now)
    }

    /// Returns the addresses in quarantine, each with the time that remains.
    pub fn quarantined(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (address::Address, time::Span)> {
        let held = self.quarantined.iter().filter(move |(_, until)| **until > now);
        held.map(move |(address, until)| (*address, until.since(now)))
    }

    /// Returns the services that `address` has lost, the one lost last first. A service that the
    /// address has since got back may be among them.
    pub fn earlier_services(
        &self,
        address: address::Address,
    ) -> impl Iterator<Item = &service::Name> {
        self.earlier_services.get(&address).into_iter().flat_map(|earlier| &earlier.services)
    }

    /// Returns the time since which `domain` is out, or `None` if it is in or unknown.
    pub fn domain_out_since(&self, domain: &domain::Name) -> Option<time::Instant> {
        self.domains_out.get(domain).copied()
    }
}
