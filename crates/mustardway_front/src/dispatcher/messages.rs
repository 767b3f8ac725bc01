//! Messages from and to other instances.

use std::net::SocketAddr;

use bytes::Bytes;
use mustardway_flow::contested::message as contested_message;
use mustardway_flow::front;
use mustardway_load::message as load_message;
use mustardway_membership::{event, message as membership_message};
use mustardway_mirror::{message as mirror_message, node as mirror};
use mustardway_peer::frame::Kind;
use mustardway_peer::link::Peer;
use mustardway_peer::send::Priority;
use mustardway_types::time::Instant;
use mustardway_types::{instance, target};
use prost::Message;

use super::Dispatcher;
use crate::peers::{CONTESTED, LOAD, MEMBERSHIP, MIRROR, TARGET_STATUS, TargetStatus};

impl Dispatcher {
    /// Decodes a message of a peer and passes it to the state machine that it is for.
    pub(super) fn handle_frame(
        &mut self,
        from: &instance::Id,
        kind: Kind,
        body: Bytes,
        now: Instant,
    ) {
        let result = match kind {
            MEMBERSHIP => membership_message::Message::decode(body).map(|message| {
                self.handle_membership_event(
                    event::Event::Received { from: from.clone(), message },
                    now,
                );
            }),
            MIRROR => mirror_message::Message::decode(body).map(|message| {
                self.handle_mirror_event(
                    mirror::Event::Received { from: from.clone(), message },
                    now,
                );
            }),
            LOAD => load_message::Message::decode(body).map(|message| {
                let event = front::Event::Load { from: from.clone(), message };
                self.handle_front_event(event, now);
            }),
            CONTESTED => contested_message::Message::decode(body).map(|message| {
                let event = front::Event::Contested { from: from.clone(), message };
                self.handle_front_event(event, now);
            }),
            _ => TargetStatus::decode(body)
                .map(|status| self.handle_target_status(from, &status, now)),
        };
        if let Err(error) = result {
            if kind == LOAD {
                self.report.metrics().load.count_undecodable();
            }
            slog::warn!(self.context.logger, "skipped a malformed message";
                "peer" => %from, "kind" => %kind, "error" => %error);
        }
    }

    fn handle_target_status(&mut self, from: &instance::Id, status: &TargetStatus, now: Instant) {
        match status.target.parse() {
            Ok(target) => {
                let (from, is_lost) = (from.clone(), status.is_lost);
                self.handle_front_event(front::Event::PeerReport { from, target, is_lost }, now);
            }
            Err(error) => {
                slog::warn!(self.context.logger, "skipped a target status with a malformed target name"; "error" => %error);
            }
        }
    }

    /// Sends a target status to the peers in the same failure domain.
    pub(super) fn broadcast_status(&self, target: &target::Id, is_lost: bool) {
        let status = TargetStatus { target: target.to_string(), is_lost };
        for id in &self.domain_instances {
            // Skips this instance itself, which is not among its peers.
            let Some(address) = self.peers.get(id) else { continue };
            self.send_message(id, *address, Priority::Control, TARGET_STATUS, &status);
        }
    }

    pub(super) fn send_message(
        &self,
        to: &instance::Id,
        address: SocketAddr,
        priority: Priority,
        kind: Kind,
        message: &impl Message,
    ) {
        let peer = Peer { id: to.clone(), address };
        let body = Bytes::from(message.encode_to_vec());
        if let Err(error) = self.context.mesh.send(&peer, priority, kind, body) {
            slog::debug!(self.context.logger, "sending a message to a peer failed";
                "peer" => %to, "kind" => %kind, "error" => %error);
        }
    }
}
