//! Admission of new flows to services that have less capacity than demand.

mod common;

use common::load::{ADMISSION, idle_route, route_sums};
use common::{
    Harness, acknowledgement, answer_acknowledgement, caller, forwarded_to, opening, request,
};
use mustardway_admission::callers::RETRIES;
use mustardway_admission::contention::State;
use mustardway_flow::front::{Action, Verdict};
use mustardway_flow::note::{Note, ResetReason};
use mustardway_flow::packet::Packet;
use mustardway_load::message::RouteEstimate;
use mustardway_mirror::publication::Repeat;

/// Number of targets, with 4 slots each.
const TARGETS: u64 = 5;
/// Time of a request at a target with a full queue.
const WAITING_MICROS: u64 = 60_000;

/// Returns the estimate of a route on which `requested` flows per second with one request
/// each are opened and `answered` are answered properly.
fn busy_route(number: u8, requested: u64, answered: u64) -> RouteEstimate {
    let rejected = 1_000 - answered * 1_000 / requested.max(1);
    RouteEstimate {
        opens_millis: requested * 1_000,
        requests_millis: requested * 1_000,
        answers_millis: answered * 1_000,
        flows: 100,
        // A target that rejects requests has a full queue, in which the others wait.
        base_micros: if rejected > 0 { WAITING_MICROS } else { idle_route(number).base_micros },
        short_millis: u32::try_from(rejected).expect("a share"),
        ..idle_route(number)
    }
}

/// Receives a summary every 500 ms.
fn run(harness: &mut Harness, millis: u64, routes: &[RouteEstimate]) {
    for _ in 0..millis / 500 {
        for _ in 0..10 {
            harness.advance(50);
        }
        harness.receive_summary(&[], routes);
    }
}

/// Returns an instance of a service that rejects three quarters of its requests. Requests
/// are tried up to three times, so there are 692 different ones, of which 400 are served.
fn refusing() -> Harness {
    let mut harness = Harness::with_load(TARGETS, 0, ADMISSION);
    harness.become_child();
    run(&mut harness, 3_000, &[busy_route(1, 1_600, 400)]);
    assert_eq!(state(&harness), State::Refusing);
    harness.take_sums();
    harness
}

fn state(harness: &Harness) -> State {
    let load = harness.front.load().expect("the estimates are used");
    let service = "orders".parse().expect("well formed");
    load.controller().status(&service).map_or(State::Open, |status| status.state)
}

/// Returns the first of `callers` whose flow is refused.
fn refused_caller(harness: &mut Harness, callers: std::ops::Range<u16>) -> u16 {
    for from in callers {
        if matches!(harness.send(&opening(from, 1, 0)), Verdict::Reset(_)) {
            return from;
        }
    }
    panic!("no flow is refused");
}

/// Guards against refusals while targets serve what is asked, also at high load.
#[test]
fn nothing_is_refused_while_targets_keep_up() {
    let mut harness = Harness::with_load(TARGETS, 0, ADMISSION);
    harness.become_child();
    run(&mut harness, 5_000, &[busy_route(1, 390, 380)]);
    assert_eq!(harness.count_refused(0..1_000, 1), 0);
}

/// Guards against refusals in a burst that callers' retries get over.
#[test]
fn nothing_is_refused_in_a_short_burst() {
    let mut harness = Harness::with_load(TARGETS, 0, ADMISSION);
    harness.become_child();
    run(&mut harness, 1_000, &[busy_route(1, 1_600, 400)]);
    run(&mut harness, 500, &[busy_route(1, 300, 300)]);
    run(&mut harness, 1_000, &[busy_route(1, 1_600, 400)]);
    assert_eq!(harness.count_refused(0..1_000, 1), 0);
}

/// Guards against a full service that refuses much less or much more than its excess.
#[test]
fn full_service_refuses_its_excess() {
    let mut harness = refusing();
    // Of a request's 1 + 0.75 + 0.75² tries, one is wanted: 1,600 / 2.3125 = 692 per second,
    // of which 400 are served.
    let refused = harness.count_refused(0..2_000, 1);
    let expected = 2_000.0 * (1.0 - 400.0 / 692.0);
    assert!((refused as f64 - expected).abs() < 200.0, "{refused} of {expected}");
}

/// Guards against refusals without the knowledge of operators.
#[test]
fn refusals_are_counted_by_reason() {
    let mut harness = refusing();
    harness.actions.clear();
    let refused = harness.count_refused(0..100, 1);
    let is_refusal = |action: &&Action| {
        matches!(action, Action::Note(Note::Reset { reason: ResetReason::Overloaded, .. }))
    };
    assert_eq!(harness.actions.iter().filter(is_refusal).count(), refused);
    let load = harness.front.load().expect("the estimates are used");
    let counted: u64 = load.refused().map(|(_, _, count)| count).sum();
    assert_eq!(counted, refused as u64);
    let sums = route_sums(&harness.take_sums(), 1);
    assert_eq!(u64::from(sums.refused), counted);
    assert_eq!(u64::from(sums.opens), 100 - counted);
}

