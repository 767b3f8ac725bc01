//! The gRPC service that takes the packets of callers.

use std::sync::Arc;

use mustardway_types::answer::{Answer, Reason};
use mustardway_types::size::Bytes;
use mustardway_types::time::Span;
use mustardway_wire::{convert, packet, timeout};
use volo_grpc::{Request, Response, Status};

use crate::ingress::{self, Served};
use crate::node::Node;

/// Time until the deadline of a packet that gives none.
const DEFAULT_DEADLINE: Span = Span::seconds(5);
/// Longest time until a deadline. Longer ones are shortened to it.
const DEADLINE_MAX: Span = Span::seconds(30);

/// The gRPC service for callers.
pub struct Front {
    node: Arc<Node>,
    packet_max: Bytes,
}

impl Front {
    /// Creates a service that accepts packets with a payload of at most `packet_max`.
    pub fn new(node: Arc<Node>, packet_max: Bytes) -> Self {
        Front { node, packet_max }
    }

    /// Validates and serves one packet.
    async fn serve(&self, packet: packet::Packet, deadline: Option<Span>) -> packet::Reply {
        let wire = packet.header;
        let header = match convert::decode_header(wire.as_ref()) {
            Ok(header) => header,
            Err(error) => {
                slog::debug!(self.node.logger, "malformed packet"; "error" => %error);
                return self.refuse(wire.as_ref(), Reason::Malformed);
            }
        };
        if packet.payload.len() as u64 > self.packet_max.0 {
            return self.refuse(wire.as_ref(), Reason::TooLarge);
        }
        let span = deadline.unwrap_or(DEFAULT_DEADLINE).min(DEADLINE_MAX);
        let deadline = self.node.clock.now() + span;
        match ingress::serve(&self.node, header, packet.payload, deadline).await {
            Served::Answer(answer) => convert::encode_reply(wire.as_ref(), &answer),
            Served::Done { target, payload } => {
                let answer = Answer::new(Reason::Answered);
                let reply = convert::encode_reply(wire.as_ref(), &answer);
                packet::Reply { payload, target: target.to_string().into(), ..reply }
            }
        }
    }

    /// Counts and returns an answer for a packet that is not routed.
    fn refuse(&self, header: Option<&packet::Header>, reason: Reason) -> packet::Reply {
        self.node.count_answer(reason);
        convert::encode_reply(header, &Answer::new(reason))
    }
}

impl packet::Front for Front {
    async fn send(
        &self,
        request: Request<packet::Packet>,
    ) -> Result<Response<packet::Reply>, Status> {
        let deadline = timeout::read(request.metadata());
        Ok(Response::new(self.serve(request.into_inner(), deadline).await))
    }
}
