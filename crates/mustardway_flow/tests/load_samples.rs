//! What the packets of flows show about the load of targets.

mod common;

use common::load::{
    PLACEMENT, ROUND_TRIP_MILLIS, data, finish, mean_time, route_sums, target_sums,
};
use common::{Harness, acknowledgement, id, opening, put, registration};
use mustardway_flow::front::{Action, Event};
use mustardway_flow::note::Wait;
use mustardway_flow::packet::{Flags, Packet};
use mustardway_load::key;
use mustardway_types::time::Span;

/// Bytes of an answer.
const ANSWER: u32 = 2_000;

fn child(targets: u64) -> Harness {
    let mut harness = Harness::with_load(targets, 0, PLACEMENT);
    harness.become_child();
    harness
}

/// Guards against distant targets that look slow, and against callers' own delay.
#[test]
fn round_trip_is_taken_out() {
    for round_trip in [1, 46, 90] {
        let mut harness = child(1);
        let target = harness.establish_in(1, 1, round_trip);
        harness.send(&data(1, 1, target, 0, 0, 200));
        harness.advance(30 + round_trip);
        harness.send(&data(1, 1, target, 200, ANSWER, 0));
        harness.send(&finish(1, 1, target, 200, ANSWER));
        let sums = harness.take_sums();
        assert_eq!(route_sums(&sums, 1).timed, 1);
        assert_eq!(mean_time(&sums, 1), Span::millis(30), "round trip of {round_trip} ms");
    }
}

/// Guards against distant targets that look slow from an instance that has just started: it
/// gets flows that were opened through others, and knows the round trips of a few.
#[test]
fn round_trip_is_taken_out_at_a_new_instance() {
    let mut harness = child(1);
    for from in 1..=4 {
        harness.establish_in(from, 1, 46);
    }
    for from in 10..20 {
        harness.send(&data(from, 1, 1, 0, 0, 200));
        harness.advance(30 + 46);
        harness.send(&data(from, 1, 1, 200, ANSWER, 0));
        harness.send(&finish(from, 1, 1, 200, ANSWER));
    }
    let sums = harness.take_sums();
    assert!(mean_time(&sums, 1) < Span::millis(40), "{} instead of 30 ms", mean_time(&sums, 1));
}

/// Guards against targets that look slow because callers upload slowly.
#[test]
fn upload_is_timed_from_its_last_byte() {
    let mut harness = child(1);
    let target = harness.establish_in(1, 1, ROUND_TRIP_MILLIS);
    for part in 0..40 {
        harness.send(&data(1, 1, target, part * 1_000, 0, 1_000));
        harness.advance(20);
    }
    // The copy of the last part is no new data.
    harness.send(&data(1, 1, target, 39_000, 0, 1_000));
    harness.advance(10 + ROUND_TRIP_MILLIS);
    harness.send(&data(1, 1, target, 40_000, ANSWER, 0));
    harness.send(&finish(1, 1, target, 40_000, ANSWER));
    let sums = harness.take_sums();
    assert_eq!(route_sums(&sums, 1).requests, 1);
    assert_eq!(route_sums(&sums, 1).timed, 1);
    assert_eq!(mean_time(&sums, 1), Span::millis(30));
}

/// Guards against a long download that counts as many answers, or as a slow one.
#[test]
fn later_acknowledgements_of_a_download_are_no_answers() {
    let mut harness = child(1);
    let target = harness.establish_in(1, 1, ROUND_TRIP_MILLIS);
    harness.send(&data(1, 1, target, 0, 0, 200));
    harness.advance(30 + ROUND_TRIP_MILLIS);
    for part in 1..=50 {
        harness.send(&data(1, 1, target, 200, part * 1_400, 0));
        harness.advance(10);
    }
    harness.send(&finish(1, 1, target, 200, 50 * 1_400));
    let sums = harness.take_sums();
    assert_eq!(target_sums(&sums, target).answers, 1);
    assert_eq!(mean_time(&sums, 1), Span::millis(30));
}