/// Guards against a request that runs although its caller was told that it did not.
#[test]
fn refused_opening_packet_reaches_no_target() {
    let mut harness = refusing();
    for from in 0..200 {
        harness.actions.clear();
        let packet = opening(from, 1, 0);
        let verdict = harness.send(&packet);
        let is_placed = harness
            .actions
            .iter()
            .any(|action| matches!(action, Action::Note(Note::Placed { .. })));
        assert_eq!(is_placed, forwarded_to(verdict).is_some());
        assert_eq!(harness.front.table().get(&packet.flow()).is_some(), is_placed);
        if let Verdict::Reset(reset) = verdict {
            assert_eq!(reset.flow, packet.flow());
            assert_eq!(reset.sequence, 0);
        }
    }
}

/// Guards against refusals of a flow that a target may have opened, and against copies that
/// go to another target while the first one answers.
#[test]
fn copies_of_a_placed_opening_packet_follow_it() {
    let mut harness = refusing();
    let mut placed = Vec::new();
    for from in 0..300 {
        if let Some(target) = harness.open(from, 1) {
            placed.push((from, target));
        }
    }
    assert!(placed.len() > 50);
    for copies in 1..=2 {
        harness.advance(50);
        for (from, target) in &placed {
            assert_eq!(forwarded_to(harness.send(&opening(*from, 1, copies))), Some(*target));
        }
    }
    // The epoch changes, and with it the verdicts on new flows.
    for (from, target) in &placed {
        harness.send(&acknowledgement(*from, 1, *target));
    }
    run(&mut harness, 2_000, &[busy_route(1, 1_600, 400)]);
    for (from, target) in &placed {
        assert_eq!(forwarded_to(harness.send(&opening(*from, 1, 2))), Some(*target));
        assert_eq!(forwarded_to(harness.send(&request(*from, 1, *target))), Some(*target));
    }
}

/// Guards against refusals of copies whose first packet was placed here, or through another
/// instance, and got no answer.
#[test]
fn copies_without_an_answer_are_placed_anew() {
    let mut harness = refusing();
    for from in 0..200 {
        harness.send(&opening(from, 1, 0));
    }
    harness.advance(200);
    // The callers 200 to 399 sent their first packets through another instance.
    for from in 0..400 {
        let verdict = harness.send(&opening(from, 1, 1));
        assert!(forwarded_to(verdict).is_some(), "caller {from}: {verdict:?}");
    }
}

/// Guards against resets of open flows while new ones are refused.
#[test]
fn open_flows_continue_while_new_ones_are_refused() {
    let mut harness = Harness::with_load(TARGETS, 0, ADMISSION);
    harness.become_child();
    let targets: Vec<u64> = (0..100).map(|from| harness.establish(from, 1)).collect();
    run(&mut harness, 3_000, &[busy_route(1, 1_600, 400)]);
    assert!(harness.count_refused(1_000..1_100, 1) > 0);
    for (from, target) in (0..100).zip(targets) {
        assert_eq!(forwarded_to(harness.send(&request(from, 1, target))), Some(target));
        let answered = answer_acknowledgement(from, 1, target);
        assert_eq!(forwarded_to(harness.send(&answered)), Some(target));
    }
}

/// Guards against retries that get another verdict within an epoch, and against verdicts that
/// never change.
#[test]
fn retries_get_the_same_verdict_until_the_next_epoch() {
    let mut harness = refusing();
    let from = refused_caller(&mut harness, 0..200);
    let retry = |port: u16| {
        let mut source = caller(from);
        source.set_port(port);
        Packet { source, ..opening(from, 1, 0) }
    };
    for port in 41_000..41_002 {
        assert!(matches!(harness.send(&retry(port)), Verdict::Reset(_)));
    }
    let mut admitted = 0;
    for port in 42_000..42_010 {
        run(&mut harness, 1_000, &[busy_route(1, 1_600, 400)]);
        admitted += u32::from(forwarded_to(harness.send(&retry(port))).is_some());
    }
    assert!((1..10).contains(&admitted), "{admitted} of 10 epochs");
}

/// Guards against refusals by estimates that are not current any more.
#[test]
fn refusals_stop_once_summaries_are_old() {
    let mut harness = refusing();
    run(&mut harness, 500, &[busy_route(1, 1_600, 400)]);
    for _ in 0..50 {
        harness.advance(50);
    }
    assert!(harness.count_refused(0..500, 1) > 0);
    // 3 s of age, and 0.5 s until the next look at it.
    for _ in 0..21 {
        harness.advance(50);
    }
    assert_eq!(harness.count_refused(1_000..1_500, 1), 0);
    assert_eq!(state(&harness), State::Open);
}

/// Guards against an end of refusing that operators cannot see.
#[test]
fn end_of_refusals_by_old_summaries_is_noted() {
    let mut harness = refusing();
    harness.actions.clear();
    for _ in 0..90 {
        harness.advance(50);
    }
    assert_eq!(state(&harness), State::Open);
    let is_end = |action: &Action| match action {
        Action::Note(Note::Contention { change, .. }) => change.state == State::Open,
        _ => false,
    };
    assert!(harness.actions.iter().any(is_end));
}

