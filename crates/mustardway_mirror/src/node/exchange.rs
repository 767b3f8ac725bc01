//! Pushes and pulls between the instances.

use mustardway_types::instance;
use mustardway_types::revision::Version;
use mustardway_types::time::{Instant, Span};
use rand::RngExt;

use super::offers::Offers;
use super::{Action, Node, PULL_INTERVAL};
use crate::message::{Body, Message, Pull, Push};
use crate::usage::{Pushed, Usage};

/// Maximum rate of full states sent to peers, in bytes per second. A higher rate
/// would fill a narrow link (10 Mbit/s) and delay callers' packets.
const FULL_STATE_BYTES_PER_SECOND: u64 = 128 * 1024;
/// A confirmation of the known state is forwarded only if it is newer than the
/// last one by more than this.
const CONFIRMATION_STEP: Span = Span::millis(200);

impl Node {
    /// Sends a push to the relays and the neighbours.
    pub(super) fn push_changes(&mut self, push: &Push, now: Instant, actions: &mut Vec<Action>) {
        let push = Push { relay: true, ..Offers::offer_if_large(push) };
        for relay in self.topology.relays.clone() {
            if push.is_offer() {
                self.send_notices(relay.deputies, &push, &relay.id, actions);
            }
            self.send_push(relay.id, push.clone(), actions);
        }
        if let Some(me) = self.topology.me.clone() {
            self.forward(&push, &me, now, actions);
        }
    }

    /// Forwards a push down the tree of this failure domain that starts at `root`.
    pub(super) fn forward(
        &mut self,
        push: &Push,
        root: &instance::Id,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let age_millis = self.age(now).map_or(push.age_millis, Span::as_millis);
        let push = Push {
            root: root.to_string(),
            relay: true,
            asked_at: 0,
            age_millis,
            ..Offers::offer_if_large(push)
        };
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

    /// Returns the root of the tree down which a push is to be forwarded: the first instance
    /// of this failure domain that had or was offered the changes. An invalid id comes from
    /// a peer of another version.
    pub(super) fn forwarding_root(&self, push: &Push) -> Option<instance::Id> {
        if !push.relay {
            return None;
        }
        match push.root.is_empty() {
            true => self.topology.me.clone(),
            false => push.root.parse().ok(),
        }
    }

    /// Creates a push of the changes after `from`, or of the full state if the
    /// history no longer holds all of them.
    pub(super) fn push_after(&self, from: Version, age: Span, now: Instant) -> Push {
        let to = self.replica.version();
        let millis = age.as_millis();
        match self.replica.changes_after(from, now) {
            Some(changes) => Push::new(from, to, millis, &changes),
            None => Push::new(Version::default(), to, millis, &self.replica.full_state(now)),
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
            Some(Body::Pull(pull)) => self.answer_pull(from, &pull, now, actions),
            Some(Body::DepartedRequest(_)) => self.answer_departed_request(from, now, actions),
            Some(Body::Departed(departed)) => self.take_departed(from, &departed, actions),
            None => {}
        }
    }

    /// Answers the pull of a peer.
    pub(super) fn answer_pull(
        &mut self,
        from: instance::Id,
        pull: &Pull,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(age) = self.age(now) else { return };
        let (have, own) = (pull.version(), self.replica.version());
        if have >= own && self.offers.is_incoming(now) {
            self.offers.wait(from.clone(), pull.clone());
        }
        if have > own {
            return;
        }
        if let Some(difference) = self.offers.difference_from(have, own) {
            let difference = Push { age_millis: age.as_millis(), ..difference.clone() };
            let push = Push { relay: false, asked_at: pull.asked_at, ..difference };
            actions.push(Action::Send { to: from, message: Body::Push(push).into() });
            return;
        }
        let is_solicited = self.offers.take_solicited(&from);
        let is_full = !self.replica.has_changes_after(have);
        if is_full && !is_solicited && now < self.next_full_state {
            // The peer soon pulls from another instance.
            return;
        }
        let push = Push { asked_at: pull.asked_at, ..self.push_after(have, age, now) };
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
                self.ask(from, self.forwarding_root(push), now, actions);
            }
            return Usage::Detached;
        }
        let is_newer = last > own;
        let confirmed = self.confirmed_by(push, now);
        let claimed = now - Span::millis(push.age_millis);
        if !is_newer {
            match confirmed {
                Some(at) => self.take_confirmation(from, push, at, now, actions),
                None if self.is_news(claimed) => {
                    self.ask(from, self.forwarding_root(push), now, actions);
                }
                None => {}
            }
            return Usage::Known;
        }
        let (changes, undecodable) = push.decode();
        if undecodable > 0 {
            // An incomplete replica must not count as confirmed.
            actions.push(Action::Undecodable { from: from.clone(), count: undecodable });
            return Usage::Undecodable;
        }
        let applied = match (is_new_era, push.is_full()) {
            (true, true) => self.replica.restore(last, changes, now).effective,
            (true, false) => self.replica.follow_restore(last, changes, now),
            (false, true) => self.replica.apply_full_state(last.number, changes, now),
            (false, false) => self.replica.follow_changes(last.number, changes, now),
        };
        if is_new_era {
            self.enter_era(own, now, actions);
            if is_difference {
                self.offers.keep_difference(push);
            }
        }
        // The changes before this version are not needed any more.
        self.needs_full_read = false;
        let is_news = self.is_news(claimed);
        if let Some(at) = confirmed {
            self.confirm(at);
        }
        self.report_changes(applied, now, actions);
        self.settle_offers(Some(from), now, actions);
        let root = self.forwarding_root(push).or_else(|| self.take_question(from));
        if let Some(root) = &root {
            self.forward(push, root, now, actions);
        }
        if confirmed.is_none() && is_news {
            self.ask(from, root, now, actions);
        }
        Usage::New
    }

    /// Handles the answer to a question whose sender has the same state, which the
    /// platform showed at `at`.
    fn take_confirmation(
        &mut self,
        from: &instance::Id,
        push: &Push,
        at: Instant,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let root = self.take_question(from);
        let is_news = self.is_news(at);
        self.confirm(at);
        if let Some(root) = root.filter(|_| is_news) {
            let confirmation = Push { from: push.to, from_era: push.era, ..push.clone() };
            let confirmation = Push { changes: Vec::new(), ..confirmation };
            self.forward(&confirmation, &root, now, actions);
        }
    }

    /// Returns whether a confirmation at `at` tells more than what is known. If several
    /// readers confirm the same state, forwarding all would multiply the messages.
    fn is_news(&self, at: Instant) -> bool {
        self.confirmed.is_none_or(|known| at > known + CONFIRMATION_STEP)
    }

    /// Pulls from a random peer while the replica is empty.
    pub(super) fn pull_if_empty(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.replica.version().is_empty() || now < self.next_pull {
            return;
        }
        self.next_pull = now + PULL_INTERVAL;
        self.pull_from_random_peer(now, actions);
    }

    /// Pulls what is newer than the replica from a random peer.
    pub(super) fn pull_from_random_peer(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let peers = self.topology.peers();
        if peers.is_empty() {
            return;
        }
        let to = peers[self.rng.random_range(0..peers.len())].clone();
        self.send_pull(&to, now, actions);
    }
}
