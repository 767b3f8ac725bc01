//! Pushes and pulls between the instances.

use mustardway_types::instance;
use mustardway_types::revision::Version;
use mustardway_types::time::{Instant, Span};
use rand::RngExt;

use super::offers::Offers;
use super::{Action, Node, PULL_INTERVAL, Pushed, Usage};
use crate::message::{Body, Message, Pull, Push};

/// Maximum rate of full states sent to peers, in bytes per second. A higher rate
/// would fill a narrow link (10 Mbit/s) and delay callers' packets.
const FULL_STATE_BYTES_PER_SECOND: u64 = 128 * 1024;
/// A confirmation of the known state is forwarded only if it is newer than the
/// last one by more than this.
pub(super) const CONFIRMATION_STEP: Span = Span::millis(200);

impl Node {
    /// Sends a push to the relays and the neighbours.
    pub(super) fn push_changes(&mut self, push: &Push, actions: &mut Vec<Action>) {
        let push = Push { relay: true, ..Offers::offer_if_large(push) };
        for relay in self.topology.relays.clone() {
            if push.is_offer() {
                self.send_notices(relay.deputies, &push, &relay.id, actions);
            }
            self.send_push(relay.id, push.clone(), actions);
        }
        if let Some(me) = self.topology.me.clone() {
            self.forward(&push, &me, actions);
        }
    }

    /// Forwards a push down the tree of this failure domain that starts at `root`.
    pub(super) fn forward(&mut self, push: &Push, root: &instance::Id, actions: &mut Vec<Action>) {
        let push = Push { root: root.to_string(), ..Offers::offer_if_large(push) };
        if push.is_offer() {
            self.send_notices(self.topology.grandchildren(root), &push, root, actions);
        }
        for to in self.topology.children(root) {
            self.send_push(to, push.clone(), actions);
        }
    }

    fn send_push(&mut self, to: instance::Id, push: Push, actions: &mut Vec<Action>) {
        self.offers.record_sent(&to, &push);
        actions.push(Action::Send { to, message: Body::Push(push).into() });
    }

    /// Returns the first instance of this failure domain that had or was offered the
    /// changes. An invalid id comes from a peer of another version.
    pub(super) fn root_of(&self, push: &Push) -> Option<instance::Id> {
        match push.root.is_empty() {
            true => self.topology.me.clone(),
            false => push.root.parse().ok(),
        }
    }

    /// Creates a push of the changes after `from`, or of the full state if the
    /// history no longer holds all of them.
    pub(super) fn push_after(&self, from: Version, age: Span) -> Push {
        let to = self.replica.version();
        let millis = age.as_millis();
        match self.replica.changes_after(from) {
            Some(changes) => Push::new(from, to, millis, &changes),
            None => Push::new(Version::default(), to, millis, &self.replica.full_state()),
        }
    }

    pub(super) fn receive(
        &mut self,
        from: instance::Id,
        message: Message,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        match message.body {
            Some(Body::Push(push)) => self.take_push(from, &push, now, actions),
            Some(Body::Pull(pull)) => self.answer_pull(from, pull.version(), now, actions),
            Some(Body::DepartedRequest(_)) => self.answer_departed_request(from, now, actions),
            Some(Body::Departed(departed)) => self.take_departed(from, &departed, actions),
            None => {}
        }
    }

    /// Answers the pull of a peer that has the version `have`.
    pub(super) fn answer_pull(
        &mut self,
        from: instance::Id,
        have: Version,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(age) = self.age(now) else { return };
        let own = self.replica.version();
        if have > own {
            return;
        }
        if have == own && self.offers.is_incoming(now) {
            self.offers.wait(from.clone(), have);
        }
        if let Some(difference) = self.offers.difference_from(have, own) {
            let push = Push { age_millis: age.as_millis(), relay: false, ..difference.clone() };
            actions.push(Action::Send { to: from, message: Body::Push(push).into() });
            return;
        }
        let is_solicited = self.offers.take_solicited(&from);
        let is_full = self.replica.changes_after(have).is_none();
        if is_full && !is_solicited && now < self.next_full_state {
            // The peer soon pulls from another instance.
            return;
        }
        let push = self.push_after(have, age);
        if is_full {
            let micros = push.size() as u64 * 1_000_000 / FULL_STATE_BYTES_PER_SECOND;
            self.next_full_state = now + Span(micros);
        }
        actions.push(Action::Send { to: from, message: Body::Push(push).into() });
    }

