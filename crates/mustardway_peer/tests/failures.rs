//! Peers that are unreachable, restarted, replaced, unresponsive or partitioned.
#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::{KIND, Node, OTHER_KIND, short_timeouts, wait_until};
use mustardway_peer::counters::Event;
use mustardway_peer::frame::Kind;
use mustardway_peer::link::Peer;
use mustardway_peer::send::{Error, Priority};
use mustardway_peer::transmission::Outcome;
use mustardway_types::time;
use tokio::net::TcpListener;

/// Returns a peer whose address has no listener.
async fn unreachable_peer() -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    Peer { id: "absent".parse().unwrap(), address: listener.local_addr().unwrap() }
}

/// Returns a peer that completes TCP connects and never reads or writes.
async fn unresponsive_peer() -> (Peer, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    (Peer { id: "mute".parse().unwrap(), address }, listener)
}

#[tokio::test]
async fn unreachable_peer_reports_not_sent() {
    let mut one = Node::start("one").await;
    let peer = unreachable_peer().await;
    let ticket = one.mesh.send_tracked(&peer, Priority::Bulk, KIND, Bytes::new()).unwrap();
    assert_eq!(ticket.outcome().await, Outcome::NotSent);
    let refused = one.mesh.send(&peer, Priority::Bulk, KIND, Bytes::new());
    assert_eq!(refused, Err(Error::Unreachable));
    assert_eq!(one.mesh.counters().count(Event::ConnectFailed), 1);
    // No frame was sent, so no broken link is reported.
    assert!(one.notifications.try_recv().is_err());
}

#[tokio::test]
async fn connect_is_retried_after_backoff() {
    let one = Node::with("one", short_timeouts).await;
    let peer = unreachable_peer().await;
    for tries in 1..=3 {
        wait_until(|| one.mesh.send(&peer, Priority::Bulk, KIND, Bytes::new()).is_ok()).await;
        wait_until(|| one.mesh.counters().count(Event::ConnectFailed) == tries).await;
    }
}

#[tokio::test]
async fn restarted_peer_is_reconnected() {
    let mut one = Node::with("one", short_timeouts).await;
    let mut two = Node::with("two", short_timeouts).await;
    let ticket = one.mesh.send_tracked(&two.peer, Priority::Bulk, KIND, Bytes::new()).unwrap();
    let link = ticket.link();
    assert_eq!(ticket.outcome().await, Outcome::Sent);
    two.next_frame().await;

    let peer = two.peer.clone();
    two.mesh.close(time::Span::millis(100)).await;
    let down = one.next_down().await;
    assert_eq!(down.peer, peer);
    assert_eq!(down.link, link);

    let listen = peer.address;
    let mut restarted = Node::with("two", |settings| settings.listen = listen).await;
    wait_until(|| one.mesh.send(&peer, Priority::Bulk, OTHER_KIND, Bytes::new()).is_ok()).await;
    assert_eq!(restarted.next_frame().await.1, OTHER_KIND);
}

#[tokio::test]
async fn wrong_instance_refuses_frames() {
    let mut one = Node::with("one", short_timeouts).await;
    let mut two = Node::with("two", short_timeouts).await;
    one.mesh.send(&two.peer, Priority::Bulk, KIND, Bytes::new()).unwrap();
    two.next_frame().await;
    // The sender expects another instance at the address of `two`, which must not receive
    // the frame.
    let wrong_peer = Peer { id: "three".parse().unwrap(), address: two.peer.address };
    one.mesh.send(&wrong_peer, Priority::Bulk, OTHER_KIND, Bytes::new()).unwrap();
    wait_until(|| two.mesh.counters().count(Event::BadHello) == 1).await;
    assert_eq!(two.mesh.counters().received(OTHER_KIND).frames, 0);
    // The first link is replaced because of the other name; `two` refuses the second.
    let downs = [one.next_down().await.peer, one.next_down().await.peer];
    assert!(downs.contains(&two.peer));
    assert!(downs.contains(&wrong_peer));
}

