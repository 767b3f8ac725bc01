//! A whole revision passes a narrow link that other data share.

mod common;

use std::collections::VecDeque;
use std::sync::Arc;

use common::{id, replica};
use compact_str::CompactString;
use mustardway_spread::action::Action;
use mustardway_spread::event::Event;
use mustardway_spread::message::Message;
use mustardway_spread::platform::{Answer, Content, Failure};
use mustardway_spread::replica::Replica;
use mustardway_spread::set::Files;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{hash, revision};
use prost::Message as _;

const STEP: Span = Span::millis(10);
/// Bytes per second of a link of 10 Mbit/s.
const LINK_BYTES_PER_SECOND: u64 = 1_250_000;
/// Size of a full configuration at the size to design for.
const FULL_BYTES: u64 = 2_200_000;
/// Time within which a revision has to be in force.
const LIMIT: Span = Span::seconds(6);

/// Returns files of `bytes` together, which cannot be compressed.
fn full_files(bytes: u64) -> Files {
    const FILES: u64 = 20;
    let mut files = Files::new();
    for file in 0..FILES {
        let words = (0..bytes / FILES / 8).flat_map(|word| hash::mix(file, word).to_be_bytes());
        let name = CompactString::from(format!("{file:02}-service.ini"));
        files.insert(name, Arc::from(words.collect::<Vec<u8>>()));
    }
    files
}

/// Two replicas. The second can reach only the first, over a link whose capacity `users`
/// transfers share.
struct Pair {
    now: Instant,
    replicas: [Replica; 2],
    users: u64,
    link_idle_at: Instant,
    on_link: VecDeque<(Instant, Message)>,
}

impl Pair {
    fn new(users: u64) -> Self {
        let now = Instant(1_000_000);
        let replicas = [replica(0, 1, now), replica(1, 2, now)];
        let on_link = VecDeque::new();
        let mut pair = Pair { now, replicas, users, link_idle_at: now, on_link };
        pair.handle(0, Event::Neighbours(vec![id(1)]));
        pair.handle(1, Event::Neighbours(vec![id(0)]));
        let content = Content::Whole(full_files(FULL_BYTES));
        let answer = Answer { number: revision::Number(1), content };
        pair.handle(0, Event::Platform(Ok(answer)));
        pair
    }

    fn handle(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.replicas[index].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { message, .. } if index == 0 => self.transmit(message),
                Action::Send { message, .. } => {
                    self.handle(0, Event::Received { from: id(1), message });
                }
                Action::Propose(set) => {
                    self.handle(index, Event::Verdict { number: set.number, accepted: true });
                }
                Action::Read { .. } if index == 1 => {
                    self.handle(1, Event::Platform(Err(Failure::Unreachable)));
                }
                Action::Read { .. } | Action::Report(_) => {}
            }
        }
    }

    /// Queues a message on the link to the second replica.
    fn transmit(&mut self, message: Message) {
        let bytes = message.encoded_len() as u64;
        let time = Span(bytes * self.users * 1_000_000 / LINK_BYTES_PER_SECOND);
        self.link_idle_at = self.link_idle_at.max(self.now) + time;
        self.on_link.push_back((self.link_idle_at, message));
    }

    /// Returns the time until the revision is in force at the second replica.
    fn time_in_force(&mut self) -> Option<Span> {
        let start = self.now;
        while self.now.since(start) < LIMIT {
            self.now = self.now + STEP;
            self.announce();
            while let Some((_, message)) = self.on_link.pop_front_if(|(at, _)| *at <= self.now) {
                self.handle(1, Event::Received { from: id(0), message });
            }
            self.handle(1, Event::Tick);
            if self.replicas[1].in_force().number.0 == 1 {
                return Some(self.now.since(start));
            }
        }
        None
    }

    /// Announces the revision of the first replica, as heartbeats do.
    fn announce(&mut self) {
        let set = self.replicas[0].in_force();
        let (number, digest) = (set.number, set.digest);
        let age = Span::ZERO;
        self.handle(1, Event::PeerRevision { from: id(0), number, digest, age });
    }
}

/// Each part took longer than the timeout, and the transfer began anew.
#[test]
fn shared_link_carries_a_full_revision() {
    for users in 1..=3 {
        let time = Pair::new(users).time_in_force();
        assert!(time.is_some(), "{users} transfers on the link");
    }
}
