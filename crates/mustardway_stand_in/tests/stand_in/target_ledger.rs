//! Ledger entries of a target.

use std::time::Duration;

use mustardway_types::request::Repeat;

use crate::support;

const WORK: Duration = Duration::from_millis(1);

#[tokio::test]
async fn second_run_of_once_request_is_a_double() {
    let target = support::target(|_| {}).await;
    let client = support::client(&target);
    let header = support::header(1, 1);
    for _ in 0..2 {
        support::send(&client, support::packet(&header, WORK)).await.unwrap();
    }
    let ledger = target.ledger();
    assert_eq!((ledger.runs, ledger.doubles, ledger.repeats), (2, 1, 0));
}

#[tokio::test]
async fn second_run_of_idempotent_request_is_a_repeat() {
    let target = support::target(|_| {}).await;
    let client = support::client(&target);
    let mut header = support::header(1, 1);
    header.repeat = Repeat::Idempotent;
    for _ in 0..2 {
        support::send(&client, support::packet(&header, WORK)).await.unwrap();
    }
    let ledger = target.ledger();
    assert_eq!((ledger.runs, ledger.doubles, ledger.repeats), (2, 0, 1));
}

#[tokio::test]
async fn packet_for_other_service_is_counted() {
    let target = support::target(|_| {}).await;
    let mut header = support::header(1, 1);
    header.address = "127.0.0.8:80".parse().unwrap();
    support::send(&support::client(&target), support::packet(&header, WORK)).await.unwrap();
    assert_eq!(target.ledger().wrong_service, 1);
}

#[tokio::test]
async fn closed_flow_is_no_longer_counted() {
    let target = support::target(|_| {}).await;
    let client = support::client(&target);
    for flow in 0..3 {
        support::send(&client, support::packet(&support::header(flow, 1), WORK)).await.unwrap();
    }
    let mut last = support::header(2, 2);
    last.opening = false;
    last.closing = true;
    support::send(&client, support::packet(&last, WORK)).await.unwrap();
    let ledger = target.ledger();
    assert_eq!((ledger.openings, ledger.flows), (3, 2));
}

#[tokio::test]
async fn dropped_call_is_cancelled_and_unfinished() {
    let target = support::target(|_| {}).await;
    let client = support::client(&target);
    let packet = support::packet(&support::header(1, 1), Duration::from_secs(600));
    let call = tokio::spawn(async move { support::send(&client, packet).await });
    support::until(|| target.ledger().runs == 1).await;
    call.abort();
    support::until(|| target.ledger().cancelled == 1).await;
    assert_eq!(target.ledger().finished, 0);
    assert_eq!(target.runs()[0].end_millis, None);
}