#[tokio::test]
async fn unresponsive_peer_times_out() {
    let mut one = Node::with("one", short_timeouts).await;
    let (peer, _listener) = unresponsive_peer().await;
    let ticket = one.mesh.send_tracked(&peer, Priority::Bulk, KIND, Bytes::new()).unwrap();
    let link = ticket.link();
    assert_eq!(ticket.outcome().await, Outcome::Sent);
    assert_eq!(one.next_down().await.link, link);
    assert_eq!(one.mesh.counters().count(Event::SilenceTimeout), 1);
}

#[tokio::test]
async fn blocked_frames_report_not_sent() {
    let mut one = Node::with("one", short_timeouts).await;
    let (peer, _listener) = unresponsive_peer().await;
    let body = Bytes::from(vec![0; 1 << 20]);
    let mut tickets = Vec::new();
    // Keeps the queue full until the link times out, so that some frames are never sent.
    loop {
        match one.mesh.send_tracked(&peer, Priority::Bulk, KIND, body.clone()) {
            Ok(ticket) => tickets.push(ticket),
            Err(Error::Full) => tokio::time::sleep(Duration::from_millis(1)).await,
            Err(error) => {
                assert_eq!(error, Error::Unreachable);
                break;
            }
        }
        if one.mesh.counters().count(Event::SilenceTimeout) > 0 {
            break;
        }
    }
    one.next_down().await;
    let mut not_sent = 0;
    for ticket in tickets {
        not_sent += usize::from(ticket.outcome().await == Outcome::NotSent);
    }
    assert!(not_sent > 0);
}

#[tokio::test]
async fn keepalives_prevent_silence_timeout() {
    let long_silence_timeout = |settings: &mut mustardway_peer::settings::Settings| {
        short_timeouts(settings);
        settings.silence_timeout = time::Span::seconds(2);
        settings.idle_timeout = time::Span::seconds(60);
    };
    let one = Node::with("one", long_silence_timeout).await;
    let mut two = Node::with("two", long_silence_timeout).await;
    // Frames are sent in one direction only, for longer than the silence timeout.
    for _ in 0..30 {
        one.mesh.send(&two.peer, Priority::Bulk, KIND, Bytes::new()).unwrap();
        two.next_frame().await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(one.mesh.counters().received(Kind::KEEPALIVE).frames > 0);
    assert_eq!(one.mesh.counters().count(Event::SilenceTimeout), 0);
    assert_eq!(one.mesh.counters().count(Event::Connected), 1);
}

#[tokio::test]
async fn partition_breaks_link_until_healed() {
    let allow_partition = |settings: &mut mustardway_peer::settings::Settings| {
        short_timeouts(settings);
        settings.partition_allowed = true;
    };
    let mut one = Node::with("one", allow_partition).await;
    let mut two = Node::with("two", allow_partition).await;
    one.mesh.send(&two.peer, Priority::Bulk, KIND, Bytes::new()).unwrap();
    two.next_frame().await;

    one.mesh.partition([two.peer.id.clone()].into());
    one.mesh.send(&two.peer, Priority::Bulk, KIND, Bytes::new()).unwrap();
    two.mesh.send(&one.peer, Priority::Bulk, KIND, Bytes::new()).unwrap();
    assert_eq!(one.next_down().await.peer, two.peer);
    assert_eq!(two.next_down().await.peer.id, one.peer.id);
    assert!(one.mesh.counters().count(Event::Partitioned) >= 2);

    one.mesh.partition([].into());
    wait_until(|| one.mesh.send(&two.peer, Priority::Bulk, OTHER_KIND, Bytes::new()).is_ok()).await;
    assert_eq!(two.next_frame().await.1, OTHER_KIND);
}

#[tokio::test]
async fn partition_needs_permission() {
    let one = Node::start("one").await;
    let mut two = Node::start("two").await;
    one.mesh.partition([two.peer.id.clone()].into());
    one.mesh.send(&two.peer, Priority::Bulk, KIND, Bytes::new()).unwrap();
    assert_eq!(two.next_frame().await.1, KIND);
}
