//! Contested flows at this instance: their holders, the packets that wait for them, and the
//! exchange with peers.

use mustardway_types::instance;
use mustardway_types::time::Instant;

use super::{Action, Front};
use crate::contested::message::{Body, Confirmation, Entry, Holders, Message, Request};
use crate::note::Note;
use crate::packet::{Flow, Packet};
use crate::table::{Record, Stage};
use crate::token::Token;

impl Front {
    /// Returns the directory index of the target that holds the flow of a packet, if that
    /// is a known contested flow.
    pub(super) fn holder(&self, packet: &Packet) -> Option<usize> {
        self.index_of_token(self.contested.holder(packet)?)
    }

    /// Records that this instance saw a contested flow open at the target at `index`, and
    /// tells the peers.
    pub(super) fn record_holder(
        &mut self,
        flow: Flow,
        opening: u32,
        index: usize,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.directory.get(index) else { return };
        if !self.contested.record(flow, target.token, opening, now) {
            return;
        }
        let target = target.registration.id.clone();
        actions.push(Action::Note(Note::Contested { flow, target }));
        self.announce_holders(now, actions);
    }

    /// Returns whether a packet for the target at `index` has to wait: its flow may be
    /// contested, and it is not yet agreed which target holds it.
    pub(super) fn must_wait(
        &mut self,
        packet: &Packet,
        index: usize,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        let flow = packet.flow();
        if self.contested.is_waiting(&flow, now) {
            return true;
        }
        let record = self.table.get(&flow).copied();
        let is_open = record.is_some_and(|record| record.stage != Stage::Opening);
        if is_open || self.holder(packet).is_some() {
            return false;
        }
        if self.contested.is_catching_up(now) {
            return true;
        }
        if !self.may_be_contested(packet, record.as_ref(), index) {
            return false;
        }
        let opening = self.contested.opening_of(&flow).or(record.and_then(|it| it.opening));
        match opening {
            // A late answer may have come before the data, so an instance that has seen the
            // bare acknowledgement names the holder first.
            Some(opening)
                if packet.is_first_after(opening)
                    && (packet.length == 0 || self.contested.has_waited(&flow, now)) =>
            {
                self.record_holder(flow, opening, index, now, actions);
            }
            // Another instance got the first packet, or sent the copy.
            _ if self.neighbours.len() > 1 => self.contested.await_holder(flow, now),
            _ => {}
        }
        self.contested.is_waiting(&flow, now)
    }

    /// Returns whether several targets may have got the opening packet of a flow that this
    /// instance has not seen open.
    fn may_be_contested(&self, packet: &Packet, record: Option<&Record>, index: usize) -> bool {
        let target = self.directory.get(index);
        let is_marked = target.is_some_and(|target| !target.is_named_by(packet.token));
        let is_elsewhere = record.is_some_and(|it| it.is_ambiguous || it.target != index);
        is_marked || is_elsewhere || self.contested.opening_of(&packet.flow()).is_some()
    }

    /// Lets the held packets be decided on again once a wait has ended.
    pub(super) fn resume_held(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let has_ended = self.contested.take_ended_waits(now);
        let has_caught_up = self.is_catching_up && !self.contested.is_catching_up(now);
        self.is_catching_up = self.contested.is_catching_up(now);
        if self.has_held && (has_ended || has_caught_up) {
            self.has_held = false;
            actions.push(Action::Resume);
        }
    }

    /// Exchanges contested flows with the peers, and asks them after a start.
    pub(super) fn exchange_holders(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.announce_holders(now, actions);
        self.announce_copies(now, actions);
        if !self.contested.is_request_due(now) {
            return;
        }
        // The peers that follow this instance, so that not all that start ask the same ones.
        let position = self.neighbours.iter().position(|id| *id == self.me).unwrap_or_default();
        let mut peers = self.neighbours.clone();
        peers.rotate_left(position);
        peers.retain(|id| *id != self.me);
        peers.extend(self.relays.iter().cloned());
        for to in self.contested.take_requests(&peers, now) {
            let message = Body::Request(Request {}).into();
            actions.push(Action::SendContested { to, message });
        }
    }

