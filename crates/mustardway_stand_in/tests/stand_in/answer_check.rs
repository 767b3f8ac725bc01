//! Callers check that an answer is complete and belongs to their request.

use mustardway_stand_in::caller::report::Outcome;
use mustardway_stand_in::caller::request::is_answer_to;
use mustardway_stand_in::listener;
use mustardway_stand_in::payload::{self, Key};
use mustardway_types::answer::{self, Reason};
use mustardway_types::packet::Header;
use mustardway_types::request::Repeat;
use mustardway_wire::convert;
use mustardway_wire::packet::{Answer, Front, FrontServer, Packet, Reply};
use tokio::time::Instant;
use volo_grpc::server::{Server, ServiceBuilder};
use volo_grpc::{Request, Response, Status};

use crate::support;

fn reply(header: &Header, size: u32) -> Reply {
    let key = Key { flow: header.flow.0, request: header.request.0, part: header.part };
    Reply {
        answer: Answer::DONE,
        flow: key.flow,
        request: key.request,
        part: key.part,
        parts: header.parts,
        payload: payload::answer(key, size),
        ..Reply::default()
    }
}

#[test]
fn matching_answer_is_accepted() {
    let kind = support::kind(Repeat::Once);
    let header = support::header(1, 2);
    assert!(is_answer_to(&header, &kind, &reply(&header, kind.demand.answer_bytes)));
}

#[test]
fn answer_of_other_request_is_rejected() {
    let kind = support::kind(Repeat::Once);
    let header = support::header(1, 2);
    for other in [support::header(1, 3), support::header(2, 2)] {
        assert!(!is_answer_to(&header, &kind, &reply(&other, kind.demand.answer_bytes)));
    }
    let mut relabelled = reply(&support::header(1, 3), kind.demand.answer_bytes);
    relabelled.request = 2;
    assert!(!is_answer_to(&header, &kind, &relabelled));
}

#[test]
fn truncated_answer_is_rejected() {
    let kind = support::kind(Repeat::Once);
    let header = support::header(1, 2);
    assert!(!is_answer_to(&header, &kind, &reply(&header, kind.demand.answer_bytes - 1)));
}

/// Answers every packet with the payload of request 77.
struct CrossedAnswers;

impl Front for CrossedAnswers {
    async fn send(&self, request: Request<Packet>) -> Result<Response<Reply>, Status> {
        let wire = request.into_inner().header.unwrap_or_default();
        let mut reply = reply(&support::header(wire.flow, 77), 1_000);
        reply.request = wire.request;
        Ok(Response::new(reply))
    }
}

#[tokio::test]
async fn crossed_answer_over_grpc_counts_as_wrong() {
    let (incoming, switch) = listener::listen(support::any()).await.unwrap();
    let server =
        Server::new().add_service(ServiceBuilder::new(FrontServer::new(CrossedAnswers)).build());
    tokio::spawn(async move { server.run(incoming).await });
    let generator = support::generator(support::kind(Repeat::Once), &[switch.address()]);
    assert_eq!(generator.send_request(Instant::now()).await, Outcome::Wrong);
    assert_eq!(generator.report().counts.wrong, 1);
}

#[tokio::test]
async fn multipart_answer_completes_and_closes_flow() {
    let target = support::target(|_| {}).await;
    let mut kind = support::kind(Repeat::Idempotent);
    kind.parts = 9;
    kind.requests_per_flow = Some(1);
    let generator = support::generator(kind, &[target.address()]);
    assert_eq!(generator.send_request(Instant::now()).await, Outcome::InTime);
    let ledger = target.ledger();
    assert_eq!((ledger.runs, ledger.openings, ledger.flows), (9, 1, 0));
    assert_eq!(generator.open_flows(), 0);
}

/// Answers opening packets, and answers every other packet that the flow has ended.
struct FlowEnder(Reason);

impl Front for FlowEnder {
    async fn send(&self, request: Request<Packet>) -> Result<Response<Reply>, Status> {
        let wire = request.into_inner().header.unwrap_or_default();
        if wire.opening {
            return Ok(Response::new(reply(&support::header(wire.flow, wire.request), 1_000)));
        }
        Ok(Response::new(convert::encode_reply(Some(&wire), &answer::Answer::new(self.0))))
    }
}

#[tokio::test]
async fn ended_flow_counts_as_broken_or_given_up() {
    for (reason, counted) in [(Reason::DomainOut, (0, 1)), (Reason::FlowUnknown, (1, 0))] {
        let (incoming, switch) = listener::listen(support::any()).await.unwrap();
        let service = ServiceBuilder::new(FrontServer::new(FlowEnder(reason))).build();
        tokio::spawn(async move { Server::new().add_service(service).run(incoming).await });
        let generator = support::generator(support::kind(Repeat::Once), &[switch.address()]);
        for _ in 0..2 {
            assert_eq!(generator.send_request(Instant::now()).await, Outcome::InTime);
        }
        let counts = generator.report().counts;
        assert_eq!((counts.broken_flows, counts.given_up_flows), counted);
        assert_eq!((generator.opened_flows(), generator.open_flows()), (2, 1));
    }
}
