//! Claims of peers about an instance, compared with the record here.
//!
//! The greater incarnation wins, then the state of higher precedence. A claim
//! that a live instance is dead is not accepted at once if this instance has
//! recently heard the subject, nor if the claim comes from a peer's table, as
//! after a healed partition. The subject is told first and can refute the claim
//! with a greater incarnation.

use mustardway_types::instance::{self, Incarnation};
use mustardway_types::time::{Instant, Span};

use crate::action::Action;
use crate::gossip;
use crate::heartbeat::Kind;
use crate::member::{Member, Record, State};
use crate::message::{Body, ENTRIES_MAX, Entry, Gossip};
use crate::node::Node;

/// Greatest incarnation that is accepted from peers.
const INCARNATION_MAX: u64 = u64::MAX / 2;
/// Greatest number of deaths that wait for a refutation at a time.
const PENDING_DEATHS_MAX: usize = 4_096;

/// A claimed death that the subject can refute until `due`.
#[derive(Debug)]
pub(crate) struct PendingDeath {
    incarnation: Incarnation,
    due: Instant,
}

/// What a peer claims about an instance.
#[derive(Debug, Clone, Copy)]
struct Claim<'a> {
    from: &'a instance::Id,
    id: &'a instance::Id,
    state: State,
    entry: &'a Entry,
    source: Source,
}

impl Claim<'_> {
    /// Returns the precedence of the claim among claims about the same instance.
    fn precedence(&self) -> (u64, u8) {
        (self.entry.incarnation, state_precedence(self.state, false))
    }
}

/// How a claim reached this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// Pushed as a change soon after it happened.
    Pushed,
    /// Received in a table during anti-entropy.
    Synced,
}

impl Node {
    /// Applies the changes that a peer has pushed.
    pub(crate) fn handle_gossip(
        &mut self,
        from: &instance::Id,
        entries: &[Entry],
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.record_any_heard(now);
        self.apply_entries(from, entries, Source::Pushed, now, actions);
    }

    /// Applies every well-formed entry of a message, up to `ENTRIES_MAX`.
    pub(crate) fn apply_entries(
        &mut self,
        from: &instance::Id,
        entries: &[Entry],
        source: Source,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.counts.excess += entries.len().saturating_sub(ENTRIES_MAX) as u64;
        for entry in entries.iter().take(ENTRIES_MAX) {
            let (Some(id), Some(state)) = (entry.id(), entry.known_state()) else {
                self.counts.malformed += 1;
                continue;
            };
            if entry.incarnation > INCARNATION_MAX {
                self.counts.malformed += 1;
                continue;
            }
            let claim = Claim { from, id: &id, state, entry, source };
            if self.is_me(&id) {
                self.apply_own_claim(&claim, now, actions);
                continue;
            }
            self.apply_peer_claim(&claim, now, actions);
        }
    }

    /// Declares instances dead whose claimed death was not refuted in time, unless
    /// this instance has recently heard them.
    pub(crate) fn declare_unrefuted_deaths(&mut self, now: Instant) {
        let mut due = Vec::new();
        for (id, pending) in &self.pending_deaths {
            if now < pending.due {
                continue;
            }
            due.push(id.clone());
        }
        for id in due {
            let Some(pending) = self.pending_deaths.remove(&id) else { continue };
            let Some(record) = self.table.get(&id) else { continue };
            let same = record.member.incarnation == pending.incarnation;
            if !same || !record.state.is_live() || self.heard_recently(&id, now) {
                continue;
            }
            self.table.set_state(&id, State::Dead, now);
            self.contacts.queue_change(&id, None);
        }
    }

    /// Returns whether this instance itself has heard `id` within half a lease.
    pub(crate) fn heard_recently(&self, id: &instance::Id, now: Instant) -> bool {
        let Some(contact) = self.contacts.get(id) else { return false };
        let half = Span(self.settings.lease.0 / 2);
        contact.sequence != 0 && now.since(contact.last_heard) < half
    }

    /// Handles a claim about another instance: accepts it, asks the subject to refute
    /// it, or corrects the peer.
    fn apply_peer_claim(&mut self, claim: &Claim<'_>, now: Instant, actions: &mut Vec<Action>) {
        let Some(known) = self.table.get(claim.id) else {
            if claim.state.is_live() {
                self.accept(claim, now);
            }
            return;
        };
        let (state, known_precedence) = (known.state, precedence(known));
        if claim.precedence() == known_precedence {
            self.drop_pending_change(claim.from, claim.id);
            return;
        }
        let same_incarnation = claim.entry.incarnation == known_precedence.0;
        if claim.precedence() < known_precedence {
            if same_incarnation && claim.state.is_live() && state == State::Dead {
                self.ask_to_refute(claim.id, now, actions);
            }
            if claim.source == Source::Pushed {
                self.queue_correction(claim.from, claim.id);
            }
            return;
        }
        let may_be_refuted = claim.source == Source::Synced || self.heard_recently(claim.id, now);
        if claim.state == State::Dead && same_incarnation && state.is_live() && may_be_refuted {
            self.ask_to_refute(claim.id, now, actions);
            return;
        }
        self.accept(claim, now);
    }

