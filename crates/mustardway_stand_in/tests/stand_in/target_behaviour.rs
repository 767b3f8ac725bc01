//! Injected behaviour of a target and its reaction to overload.

use std::time::Duration;

use assert_matches::assert_matches;
use mustardway_stand_in::target::Server;
use mustardway_stand_in::target::behaviour::{Behaviour, Health, Overload};
use mustardway_types::answer::Reason;
use mustardway_wire::health::health_check_response::ServingStatus;
use mustardway_wire::health::{HealthCheckRequest, HealthClientBuilder};
use mustardway_wire::packet::{Answer, Packet};
use tokio::time::Instant;
use volo::net::Address;
use volo_grpc::{Code, Request};

use crate::support;

const WORK: Duration = Duration::from_millis(1);
const ENDLESS: Duration = Duration::from_secs(600);

fn packet(request: u64, work: Duration) -> Packet {
    support::packet(&support::header(1, request), work)
}

/// Sends a packet that outlasts the test, and waits until `target` has received it.
async fn hold(target: &Server, request: u64) {
    let client = support::client(target);
    tokio::spawn(async move { support::send(&client, packet(request, ENDLESS)).await });
    support::until(|| target.ledger().packets == request).await;
}

async fn health(target: &Server) -> Result<ServingStatus, Code> {
    let client = HealthClientBuilder::new("test").address(Address::from(target.address())).build();
    let asked = client.check(HealthCheckRequest::default()).await;
    asked.map(|response| response.into_inner().status).map_err(|status| status.code())
}

#[tokio::test]
async fn shedding_refuses_without_running() {
    let target = support::target(|settings| settings.behaviour.shedding = true).await;
    let reply = support::send(&support::client(&target), packet(1, WORK)).await.unwrap();
    assert_eq!(reply.answer, Answer::REFUSED);
    assert_eq!(reply.reason, Reason::Shed.to_string());
    let ledger = target.ledger();
    assert_eq!((ledger.runs, ledger.refused), (0, 1));
}

#[tokio::test]
async fn draining_refuses_only_new_flows() {
    let target = support::target(|_| {}).await;
    let client = support::client(&target);
    support::send(&client, packet(1, WORK)).await.unwrap();
    target.set_behaviour(Behaviour { draining: true, ..Behaviour::default() });
    let mut header = support::header(1, 2);
    header.opening = false;
    let established = support::send(&client, support::packet(&header, WORK)).await.unwrap();
    let opening = support::packet(&support::header(2, 1), WORK);
    let opening = support::send(&client, opening).await.unwrap();
    assert_eq!((established.answer, opening.answer), (Answer::DONE, Answer::REFUSED));
    assert_eq!(health(&target).await, Ok(ServingStatus::NOT_SERVING));
}

#[tokio::test]
async fn packet_of_unknown_flow_does_not_run() {
    let target = support::target(|_| {}).await;
    let mut header = support::header(1, 1);
    header.opening = false;
    let packet = support::packet(&header, WORK);
    let reply = support::send(&support::client(&target), packet).await.unwrap();
    assert_eq!(reply.answer, Answer::FLOW_ENDED);
    let ledger = target.ledger();
    assert_eq!((ledger.runs, ledger.unknown_flows), (0, 1));
}

#[tokio::test]
async fn health_answer_follows_injected_value() {
    let target = support::target(|_| {}).await;
    assert_eq!(health(&target).await, Ok(ServingStatus::SERVING));
    let down = Behaviour { shedding: true, health: Health::NotServing, ..Behaviour::default() };
    target.set_behaviour(down);
    assert_eq!(health(&target).await, Ok(ServingStatus::NOT_SERVING));
    target.set_behaviour(Behaviour { draining: true, health: Health::Serving, ..down });
    assert_eq!(health(&target).await, Ok(ServingStatus::SERVING));
    target.set_behaviour(Behaviour { health: Health::Error, ..down });
    assert_eq!(health(&target).await, Err(Code::Internal));
}

#[tokio::test]
async fn requests_beyond_slots_are_queued() {
    let target = support::target(|settings| settings.slots = 2).await;
    for request in 1..=3 {
        hold(&target, request).await;
    }
    let ledger = target.ledger();
    assert_eq!((ledger.runs, ledger.in_flight_max, ledger.overloads), (2, 3, 1));
}

#[tokio::test]
async fn queued_request_expires_at_deadline() {
    let target = support::target(|settings| settings.slots = 1).await;
    hold(&target, 1).await;
    let mut request = Request::new(packet(2, WORK));
    request.metadata_mut().insert("grpc-timeout", "30m".parse().unwrap());
    let reply = support::client(&target).send(request).await.unwrap().into_inner();
    assert_eq!(reply.answer, Answer::REFUSED);
    let ledger = target.ledger();
    assert_eq!((ledger.runs, ledger.expired), (1, 1));
}

#[tokio::test]
async fn cold_target_sheds_overload() {
    let target = support::target(|settings| {
        settings.warm_up = ENDLESS;
        settings.behaviour.over = Overload::Shed;
    })
    .await;
    hold(&target, 1).await;
    let reply = support::send(&support::client(&target), packet(2, WORK)).await.unwrap();
    assert_eq!(reply.answer, Answer::REFUSED);
    let ledger = target.ledger();
    assert_eq!((ledger.cold_overloads, ledger.runs, ledger.falls), (1, 1, 0));
}

#[tokio::test]
async fn cold_target_crashes_under_lasting_overload() {
    let target = support::target(|settings| settings.warm_up = ENDLESS).await;
    let client = support::client(&target);
    let running = {
        let client = client.clone();
        tokio::spawn(async move { support::send(&client, packet(1, ENDLESS)).await })
    };
    support::until(|| target.ledger().runs == 1).await;
    let mut request = 2;
    while target.ledger().falls == 0 {
        hold(&target, request).await;
        request += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let status = running.await.unwrap().unwrap_err();
    assert_eq!(status.code(), Code::Unavailable);
    assert_matches!(target.ledger().cold_load_max, load if load >= 2.0);
}

#[tokio::test]
async fn reset_restarts_warm_up() {
    let target = support::target(|_| {}).await;
    let before = Instant::now();
    assert!(target.cold_since() <= before);
    target.reset_warm_up();
    assert!(target.cold_since() >= before);
}

#[tokio::test]
async fn warm_target_without_overload_counts_none() {
    let target = support::target(|_| {}).await;
    hold(&target, 1).await;
    hold(&target, 2).await;
    let ledger = target.ledger();
    assert_eq!((ledger.overloads, ledger.cold_overloads), (0, 0));
}
