//! The fabric distributes packets over instances and applies links and impairment.

use std::time::Duration;

use assert_matches::assert_matches;
use mustardway_stand_in::fabric::{Error, Fabric, Impairment, Link};
use mustardway_stand_in::target::behaviour::Behaviour;

use crate::support;

const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(50);

#[tokio::test]
async fn packets_reach_all_instances() {
    let targets = [support::target(|_| {}).await, support::target(|_| {}).await];
    let fabric = Fabric::new(3, &[targets[0].address(), targets[1].address()]);
    for request in 0..40 {
        let packet = support::packet(&support::header(1, request), SHORT / 50);
        fabric.send(&packet, LONG).await.unwrap();
    }
    let packets = targets.map(|target| target.ledger().packets);
    assert_eq!(packets[0] + packets[1], 40);
    assert!(packets.iter().all(|count| *count >= 10), "{packets:?}");
}

#[tokio::test]
async fn refused_packet_goes_to_other_instance() {
    let targets = [support::target(|_| {}).await, support::target(|_| {}).await];
    let fabric = Fabric::new(3, &[targets[0].address(), targets[1].address()]);
    let down = Behaviour { down: true, ..Behaviour::default() };
    let packet = support::packet(&support::header(1, 1), SHORT / 50);
    targets[0].set_behaviour(down);
    support::until(|| std::net::TcpStream::connect(targets[0].address()).is_err()).await;
    for _ in 0..10 {
        fabric.send(&packet, LONG).await.unwrap();
    }
    assert_eq!(targets[1].ledger().packets, 10);
}

#[tokio::test]
async fn blackholed_link_times_out_and_down_link_refuses() {
    let target = support::target(|_| {}).await;
    let fabric = Fabric::new(3, &[target.address()]);
    let packet = support::packet(&support::header(1, 1), SHORT / 50);
    fabric.set_link(target.address(), Link::Blackholed);
    assert_matches!(fabric.send(&packet, SHORT).await, Err(Error::Timeout));
    fabric.set_link(target.address(), Link::Down);
    assert_matches!(fabric.send(&packet, LONG).await, Err(Error::Refused));
    fabric.set_link(target.address(), Link::Up);
    assert_matches!(fabric.send(&packet, LONG).await, Ok(_));
    assert_eq!(target.ledger().packets, 1);
}

#[tokio::test]
async fn duplicated_packet_runs_twice() {
    let target = support::target(|_| {}).await;
    let fabric = Fabric::new(3, &[target.address()]);
    fabric.set_impairment(Impairment { duplicated: 1.0, ..Impairment::default() });
    let packet = support::packet(&support::header(1, 1), SHORT / 50);
    fabric.send(&packet, LONG).await.unwrap();
    support::until(|| target.ledger().runs == 2).await;
    assert_eq!(target.ledger().doubles, 1);
}
