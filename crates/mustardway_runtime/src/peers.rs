//! Dispatch of the frames that arrive from other instances.

use std::collections::HashMap;
use std::sync::{Arc, Weak};

use bytes::Bytes;
use mustardway_gate::{Announcement, Handover, Key};
use mustardway_peer::frame::Frame;
use mustardway_peer::handler::Handler;
use mustardway_peer::link::{Down, Peer};
use mustardway_peer::send::Priority;
use mustardway_types::{flow, instance, request};
use parking_lot::Mutex;
use prost::Message;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::handover;
use crate::message::{Accepted, Ask, Cancel, Elsewhere, Kind, Reply, Witness, Witnessed};
use crate::node::{Node, frame_kind};
use crate::owner;

/// A message or link event of a peer for the control loop.
#[derive(Debug)]
pub enum Notice {
    /// A membership message.
    Membership(instance::Id, Bytes),
    /// A configuration distribution message.
    Spread(instance::Id, Bytes),
    /// A link to the peer broke.
    LinkDown(instance::Id),
    /// The peer acknowledged the handover of a gate.
    Accepted(instance::Id, Accepted),
}

/// Asks from peers that are being served, by ingress and id, with the tokens that cancel them.
type ActiveAsks = Mutex<HashMap<(instance::Id, u64), CancellationToken>>;

/// Decodes each frame and passes it to the component that handles its kind.
pub struct Peers {
    node: Weak<Node>,
    notices: mpsc::Sender<Notice>,
    active_asks: Arc<ActiveAsks>,
    runtime: tokio::runtime::Handle,
}

impl Peers {
    /// Creates the handler for `node`. The control loop receives `notices`.
    pub fn new(node: &Arc<Node>, notices: mpsc::Sender<Notice>) -> Self {
        Peers {
            node: Arc::downgrade(node),
            notices,
            active_asks: Arc::default(),
            runtime: tokio::runtime::Handle::current(),
        }
    }

    /// Queues a notice for the control loop.
    fn notify(&self, notice: Notice) {
        // If the queue is full, the message is dropped, like a frame lost on the network.
        let _ = self.notices.try_send(notice);
    }

    /// Starts a task that serves an ask and sends the reply.
    fn serve_ask(&self, node: &Arc<Node>, from: &instance::Id, ask: Ask) {
        let Ok(address) = ask.reply_to.parse() else { return };
        let peer = Peer { id: from.clone(), address };
        let id = ask.id;
        let key = (from.clone(), id);
        let cancelled = CancellationToken::new();
        self.active_asks.lock().insert(key.clone(), cancelled.clone());
        let (node, active_asks) = (Arc::clone(node), Arc::clone(&self.active_asks));
        self.runtime.spawn(async move {
            let outcome = tokio::select! {
                outcome = owner::serve(&node, ask, false) => Some(outcome),
                () = cancelled.cancelled() => None,
            };
            active_asks.lock().remove(&key);
            if outcome.is_some() {
                node.send_to(&peer, Priority::Bulk, Kind::Reply, &Reply { id, outcome });
            }
        });
    }

    /// Cancels an ask that is being served.
    fn cancel(&self, from: &instance::Id, cancel: Cancel) {
        let active_asks = self.active_asks.lock();
        if let Some(cancelled) = active_asks.get(&(from.clone(), cancel.id)) {
            cancelled.cancel();
        }
    }

    /// Decodes and handles one message.
    fn handle(
        &self,
        from: &instance::Id,
        kind: Kind,
        body: Bytes,
    ) -> Result<(), prost::DecodeError> {
        let Some(node) = self.node.upgrade() else { return Ok(()) };
        match kind {
            Kind::Membership => self.notify(Notice::Membership(from.clone(), body)),
            Kind::Spread => self.notify(Notice::Spread(from.clone(), body)),
            Kind::Ask => self.serve_ask(&node, from, Ask::decode(body)?),
            Kind::Reply => complete_ask(&node, Reply::decode(body)?),
            Kind::Cancel => self.cancel(from, Cancel::decode(body)?),
            Kind::Witness => record_witness(&node, from, &Witness::decode(body)?),
            Kind::Witnessed => node.relay.acknowledge_witness(Witnessed::decode(body)?.id),
            Kind::Handover => handover::receive(&node, from, &Handover::decode(body)?),
            Kind::Accepted => self.notify(Notice::Accepted(from.clone(), Accepted::decode(body)?)),
            Kind::Announcement => apply_announcement(&node, &Announcement::decode(body)?),
            Kind::Elsewhere => owner::record_elsewhere(&node, &Elsewhere::decode(body)?),
        }
        Ok(())
    }
}

impl Handler for Peers {
    fn frame(&self, from: &instance::Id, frame: Frame) {
        let number = frame.kind;
        let mut kinds = Kind::ALL.into_iter();
        let Some(kind) = kinds.find(|kind| frame_kind(*kind).0 == number) else { return };
        if let Err(error) = self.handle(from, kind, frame.body)
            && let Some(node) = self.node.upgrade()
        {
            slog::warn!(node.logger, "skipped a malformed message";
                "peer" => %from, "kind" => ?kind, "error" => %error);
        }
    }

    fn link_down(&self, down: &Down) {
        if let Some(node) = self.node.upgrade() {
            node.relay.fail_link(down.link);
        }
        self.notify(Notice::LinkDown(down.peer.id.clone()));
    }
}

/// Resolves the ask to which the reply belongs.
fn complete_ask(node: &Node, reply: Reply) {
    if let Some(outcome) = reply.outcome {
        node.relay.complete(reply.id, outcome);
    }
}

/// Remembers a once-only request as its witness and acknowledges it.
fn record_witness(node: &Node, from: &instance::Id, witness: &Witness) {
    let Ok(target) = witness.target.parse() else { return };
    let Ok(address) = witness.reply_to.parse() else { return };
    let key = Key {
        flow: flow::Id(witness.flow),
        request: request::Id(witness.request),
        part: witness.part,
    };
    node.forwarded.lock().insert(target, key, node.clock.now());
    let peer = Peer { id: from.clone(), address };
    node.send_to(&peer, Priority::Bulk, Kind::Witnessed, &Witnessed { id: witness.id });
}

/// Applies an announcement of another instance to the gate of its target.
fn apply_announcement(node: &Arc<Node>, announcement: &Announcement) {
    let Ok(target) = announcement.target.parse() else { return };
    let Some(gate) = node.gate(&target) else { return };
    let mut steps = Vec::new();
    // The gate rejects an announcement that arrives after its rebuild time.
    let _ = gate.lock().receive_announcement(node.clock.now(), announcement, &mut steps);
    node.dispatch(steps, None);
}
