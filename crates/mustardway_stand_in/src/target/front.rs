//! The packet service and the health service of a target.

use std::sync::Arc;
use std::time::Duration;

use mustardway_types::answer::{Answer, Reason};
use mustardway_types::packet::Header;
use mustardway_wire::convert;
use mustardway_wire::health::health_check_response::ServingStatus;
use mustardway_wire::health::{Health, HealthCheckRequest, HealthCheckResponse};
use mustardway_wire::packet::{self, Front, Packet, Reply};
use tokio::time::Instant;
use volo_grpc::{Request, Response, Status};

use super::behaviour;
use super::core::{Core, Outcome, Rejection};
use crate::deadline;
use crate::payload::{self, Demand, Key};

/// Implements the packet service and the health service.
#[derive(Debug, Clone)]
pub(super) struct Service {
    core: Arc<Core>,
}

/// Holds one call in the load and releases it when dropped.
struct LoadGuard<'a> {
    core: &'a Core,
    outcome: Outcome,
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.core.release(self.outcome);
    }
}

impl Service {
    pub(super) fn new(core: Arc<Core>) -> Service {
        Service { core }
    }

    async fn answer(&self, packet: Packet, deadline: Instant) -> Result<Reply, Status> {
        let wire = packet.header.as_ref();
        let header = convert::decode_header(wire)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let demand = Demand::decode(&packet.payload)
            .ok_or_else(|| Status::invalid_argument("the payload makes no wish"))?;
        match self.core.admit(&header) {
            Ok(()) => {}
            Err(Rejection::Refused) => return Ok(not_run(wire, Reason::Shed)),
            Err(Rejection::UnknownFlow) => return Ok(not_run(wire, Reason::FlowUnknown)),
            Err(Rejection::Unavailable) => return Err(Status::unavailable("the target is away")),
        }
        let mut load = LoadGuard { core: &self.core, outcome: Outcome::Cancelled };
        let mut crashes = self.core.watch_crashes();
        let result = tokio::select! {
            result = self.run(&header, demand, deadline, &mut load) => result,
            _ = crashes.changed() => Err(Status::unavailable("the target fell over")),
        };
        if load.outcome == Outcome::Expired {
            return Ok(not_run(wire, Reason::Shed));
        }
        load.outcome = Outcome::Done;
        result?;
        Ok(self.reply(&header, demand))
    }

    /// Waits for a slot, then works on the request.
    async fn run(
        &self,
        header: &Header,
        demand: Demand,
        deadline: Instant,
        load: &mut LoadGuard<'_>,
    ) -> Result<(), Status> {
        let behaviour = self.core.behaviour();
        if behaviour.mute {
            std::future::pending::<()>().await;
        }
        let Ok(slot) = tokio::time::timeout_at(deadline, self.core.slots().acquire()).await else {
            load.outcome = Outcome::Expired;
            return Ok(());
        };
        let _slot = slot.map_err(|_| Status::unavailable("the target is away"))?;
        let index = self.core.record_start(header);
        tokio::time::sleep(self.work_time(demand, behaviour)).await;
        self.core.record_end(index, header);
        Ok(())
    }

    fn work_time(&self, demand: Demand, behaviour: behaviour::Behaviour) -> Duration {
        let work = match demand.work_micros {
            0 => self.core.settings().service_time,
            micros => Duration::from_micros(u64::from(micros)),
        };
        work + Duration::from_millis(behaviour.slow_millis)
    }

    fn reply(&self, header: &Header, demand: Demand) -> Reply {
        let key = Key { flow: header.flow.0, request: header.request.0, part: header.part };
        Reply {
            answer: packet::Answer::DONE,
            reason: Reason::Answered.to_string().into(),
            come_back_millis: 0,
            flow: key.flow,
            request: key.request,
            part: key.part,
            parts: header.parts,
            payload: payload::answer(key, demand.answer_bytes),
            target: self.core.settings().name.to_string().into(),
        }
    }
}

/// Returns the answer that the request of `header` did not run.
fn not_run(header: Option<&packet::Header>, reason: Reason) -> Reply {
    convert::encode_reply(header, &Answer::new(reason))
}

impl Front for Service {
    async fn send(&self, request: Request<Packet>) -> Result<Response<Reply>, Status> {
        let left = deadline::read(request.metadata());
        let deadline = Instant::now() + left;
        let reply = self.answer(request.into_inner(), deadline).await?;
        Ok(Response::new(reply))
    }
}

impl Health for Service {
    async fn check(
        &self,
        _request: Request<HealthCheckRequest>,
    ) -> Result<Response<HealthCheckResponse>, Status> {
        let behaviour = self.core.behaviour();
        let is_serving = match behaviour.health {
            behaviour::Health::Serving => true,
            behaviour::Health::NotServing => false,
            behaviour::Health::Error => return Err(Status::internal("health is not known")),
            behaviour::Health::Honest if !self.core.is_up() => {
                return Err(Status::unavailable("the target is away"));
            }
            behaviour::Health::Honest => !behaviour.draining,
        };
        let status = if is_serving { ServingStatus::SERVING } else { ServingStatus::NOT_SERVING };
        Ok(Response::new(HealthCheckResponse { status }))
    }
}