    fn take_push(
        &mut self,
        from: instance::Id,
        push: &Push,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let (version, bytes) = (push.last(), push.size());
        let usage = self.apply_push(&from, push, now, actions);
        if bytes > 0 || usage == Usage::Offered {
            actions.push(Action::Pushed(Pushed { from, version, bytes, usage }));
        }
    }

    fn apply_push(
        &mut self,
        from: &instance::Id,
        push: &Push,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Usage {
        let (first, last) = (push.first(), push.last());
        let own = self.replica.version();
        if last < own {
            return Usage::Known;
        }
        if push.is_offer() && last > own {
            self.take_offer(from, push, now, actions);
            return Usage::Offered;
        }
        let is_new_era = last.era > own.era;
        // The difference between two eras applies only to the state that it starts from.
        let is_difference = first.era < last.era;
        let continues = push.is_full() || if is_difference { first == own } else { first <= own };
        if !continues {
            if !self.offers.is_incoming(now) {
                self.send_pull(from, actions);
            } else if push.changes.is_empty() {
                self.take_early_confirmation(push, now, actions);
            }
            return Usage::Detached;
        }
        let at = now - Span::millis(push.age_millis);
        let is_newer = last > own;
        if !is_newer && self.confirmed.is_some_and(|known| at <= known + CONFIRMATION_STEP) {
            // Another reader has confirmed the same state. Forwarding both would
            // multiply the messages.
            return Usage::Known;
        }
        let (changes, undecodable) = push.decode();
        if undecodable > 0 {
            // An incomplete replica must not count as confirmed.
            actions.push(Action::Undecodable { from: from.clone(), count: undecodable });
            return Usage::Undecodable;
        }
        let applied = match (is_new_era, push.is_full()) {
            (true, true) => self.replica.restore(last, changes).effective,
            (true, false) => self.replica.follow_restore(last, changes),
            (false, true) => self.replica.apply_full_state(last.number, changes),
            (false, false) => self.replica.apply_changes(last.number, changes),
        };
        if is_new_era {
            self.enter_era(own, now, actions);
            if is_difference {
                self.offers.keep_difference(push);
            }
        }
        // The changes before this version are not needed any more.
        self.needs_full_read &= !is_newer;
        self.confirm(at);
        self.report_changes(applied, now, actions);
        if is_newer {
            self.settle_offers(Some(from), now, actions);
        }
        let usage = if is_newer { Usage::New } else { Usage::Known };
        if !push.relay {
            return usage;
        }
        let confirmation =
            Push { from: push.to, from_era: push.era, changes: Vec::new(), ..push.clone() };
        let push = if is_newer { push } else { &confirmation };
        if let Some(root) = self.root_of(push) {
            self.forward(push, &root, actions);
        }
        usage
    }

    /// Pulls from a random peer while the replica is empty.
    pub(super) fn pull_if_empty(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.replica.version().is_empty() || now < self.next_pull {
            return;
        }
        self.next_pull = now + PULL_INTERVAL;
        self.pull_from_random_peer(actions);
    }

    /// Pulls what is newer than the replica from a random peer.
    pub(super) fn pull_from_random_peer(&mut self, actions: &mut Vec<Action>) {
        let peers = self.topology.peers();
        if peers.is_empty() {
            return;
        }
        let to = peers[self.rng.random_range(0..peers.len())];
        let message = Body::Pull(Pull::new(self.replica.version())).into();
        actions.push(Action::Send { to: to.clone(), message });
    }
}