/// Guards against requests of a long flow that are missed or counted twice. The packet with
/// the next request may acknowledge the answer before it.
#[test]
fn requests_of_a_long_flow_count_once_each() {
    let mut harness = child(1);
    let target = harness.establish_in(1, 1, ROUND_TRIP_MILLIS);
    for number in 0..20 {
        harness.send(&data(1, 1, target, number * 200, number * ANSWER, 200));
        harness.advance(10 + ROUND_TRIP_MILLIS);
    }
    harness.send(&data(1, 1, target, 4_000, 20 * ANSWER, 0));
    harness.send(&finish(1, 1, target, 4_000, 20 * ANSWER));
    let sums = harness.take_sums();
    assert_eq!(route_sums(&sums, 1).opens, 1);
    assert_eq!(route_sums(&sums, 1).requests, 20);
    assert_eq!(target_sums(&sums, target).answers, 20);
    assert_eq!(mean_time(&sums, 1), Span::millis(10));
}

/// Guards against samples that are lost or counted twice when a flow ends: with the
/// acknowledgement in the last packet, with copies of that, or with a reset.
#[test]
fn sample_of_a_flow_that_ends_counts_once() {
    let mut harness = child(1);
    for from in 1..=3 {
        let target = harness.establish_in(from, 1, ROUND_TRIP_MILLIS);
        harness.send(&data(from, 1, target, 0, 0, 200));
        harness.advance(30 + ROUND_TRIP_MILLIS);
        let last = finish(from, 1, target, 200, ANSWER);
        let resets = Flags { acknowledges: true, resets: true, ..Flags::default() };
        let last = if from == 3 { Packet { flags: resets, ..last } } else { last };
        for _ in 0..from {
            harness.send(&last);
            harness.advance(200);
        }
    }
    // The records of ended flows expire.
    for _ in 0..7 {
        harness.advance(1_000);
    }
    let sums = harness.take_sums();
    assert_eq!(target_sums(&sums, 1).answers, 3);
    assert_eq!(mean_time(&sums, 1), Span::millis(30));
}

/// Guards against samples that are lost or counted twice when a flow expires.
#[test]
fn sample_of_a_flow_that_expires_counts_once() {
    let mut harness = child(1);
    let target = harness.establish_in(1, 1, ROUND_TRIP_MILLIS);
    harness.send(&data(1, 1, target, 0, 0, 200));
    harness.advance(30 + ROUND_TRIP_MILLIS);
    harness.send(&data(1, 1, target, 200, ANSWER, 0));
    assert_eq!(target_sums(&harness.take_sums(), target).answers, 0);
    for _ in 0..20 {
        harness.advance(1_000);
    }
    assert!(harness.front.table().is_empty());
    assert_eq!(target_sums(&harness.take_sums(), target).answers, 1);
    assert_eq!(target_sums(&harness.take_sums(), target).answers, 0);
}

/// Guards against samples that are lost or counted twice when a caller opens a flow anew
/// from the same port.
#[test]
fn sample_of_a_flow_that_is_replaced_counts_once() {
    let mut harness = child(1);
    let target = harness.establish_in(1, 1, ROUND_TRIP_MILLIS);
    harness.send(&data(1, 1, target, 0, 0, 200));
    harness.advance(30 + ROUND_TRIP_MILLIS);
    harness.send(&data(1, 1, target, 200, ANSWER, 0));
    harness.send(&Packet { sequence: 90_000, ..opening(1, 1, 0) });
    let sums = harness.take_sums();
    assert_eq!(target_sums(&sums, target).answers, 1);
    assert_eq!(route_sums(&sums, 1).opens, 2);
    assert_eq!(target_sums(&harness.take_sums(), target).answers, 0);
}

