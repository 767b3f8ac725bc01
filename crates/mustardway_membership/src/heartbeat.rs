//! Sending and handling of heartbeats, which carry sequence numbers, echoes, the
//! table digest and the revision in force.

use std::net::SocketAddr;

use mustardway_types::instance;
use mustardway_types::revision;
use mustardway_types::time::{Instant, Span};

use crate::action::Action;
use crate::claim::Source;
use crate::gossip;
use crate::member::State;
use crate::message::{Body, Entry, Heartbeat};
use crate::node::Node;

/// Reason for sending a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The heartbeat interval has passed, or a contact has ended.
    Regular,
    /// This instance probes whether the receiver is alive.
    Probe,
    /// The receiver may not know the present record of this instance.
    Introduction,
    /// Answers a heartbeat with this sequence number.
    Reply(u64),
    /// The receiver's present incarnation is not known here.
    Unknown,
}

impl Node {
    /// Sends a heartbeat to every contact.
    pub(crate) fn heartbeat_all(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.round_trips.record_round(self.sequence + 1, now);
        for id in self.contacts.ids() {
            self.send_heartbeat(&id, Kind::Regular, now, actions);
        }
    }

    /// Sends a heartbeat to a known instance.
    pub(crate) fn send_heartbeat(
        &mut self,
        to: &instance::Id,
        kind: Kind,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.table.get(to) else { return };
        let address = record.member.address;
        self.send_heartbeat_at(to, address, kind, now, actions);
    }

    /// Sends a heartbeat to an instance that may be unknown, at `address`.
    pub(crate) fn send_heartbeat_at(
        &mut self,
        to: &instance::Id,
        address: SocketAddr,
        kind: Kind,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.sequence += 1;
        let contact = self.contacts.get(to);
        let record = self.table.get(to);
        let echo = match (kind, contact, record) {
            (Kind::Reply(sequence), ..) => sequence,
            (_, Some(contact), Some(record))
                if contact.incarnation == record.member.incarnation.0 =>
            {
                contact.sequence
            }
            _ => 0,
        };
        let mut entries = Vec::new();
        if kind != Kind::Regular || contact.is_none_or(|contact| contact.needs_introduction) {
            entries.push(Entry::new(self.me()));
        }
        if let Some(record) = record
            && !record.state.is_live()
            && !record.presumed_dead
        {
            entries.push(Entry::new(record));
        }
        let age = self.revision.age + now.since(self.revision.at);
        let heartbeat = Heartbeat {
            sequence: self.sequence,
            echo,
            incarnation: self.me().member.incarnation.0,
            table: self.table.digest(),
            number: self.revision.number.0,
            digest: self.revision.digest.0,
            age_millis: age.as_millis(),
            neighbour: contact.is_some_and(|contact| contact.neighbour),
            probe: kind == Kind::Probe,
            unknown: kind == Kind::Unknown,
            entries,
        };
        actions.push(gossip::send(to, address, Body::Heartbeat(heartbeat)));
    }

    /// Records that a peer was heard, whichever it is.
    pub(crate) fn record_any_heard(&mut self, now: Instant) {
        self.last_heard = Some(now);
        self.silent_since = now;
    }

    /// Handles a heartbeat from a peer. If the peer's incarnation is unknown here it
    /// is asked for; if the incarnation is outdated the peer gets the known record.
    pub(crate) fn handle_heartbeat(
        &mut self,
        from: &instance::Id,
        heartbeat: &Heartbeat,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.record_any_heard(now);
        self.apply_entries(from, &heartbeat.entries, Source::Pushed, now, actions);
        let Some(record) = self.table.get(from) else { return };
        let known = record.member.incarnation.0;
        if heartbeat.incarnation > known {
            self.send_heartbeat(from, Kind::Unknown, now, actions);
            return;
        }
        if heartbeat.incarnation < known {
            let record = Entry::new(record);
            let body = Body::Gossip(crate::message::Gossip { entries: vec![record] });
            self.send(from, body, actions);
            return;
        }
        if record.presumed_dead {
            self.table.set_state(from, State::Alive, now);
            self.contacts.queue_change(from, Some(from));
        }
        let live = self.state(from).is_some_and(State::is_live);
        if !live {
            self.send_heartbeat(from, Kind::Reply(heartbeat.sequence), now, actions);
            return;
        }
        self.handle_live_heartbeat(from, heartbeat, now, actions);
    }

    /// Handles a heartbeat from a live peer with the known incarnation.
    fn handle_live_heartbeat(
        &mut self,
        from: &instance::Id,
        heartbeat: &Heartbeat,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.lift_fence_on_echo(heartbeat.echo);
        self.joined |= heartbeat.table == self.table.digest();
        if heartbeat.neighbour {
            self.contacts.record_watch_request(from, now);
        }
        let answered = heartbeat.echo != 0 && heartbeat.echo <= self.sequence;
        if answered {
            self.round_trips.record_echo(heartbeat.echo);
        }
        let differs = heartbeat.table != self.table.digest();
        if let Some(contact) = self.contacts.get_mut(from) {
            contact.record_heard(now);
            if !heartbeat.neighbour {
                contact.watch_requested = None;
            }
            let newer = contact.incarnation != heartbeat.incarnation;
            if newer || heartbeat.sequence > contact.sequence {
                contact.sequence = heartbeat.sequence;
                contact.incarnation = heartbeat.incarnation;
            }
            contact.needs_introduction = (contact.needs_introduction || newer) && !answered;
            contact.differs_since =
                if differs { contact.differs_since.or(Some(now)) } else { None };
        }
        if self.state(from) == Some(State::Suspect) {
            self.table.set_state(from, State::Alive, now);
        }
        self.answer_indirect_probes(from, now, actions);
        actions.push(Action::PeerRevision {
            from: from.clone(),
            number: revision::Number(heartbeat.number),
            digest: revision::Digest(heartbeat.digest),
            age: Span::millis(heartbeat.age_millis.min(u64::from(u32::MAX))),
        });
        if heartbeat.unknown {
            self.send_heartbeat(from, Kind::Introduction, now, actions);
        }
        if heartbeat.probe {
            self.send_heartbeat(from, Kind::Reply(heartbeat.sequence), now, actions);
        }
    }
}
