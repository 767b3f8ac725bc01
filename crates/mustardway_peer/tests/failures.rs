//! Peers that are not there, stop, come back, or fall silent.
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

/// A peer at an address where nobody listens.
async fn unreachable_peer() -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    Peer { id: "absent".parse().unwrap(), address: listener.local_addr().unwrap() }
}

/// A peer that accepts connections and never reads or writes.
async fn unresponsive_peer() -> (Peer, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    (Peer { id: "mute".parse().unwrap(), address }, listener)
}

#[tokio::test]
async fn absent_peer() {
    let mut one = Node::start("one").await;
    let peer = unreachable_peer().await;
    let ticket = one.mesh.send_tracked(&peer, Priority::Bulk, KIND, Bytes::new()).unwrap();
    assert_eq!(ticket.outcome().await, Outcome::NotSent);
    let refused = one.mesh.send(&peer, Priority::Bulk, KIND, Bytes::new());
    assert_eq!(refused, Err(Error::Unreachable));
    assert_eq!(one.mesh.counters().count(Event::ConnectFailed), 1);
    // Nothing left, so no link is told to be down.
    assert!(one.notifications.try_recv().is_err());
}

#[tokio::test]
async fn backoff_ends() {
    let one = Node::with("one", short_timeouts).await;
    let peer = unreachable_peer().await;
    for tries in 1..=3 {
        wait_until(|| one.mesh.send(&peer, Priority::Bulk, KIND, Bytes::new()).is_ok()).await;
        wait_until(|| one.mesh.counters().count(Event::ConnectFailed) == tries).await;
    }
}

#[tokio::test]
async fn restarted_peer() {
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
    let mut again = Node::with("two", |settings| settings.listen = listen).await;
    wait_until(|| one.mesh.send(&peer, Priority::Bulk, OTHER_KIND, Bytes::new()).is_ok()).await;
    assert_eq!(again.next_frame().await.1, OTHER_KIND);
}

#[tokio::test]
async fn replaced_peer() {
    let mut one = Node::with("one", short_timeouts).await;
    let mut two = Node::with("two", short_timeouts).await;
    one.mesh.send(&two.peer, Priority::Bulk, KIND, Bytes::new()).unwrap();
    two.next_frame().await;
    // Another instance is taken to be at the address: the frame must not reach this one.
    let wrong = Peer { id: "three".parse().unwrap(), address: two.peer.address };
    one.mesh.send(&wrong, Priority::Bulk, OTHER_KIND, Bytes::new()).unwrap();
    wait_until(|| two.mesh.counters().count(Event::BadHello) == 1).await;
    assert_eq!(two.mesh.counters().received(OTHER_KIND).frames, 0);
    // The link to the instance that had the address is given up, the new one is refused.
    let downs = [one.next_down().await.peer, one.next_down().await.peer];
    assert!(downs.contains(&two.peer));
    assert!(downs.contains(&wrong));
}

#[tokio::test]
async fn silent_peer() {
    let mut one = Node::with("one", short_timeouts).await;
    let (peer, _listener) = unresponsive_peer().await;
    let ticket = one.mesh.send_tracked(&peer, Priority::Bulk, KIND, Bytes::new()).unwrap();
    let link = ticket.link();
    assert_eq!(ticket.outcome().await, Outcome::Sent);
    assert_eq!(one.next_down().await.link, link);
    assert_eq!(one.mesh.counters().count(Event::SilenceTimeout), 1);
}

#[tokio::test]
async fn blocked_peer() {
    let mut one = Node::with("one", short_timeouts).await;
    let (peer, _listener) = unresponsive_peer().await;
    let body = Bytes::from(vec![0; 1 << 20]);
    let mut tickets = Vec::new();
    // The queue is kept full until the link is given up: what waits then never leaves.
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
async fn pulses_keep_open() {
    let slow_silence = |settings: &mut mustardway_peer::settings::Settings| {
        short_timeouts(settings);
        settings.silence_timeout = time::Span::seconds(2);
        settings.idle_timeout = time::Span::seconds(60);
    };
    let one = Node::with("one", slow_silence).await;
    let mut two = Node::with("two", slow_silence).await;
    // Frames go one way only, for longer than the time of silence.
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
async fn partition_and_heal() {
    let allow = |settings: &mut mustardway_peer::settings::Settings| {
        short_timeouts(settings);
        settings.partition_allowed = true;
    };
    let mut one = Node::with("one", allow).await;
    let mut two = Node::with("two", allow).await;
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
async fn cut_not_allowed() {
    let one = Node::start("one").await;
    let mut two = Node::start("two").await;
    one.mesh.partition([two.peer.id.clone()].into());
    one.mesh.send(&two.peer, Priority::Bulk, KIND, Bytes::new()).unwrap();
    assert_eq!(two.next_frame().await.1, KIND);
}