/// Guards against a restarted target that inherits the samples of the lifetime before.
/// Their flows end or expire after the restart.
#[test]
fn sample_of_an_earlier_lifetime_does_not_count_for_the_restarted_target() {
    let mut harness = child(1);
    for from in 1..=20 {
        let target = harness.establish_in(from, 1, ROUND_TRIP_MILLIS);
        harness.send(&data(from, 1, target, 0, 0, 200));
    }
    harness.advance(300);
    for from in 1..=20 {
        harness.send(&data(from, 1, 1, 200, 100, 0));
    }
    let restarted = mustardway_mirror::publication::Registration {
        born: Some(2),
        ..registration(1, "orders", common::HOME)
    };
    harness.publish(put(restarted));
    for from in 1..=20 {
        harness.send(&finish(from, 1, 1, 200, 100));
    }
    let sums = harness.take_sums();
    let key = key::Target::of(&id(1), Some(2));
    let answers = sums.targets.get(&key).map_or(0, |target| target.answers);
    assert_eq!(answers, 0, "answers of the earlier lifetime");
}

/// Guards against copies of an opening packet that count as several flows.
#[test]
fn copies_of_an_opening_packet_are_one_flow() {
    let mut harness = child(4);
    harness.send(&opening(1, 1, 0));
    harness.advance(200);
    harness.send(&opening(1, 1, 1));
    harness.advance(400);
    harness.send(&opening(1, 1, 2));
    assert_eq!(route_sums(&harness.take_sums(), 1).opens, 1);
}

/// Guards against a round trip of zero after the first of two targets has opened the flow:
/// the time since its opening packet is not known any more.
#[test]
fn late_answer_of_the_first_target_is_no_round_trip() {
    let mut harness = child(4);
    let first = harness.open(1, 1).expect("the flow is placed");
    harness.advance(200);
    let second = common::forwarded_to(harness.send(&opening(1, 1, 1)));
    assert_ne!(second, Some(first));
    harness.advance(10);
    harness.actions.clear();
    harness.send(&acknowledgement(1, 1, first));
    assert!(
        !harness.actions.contains(&Action::Waited(Wait::Open(Span::ZERO))),
        "the caller has waited for 210 ms"
    );
}

/// Guards against targets that look slow because this instance did not run for a while.
#[test]
fn answers_that_waited_during_a_pause_are_no_samples() {
    let mut harness = child(1);
    for from in 1..=6 {
        harness.establish_in(from, 1, ROUND_TRIP_MILLIS);
        harness.send(&data(from, 1, 1, 0, 0, 200));
    }
    harness.now = harness.now + Span::seconds(2);
    harness.handle(Event::Paused);
    for from in 1..=6 {
        harness.send(&data(from, 1, 1, 200, ANSWER, 0));
        harness.send(&finish(from, 1, 1, 200, ANSWER));
    }
    harness.handle(Event::BacklogCleared);
    let sums = harness.take_sums();
    assert!(mean_time(&sums, 1) < Span::millis(100), "{}", mean_time(&sums, 1));
}

/// Guards against samples that are lost because a batch of packets has ended since their
/// request.
#[test]
fn end_of_a_batch_keeps_measurements() {
    let mut harness = child(1);
    for from in 1..=6 {
        harness.establish_in(from, 1, ROUND_TRIP_MILLIS);
        harness.send(&data(from, 1, 1, 0, 0, 200));
    }
    harness.handle(Event::BacklogCleared);
    harness.now = harness.now + Span::millis(40);
    for from in 1..=6 {
        harness.send(&data(from, 1, 1, 200, ANSWER, 0));
        harness.send(&finish(from, 1, 1, 200, ANSWER));
    }
    let sums = harness.take_sums();
    assert!(mean_time(&sums, 1) > Span::millis(20), "{}", mean_time(&sums, 1));
}

/// Guards against a target that keeps an outstanding request for ever, and so gets fewer
/// flows: the packet with the request arrives after the last one of its flow.
#[test]
fn request_after_the_end_of_its_flow_does_not_stay_outstanding() {
    let mut harness = child(1);
    let target = harness.establish_in(1, 1, ROUND_TRIP_MILLIS);
    harness.send(&finish(1, 1, target, 200, 0));
    harness.send(&data(1, 1, target, 0, 0, 200));
    for _ in 0..20 {
        harness.advance(1_000);
    }
    assert!(harness.front.table().is_empty());
    let directory = harness.front.directory();
    let index = directory.index_of(&id(target)).expect("the target is known");
    let observation = directory.get(index).expect("the target is known").observation;
    assert_eq!(observation.outstanding(), 0);
}