    /// Updates the record of the subject and queues the change for gossip. Claims
    /// from a table are not gossiped while this instance is joining.
    fn accept(&mut self, claim: &Claim<'_>, now: Instant) {
        let incarnation = Incarnation(claim.entry.incarnation);
        let without_member = !claim.state.is_live() || claim.entry.omits_member();
        if without_member {
            let known_base = self.table.get(claim.id).map(|known| known.base_incarnation);
            let same_base = known_base == Some(claim.entry.base_incarnation());
            // The full entry of an unknown incarnation comes with anti-entropy.
            if known_base.is_none() || (claim.state.is_live() && !same_base) {
                return;
            }
            self.table.raise_incarnation(claim.id, incarnation, claim.state, now);
        } else if !self.insert_member(claim, now) {
            return;
        }
        if let Some(listed) = self.roster.get(claim.id) {
            self.table.set_listed_leaving(claim.id, listed.leaving);
        }
        self.pending_deaths.remove(claim.id);
        if claim.source == Source::Synced && !self.joined {
            return;
        }
        self.contacts.queue_change(claim.id, Some(claim.from));
    }

    /// Stores a claim whose entry carries the whole member. Returns false if the
    /// entry is malformed or the table is full.
    fn insert_member(&mut self, claim: &Claim<'_>, now: Instant) -> bool {
        let Some(member) = claim.entry.member() else {
            self.counts.malformed += 1;
            return false;
        };
        let stored = self.table.put(member, claim.entry.base_incarnation(), claim.state, now);
        self.counts.overflow += u64::from(!stored);
        stored
    }

    /// Handles a claim about this instance itself. A live claim with a greater
    /// incarnation and another address means that another process runs under the
    /// same name: this instance is superseded and fenced. Any other claim that
    /// would win is refuted with a greater incarnation, and a claim of death raises
    /// the fence.
    fn apply_own_claim(&mut self, claim: &Claim<'_>, now: Instant, actions: &mut Vec<Action>) {
        let me = self.me().clone();
        let own = precedence(&me);
        if claim.precedence() == own {
            self.drop_pending_change(claim.from, claim.id);
            return;
        }
        if claim.precedence() < own {
            self.queue_correction(claim.from, claim.id);
            return;
        }
        let other = claim.entry.member();
        let elsewhere = other.is_some_and(|other| other.address != me.member.address);
        if claim.state.is_live() && claim.entry.incarnation > own.0 && elsewhere {
            self.superseded = true;
            return;
        }
        self.counts.refuted += 1;
        self.superseded = false;
        let incarnation = Incarnation(claim.entry.incarnation + 1);
        if claim.entry.incarnation == own.0 {
            self.table.raise_incarnation(claim.id, incarnation, me.state, now);
        } else {
            let member = Member { incarnation, ..me.member };
            self.table.put(member, incarnation, me.state, now);
        }
        self.contacts.queue_change(claim.id, None);
        if !claim.state.is_live() {
            self.raise_fence(now);
        }
        self.send_heartbeat(claim.from, Kind::Introduction, now, actions);
    }

    /// Tells an instance that it is claimed dead, so that it can refute the claim,
    /// and sets the time until which it can.
    fn ask_to_refute(&mut self, id: &instance::Id, now: Instant, actions: &mut Vec<Action>) {
        let Some(record) = self.table.get(id) else { return };
        let known = self.pending_deaths.get(id);
        if known.is_some_and(|known| known.incarnation == record.member.incarnation) {
            return;
        }
        if !self.budget.has_bytes() || self.pending_deaths.len() >= PENDING_DEATHS_MAX {
            return;
        }
        let due = now + Span(self.settings.lease.0 * 2 / 3);
        let incarnation = record.member.incarnation;
        let claim = Record { state: State::Dead, ..record.clone() };
        let entries = vec![Entry::new(&claim)];
        self.budget.spend(&entries);
        actions.push(gossip::send(id, record.member.address, Body::Gossip(Gossip { entries })));
        self.pending_deaths.insert(id.clone(), PendingDeath { incarnation, due });
    }

    /// Drops the queued change of `id` to a peer that already has the same record.
    fn drop_pending_change(&mut self, peer: &instance::Id, id: &instance::Id) {
        let Some(contact) = self.contacts.get_mut(peer) else { return };
        contact.pending.remove(id);
    }

    /// Queues the record of `id` for a peer that has an outdated one.
    fn queue_correction(&mut self, peer: &instance::Id, id: &instance::Id) {
        let Some(contact) = self.contacts.get_mut(peer) else { return };
        contact.pending.insert(id.clone());
    }
}

/// Returns the precedence of a record: its incarnation, then that of its state.
pub(crate) fn precedence(record: &Record) -> (u64, u8) {
    (record.member.incarnation.0, state_precedence(record.state, record.presumed_dead))
}

/// Returns the precedence of a state within one incarnation. A record that is
/// presumed dead because no peer was heard yields to any claim.
pub(crate) fn state_precedence(state: State, presumed_dead: bool) -> u8 {
    if presumed_dead {
        return 0;
    }
    match state {
        State::Alive | State::Suspect => 1,
        State::Leaving => 2,
        State::Dead => 3,
        State::Left => 4,
    }
}