    /// Tells instances that have become known what was announced before.
    pub(super) fn tell_started(&self, earlier: &[instance::Id], now: Instant) -> Vec<Action> {
        let recent = self.contested.recent(now);
        let mut actions = Vec::new();
        if recent.all().next().is_none() {
            return actions;
        }
        for to in self.near_peers().filter(|id| !earlier.contains(id)).cloned() {
            let message = Body::Announcement(recent.clone()).into();
            actions.push(Action::SendContested { to, message });
        }
        actions
    }

    /// Returns the other live instances in this failure domain.
    fn near_peers(&self) -> impl Iterator<Item = &instance::Id> {
        self.neighbours.iter().filter(|id| **id != self.me)
    }

    fn announce_holders(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.contested.is_announcement_due(now) {
            return;
        }
        let near: Vec<instance::Id> = self.near_peers().cloned().collect();
        let holders = self.contested.take_announcement(&near, self.relays.len(), now);
        self.tell_domain(&holders, actions);
        for to in self.relays.clone() {
            let holders = Holders { relay: true, number: 0, ..holders.clone() };
            actions.push(Action::SendContested { to, message: Body::Announcement(holders).into() });
        }
    }

    /// Tells the peers in this failure domain of copies whose flows did not open through this
    /// instance at once.
    fn announce_copies(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.contested.are_copies_due(now) {
            return;
        }
        let copies = self.contested.take_copies(self.near_peers().count(), now);
        if !copies.copies.is_empty() {
            self.tell_domain(&copies, actions);
        }
    }

    /// Sends an announcement to the peers in this failure domain.
    fn tell_domain(&self, holders: &Holders, actions: &mut Vec<Action>) {
        for to in self.near_peers().cloned() {
            let message = Body::Announcement(holders.clone()).into();
            actions.push(Action::SendContested { to, message });
        }
    }

    /// Handles a message about contested flows.
    pub(super) fn receive_contested(
        &mut self,
        from: instance::Id,
        message: Message,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        match message.body {
            Some(Body::Request(_)) => {
                let message = Body::Answer(self.contested.answer(now)).into();
                actions.push(Action::SendContested { to: from, message });
            }
            Some(Body::Announcement(holders)) => {
                let new = self.learn(&holders, now, actions);
                if holders.number > 0 {
                    let message = Body::Confirmation(Confirmation { number: holders.number });
                    actions.push(Action::SendContested { to: from, message: message.into() });
                }
                if holders.relay && !new.is_empty() {
                    self.tell_domain(&Holders { entries: new, ..Holders::default() }, actions);
                }
            }
            Some(Body::Answer(holders)) => {
                self.learn(&holders, now, actions);
                self.contested.record_answer(holders.is_complete);
            }
            Some(Body::Confirmation(confirmation)) => {
                self.contested.confirm(&from, confirmation.number);
            }
            None => {}
        }
        self.resume_held(now, actions);
    }

    /// Records what a peer tells, and returns the holders that were not known.
    fn learn(&mut self, told: &Holders, now: Instant, actions: &mut Vec<Action>) -> Vec<Entry> {
        let new = self.contested.merge(told, now);
        self.note_misdirected(&new, actions);
        for entry in &told.copies {
            let Some(record) = self.table.get(&entry.flow()).copied() else { continue };
            if record.stage != Stage::Opening && record.has_seen_first_after(entry.opening) {
                self.record_holder(entry.flow(), entry.opening, record.target, now, actions);
            }
        }
        new
    }

    /// Logs the flows whose packets this instance has sent to another target than the
    /// holder that a peer has told now.
    fn note_misdirected(&self, entries: &[Entry], actions: &mut Vec<Action>) {
        for entry in entries {
            let flow = entry.flow();
            let Some(record) = self.table.get(&flow) else { continue };
            let is_other = record.opening.is_some_and(|opening| opening != entry.opening);
            if record.stage == Stage::Opening || is_other {
                continue;
            }
            let Some(holder) = self.index_of_token(Token(entry.token)) else { continue };
            if holder == record.target {
                continue;
            }
            let id_of = |index| self.directory.get(index).map(|it| it.registration.id.clone());
            let (Some(target), Some(holder)) = (id_of(record.target), id_of(holder)) else {
                continue;
            };
            actions.push(Action::Note(Note::Misdirected { flow, target, holder }));
        }
    }
}
