//! Contested flows at this instance: their holders, and the exchange with peers.

use mustardway_types::instance;
use mustardway_types::time::Instant;

use super::{Action, Front};
use crate::contested::message::{Body, Entry, Holders, Message, Request};
use crate::note::Note;
use crate::packet::{Flow, Packet};
use crate::table::Stage;
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

    /// Tells the peers about contested flows, and asks them after a start.
    pub(super) fn exchange_holders(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.announce_holders(now, actions);
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

    /// Returns the other live instances in this failure domain.
    fn near_peers(&self) -> impl Iterator<Item = &instance::Id> {
        self.neighbours.iter().filter(|id| **id != self.me)
    }

    fn announce_holders(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.contested.is_announcement_due(now) {
            return;
        }
        let peers = self.near_peers().count() + self.relays.len();
        let entries = self.contested.take_announcement(peers, now);
        self.tell_domain(&entries, actions);
        for to in self.relays.clone() {
            actions.push(Action::SendContested { to, message: announcement(&entries, true) });
        }
    }

    /// Sends an announcement to the peers in this failure domain.
    fn tell_domain(&self, entries: &[Entry], actions: &mut Vec<Action>) {
        for to in self.near_peers().cloned() {
            actions.push(Action::SendContested { to, message: announcement(entries, false) });
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
                let new = self.contested.merge(&holders.entries, now);
                self.note_misdirected(&new, actions);
                if holders.relay && !new.is_empty() {
                    self.tell_domain(&new, actions);
                }
            }
            Some(Body::Answer(holders)) => {
                let new = self.contested.merge(&holders.entries, now);
                self.note_misdirected(&new, actions);
                if holders.is_complete {
                    self.contested.mark_complete();
                }
            }
            None => {}
        }
    }

    /// Logs the flows whose packets this instance has sent to another target than the
    /// holder that a peer has told now.
    fn note_misdirected(&self, entries: &[Entry], actions: &mut Vec<Action>) {
        for entry in entries {
            let flow = entry.flow();
            let Some(record) = self.table.get(&flow) else { continue };
            if record.stage == Stage::Opening || record.opening.is_some() {
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

fn announcement(entries: &[Entry], relay: bool) -> Message {
    Body::Announcement(Holders { entries: entries.to_vec(), relay, is_complete: false }).into()
}