/// Lets each of 200 callers open a flow every 100 ms, for half a second, with two retries at
/// once. Returns the number of flows of 1,000 that are refused finally. Flows are told apart
/// by `port`.
fn count_refused_of_busy_callers(harness: &mut Harness, port: &mut u16) -> u32 {
    let mut refused = 0;
    for _ in 0..5 {
        harness.advance(100);
        for number in 0..200 {
            let is_refused = (0..=RETRIES as u16).all(|attempt| {
                let mut source = caller(number);
                source.set_port(*port + attempt);
                let packet = Packet { source, ..opening(number, 1, 0) };
                matches!(harness.send(&packet), Verdict::Reset(_))
            });
            refused += u32::from(is_refused);
        }
        *port += 10;
    }
    refused
}

/// Guards against refusals of nearly all flows while summaries are late by up to 3 s: the
/// callers have used up what they may open in the epoch.
#[test]
fn share_is_met_while_summaries_are_late() {
    let mut harness = refusing();
    let mut port = 41_000;
    for _ in 0..12 {
        count_refused_of_busy_callers(&mut harness, &mut port);
        harness.receive_summary(&[], &[busy_route(1, 1_600, 400)]);
    }
    for _ in 0..3 {
        count_refused_of_busy_callers(&mut harness, &mut port);
    }
    // 422 are to be refused.
    let late = count_refused_of_busy_callers(&mut harness, &mut port);
    assert!(late < 700, "{late} of 1,000 after 1.5 s without a summary");
}

/// Guards against targets that are full in the first part of each epoch and idle in the rest.
#[test]
fn refusals_are_spread_over_the_epoch() {
    let mut harness = refusing();
    let mut port = 41_000;
    let mut halves = Vec::new();
    for _ in 0..20 {
        halves.push(count_refused_of_busy_callers(&mut harness, &mut port));
        harness.receive_summary(&[], &[busy_route(1, 1_600, 400)]);
    }
    // 422 are to be refused. The first epochs are not known yet.
    let halves = halves.split_off(8);
    assert!(halves.iter().all(|refused| (211..633).contains(refused)), "{halves:?}");
}

/// Guards against a reset of a flow that a target may have opened, when the network delivers
/// its opening packet twice.
#[test]
fn duplicate_of_a_placed_opening_packet_is_not_refused() {
    let mut harness = refusing();
    let (mut placed, mut resets) = (0, 0);
    for first in [0, 1_000, 2_000, 3_000] {
        let callers: Vec<u16> = (first..first + 100).collect();
        let mut open = Vec::new();
        for from in callers {
            if harness.open(from, 1).is_some() {
                open.push(from);
            }
        }
        // A new epoch begins every other time.
        harness.advance(250);
        harness.advance(250);
        harness.receive_summary(&[], &[busy_route(1, 1_600, 400)]);
        for from in open {
            placed += 1;
            let verdict = harness.send(&opening(from, 1, 0));
            resets += u32::from(matches!(verdict, Verdict::Reset(_)));
        }
    }
    assert!(placed > 100);
    assert_eq!(resets, 0, "of {placed}");
}

/// Guards against refusals that go on after the end of a burst.
#[test]
fn refusals_end_within_a_second_of_the_burst() {
    let mut harness = refusing();
    run(&mut harness, 1_000, &[busy_route(1, 200, 200)]);
    assert_eq!(harness.count_refused(0..1_000, 1), 0);
}

/// Guards against refusals of urgent flows while less urgent ones are admitted.
#[test]
fn least_urgent_flows_are_refused_first() {
    let mut harness = Harness::with_load(TARGETS, 0, ADMISSION);
    let mut configuration = common::configuration(2);
    configuration.routes[1] = common::route(2, "orders", Repeat::Once);
    configuration.routes[1].urgency = 0;
    harness.configure(configuration);
    harness.become_child();
    let routes = [busy_route(1, 1_200, 300), busy_route(2, 400, 100)];
    run(&mut harness, 3_000, &routes);
    assert_eq!(state(&harness), State::Refusing);
    assert_eq!(harness.count_refused(0..500, 2), 0);
    let refused = harness.count_refused(1_000..1_500, 1);
    assert!(refused > 150, "{refused} of 500");
}

/// Guards against a small route that is starved by more urgent ones.
#[test]
fn least_urgent_route_keeps_its_floor() {
    let mut harness = Harness::with_load(TARGETS, 0, ADMISSION);
    let mut configuration = common::configuration(2);
    configuration.routes[1].urgency = 0;
    harness.configure(configuration);
    harness.become_child();
    let routes = [busy_route(1, 200, 50), busy_route(2, 1_600, 400)];
    run(&mut harness, 3_000, &routes);
    // 5% of 450 are 22 of 86 flows per second.
    let admitted = 1_000 - harness.count_refused(0..1_000, 1);
    assert!((180..340).contains(&admitted), "{admitted} of 1,000");
}

/// Guards against a service that is refused because another one is full.
#[test]
fn other_services_are_not_affected() {
    let mut harness = refusing();
    harness.publish(common::put(common::registration(70, "files", common::HOME)));
    assert_eq!(harness.count_refused(0..500, 3), 0);
}
