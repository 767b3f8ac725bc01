//! Packet service of the baseline.

use std::sync::Arc;
use std::time::Duration;

use mustardway_types::answer::{Answer, Reason};
use mustardway_wire::convert;
use mustardway_wire::packet::{Front, Packet, Reply};
use volo_grpc::{Request, Response, Status};

use super::view::Active;
use crate::deadline;

/// Forwards each packet to the target that its flow hashes to.
pub(super) struct Service {
    view: Arc<Active>,
}

impl Service {
    pub(super) fn new(view: Arc<Active>) -> Service {
        Service { view }
    }

    async fn forward(&self, packet: Packet, left: Duration) -> Reply {
        let header = packet.header.clone().unwrap_or_default();
        let answer = |reason| convert::encode_reply(Some(&header), &Answer::new(reason));
        let Some(client) = self.view.client(&header.address, header.flow) else {
            return answer(Reason::NoTarget);
        };
        let mut request = Request::new(packet);
        deadline::write(request.metadata_mut(), left);
        match tokio::time::timeout(left, client.send(request)).await {
            Ok(Ok(response)) => response.into_inner(),
            Ok(Err(_)) => answer(Reason::TargetLost),
            Err(_) => answer(Reason::Overrun),
        }
    }
}

impl Front for Service {
    async fn send(&self, request: Request<Packet>) -> Result<Response<Reply>, Status> {
        let left = deadline::read(request.metadata());
        Ok(Response::new(self.forward(request.into_inner(), left).await))
    }
}
