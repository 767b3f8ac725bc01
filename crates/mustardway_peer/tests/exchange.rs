//! Frame exchange between working peers: order, priorities, limits and orderly close.
#![allow(clippy::unwrap_used)]

mod common;

use bytes::Bytes;
use common::{KIND, Node, OTHER_KIND, wait_until};
use mustardway_peer::counters::Event;
use mustardway_peer::frame::{Kind, SIZE_MAX};
use mustardway_peer::send::{Error, Priority};
use mustardway_peer::transmission::Outcome;
use mustardway_types::time;

#[tokio::test]
async fn reply_uses_same_connection() {
    let mut one = Node::start("one").await;
    let mut two = Node::start("two").await;
    let question = Bytes::from_static(b"question");
    one.mesh.send(&two.peer, Priority::Bulk, KIND, question.clone()).unwrap();
    assert_eq!(two.next_frame().await, (one.peer.id.clone(), KIND, question));

    let answer = Bytes::from_static(b"answer");
    two.mesh.send(&one.peer, Priority::Control, OTHER_KIND, answer.clone()).unwrap();
    assert_eq!(one.next_frame().await, (two.peer.id.clone(), OTHER_KIND, answer));
    // The answer was sent over the connection of the question.
    assert_eq!(two.mesh.counters().count(Event::Connected), 0);
    assert_eq!(one.mesh.counters().count(Event::Accepted), 0);
}

#[tokio::test]
async fn frames_arrive_in_order() {
    const FRAMES: u32 = 5_000;
    let one = Node::start("one").await;
    let mut two = Node::start("two").await;
    for number in 0..FRAMES {
        let body = Bytes::copy_from_slice(&number.to_be_bytes());
        one.mesh.send(&two.peer, Priority::Bulk, KIND, body).unwrap();
    }
    for number in 0..FRAMES {
        let (_, _, body) = two.next_frame().await;
        assert_eq!(body.as_ref(), number.to_be_bytes());
    }
    let sent = one.mesh.counters().sent(KIND);
    assert_eq!(sent.frames, u64::from(FRAMES));
    assert_eq!(sent, two.mesh.counters().received(KIND));
}

#[tokio::test]
async fn control_frames_overtake_bulk() {
    let one = Node::start("one").await;
    let mut two = Node::start("two").await;
    // All three frames are queued before the connection is established.
    let bulk = Bytes::from(vec![0; 1 << 20]);
    one.mesh.send(&two.peer, Priority::Bulk, KIND, bulk.clone()).unwrap();
    one.mesh.send(&two.peer, Priority::Bulk, KIND, bulk).unwrap();
    one.mesh.send(&two.peer, Priority::Control, OTHER_KIND, Bytes::new()).unwrap();
    assert_eq!(two.next_frame().await.1, OTHER_KIND);
    assert_eq!(two.next_frame().await.1, KIND);
    assert_eq!(two.next_frame().await.1, KIND);
}

#[tokio::test]
async fn full_queue_refuses_frames() {
    let one = Node::start("one").await;
    let two = Node::start("two").await;
    let body = Bytes::from(vec![0; 1 << 20]);
    let mut refused = None;
    // No frame leaves the queue meanwhile: the runtime has one thread, and the loop does
    // not await.
    for _ in 0..8 {
        if let Err(error) = one.mesh.send(&two.peer, Priority::Bulk, KIND, body.clone()) {
            refused = Some(error);
        }
    }
    assert_eq!(refused, Some(Error::Full));
    assert_eq!(one.mesh.counters().count(Event::QueueFull), 5);
    one.mesh.send(&two.peer, Priority::Control, KIND, Bytes::new()).unwrap();
}

#[tokio::test]
async fn oversized_frame_is_refused() {
    let one = Node::start("one").await;
    let mut two = Node::start("two").await;
    let body_size_max = SIZE_MAX.0 as usize - mustardway_peer::frame::OVERHEAD_BYTES_MAX;
    let fits = Bytes::from(vec![7; body_size_max]);
    one.mesh.send(&two.peer, Priority::Bulk, KIND, fits.clone()).unwrap();
    assert_eq!(two.next_frame().await.2, fits);
    let over = Bytes::from(vec![7; SIZE_MAX.0 as usize]);
    let refused = one.mesh.send(&two.peer, Priority::Bulk, KIND, over);
    assert!(matches!(refused, Err(Error::TooLarge { .. })));
}

#[tokio::test]
async fn close_sends_queued_frames() {
    const FRAMES: u32 = 500;
    let one = Node::start("one").await;
    let mut two = Node::start("two").await;
    let body = Bytes::from(vec![0; 1 << 10]);
    let mut tickets = Vec::new();
    for _ in 0..FRAMES {
        let ticket = one.mesh.send_tracked(&two.peer, Priority::Bulk, KIND, body.clone());
        tickets.push(ticket.unwrap());
    }
    one.mesh.close(time::Span::seconds(10)).await;
    for ticket in tickets {
        assert_eq!(ticket.outcome().await, Outcome::Sent);
    }
    for _ in 0..FRAMES {
        two.next_frame().await;
    }
    let refused = one.mesh.send(&two.peer, Priority::Bulk, KIND, body);
    assert_eq!(refused, Err(Error::Closing));
}

#[tokio::test]
async fn idle_link_closes_without_report() {
    let mut one = Node::with("one", common::short_timeouts).await;
    let mut two = Node::with("two", common::short_timeouts).await;
    one.mesh.send(&two.peer, Priority::Bulk, KIND, Bytes::new()).unwrap();
    two.next_frame().await;
    wait_until(|| {
        two.mesh.counters().received(Kind::GOODBYE).frames > 0
            || one.mesh.counters().received(Kind::GOODBYE).frames > 0
    })
    .await;
    // No broken link is reported, and the next frame opens a new link.
    one.mesh.send(&two.peer, Priority::Bulk, OTHER_KIND, Bytes::new()).unwrap();
    assert_eq!(two.next_frame().await.1, OTHER_KIND);
    assert!(one.notifications.try_recv().is_err());
}
