//! An instance that resumes after a pause handles answers and messages from before the
//! pause. They show the published state as it was then.

mod common;

use common::{configuration, domain, instance, put, version};
use mustardway_mirror::message::{Body, Push};
use mustardway_mirror::node::{Action, Answer, Event, Node, Query, Ticket};
use mustardway_mirror::publication::Update;
use mustardway_mirror::topology::Topology;
use mustardway_types::revision::Number;
use mustardway_types::time::{Instant, Span};

const PAUSE: Span = Span::seconds(10);

struct Harness {
    node: Node,
    now: Instant,
}

impl Harness {
    /// Creates an instance whose replica has the configuration, with the number 1.
    fn new() -> Self {
        let now = Instant::default() + Span::seconds(3_600);
        let mut harness = Harness { node: Node::new(1, now), now };
        let names = [instance(0), instance(1)];
        let home = domain(0);
        let live = names.iter().map(|name| (name, &home));
        harness.handle(Event::Topology(Topology::new(&names[0], &home, live)));
        let update = Update { number: Number(1), change: configuration(1) };
        let ticket = harness.reading();
        harness.handle(Event::Answer(ticket, Ok(Answer::Full(version(0, 1), vec![update]))));
        harness
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.node.handle(self.now, event, &mut actions);
        actions
    }

    fn age(&self) -> Span {
        self.node.age(self.now).expect("the platform has confirmed the state")
    }

    fn reading(&self) -> Ticket {
        self.node.reading().expect("a read is in flight")
    }

    /// Advances the clock until the instance reads the platform.
    fn advance_to_read(&mut self) -> Ticket {
        for _ in 0..100 {
            self.now = self.now + Span::millis(50);
            let actions = self.handle(Event::Tick);
            if actions.iter().any(|action| matches!(action, Action::Read(_, Query::Since { .. }))) {
                return self.reading();
            }
        }
        panic!("the instance does not read");
    }

    /// Resumes the process after a pause that the monotonic clock has counted.
    fn pause(&mut self) {
        self.now = self.now + PAUSE;
        let actions = self.handle(Event::Paused(Span::ZERO));
        assert!(actions.iter().any(|action| matches!(action, Action::Read(..))));
    }
}

/// The answer to a read from before the pause was taken for that of the read after it.
#[test]
fn earlier_answer_does_not_confirm_the_state() {
    let mut harness = Harness::new();
    let earlier = harness.advance_to_read();
    harness.pause();
    harness.handle(Event::Answer(earlier, Ok(Answer::Since(version(0, 1), Vec::new()))));
    assert!(harness.age() >= PAUSE, "the state counts as {} old", harness.age());
}

/// The answer to the read after the pause was ignored, since an earlier one came first.
#[test]
fn answer_after_an_earlier_one_is_applied() {
    let mut harness = Harness::new();
    let earlier = harness.advance_to_read();
    harness.pause();
    harness.handle(Event::Answer(earlier, Ok(Answer::Since(version(0, 1), Vec::new()))));
    let update = Update { number: Number(2), change: put(1, false) };
    let ticket = harness.reading();
    harness.handle(Event::Answer(ticket, Ok(Answer::Since(version(0, 2), vec![update]))));
    assert_eq!(harness.node.replica().version(), version(0, 2));
}

/// A peer's message that waited in the socket during the pause tells the age at which
/// it was sent.
#[test]
fn message_from_before_the_pause_does_not_confirm_the_state() {
    let mut harness = Harness::new();
    harness.advance_to_read();
    let push = Push::new(version(0, 1), version(0, 1), 0, &[]);
    harness.pause();
    harness.handle(Event::Received { from: instance(1), message: Body::Push(push).into() });
    assert!(harness.age() >= PAUSE, "the state counts as {} old", harness.age());
}
