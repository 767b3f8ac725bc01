//! Admission of new flows to services that have less capacity than demand.

mod common;

use common::load::{ADMISSION, Demand, Traffic, busy_route, route_sums};
use common::{
    Harness, acknowledgement, answer_acknowledgement, caller, forwarded_to, opening, request,
};
use mustardway_admission::controller::State;
use mustardway_flow::front::{Action, Verdict};
use mustardway_flow::note::{Note, ResetReason};
use mustardway_flow::packet::Packet;
use mustardway_load::message::RouteEstimate;
use mustardway_mirror::publication::Repeat;

/// Number of targets, with 4 slots each.
const TARGETS: u64 = 5;
/// Requests that the targets serve in a tick of 50 ms, which is the time of one request.
const CAPACITY: usize = 20;

/// Returns the estimate of a route at twice its capacity.
fn overloaded() -> [RouteEstimate; 1] {
    [busy_route(1, 800, 400)]
}

fn idle() -> (Harness, Traffic) {
    let mut harness = Harness::with_load(TARGETS, 0, ADMISSION);
    harness.become_child();
    (harness, Traffic::new(&[Demand::new(1, CAPACITY / 2)], CAPACITY))
}

/// Returns an instance of a service at twice its capacity.
fn refusing_traffic() -> (Harness, Traffic) {
    let (mut harness, mut traffic) = idle();
    traffic.demands[0].wanted = 2 * CAPACITY;
    traffic.play(&mut harness, 3_000, &overloaded());
    assert_eq!(state(&harness), State::Refusing);
    harness.take_sums();
    (harness, traffic)
}

fn refusing() -> Harness {
    refusing_traffic().0
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
    let (mut harness, mut traffic) = idle();
    traffic.demands[0].wanted = CAPACITY - 1;
    assert_eq!(traffic.play(&mut harness, 5_000, &[busy_route(1, 380, 380)]), 0);
    assert_eq!(harness.count_refused(0..1_000, 1), 0);
}

/// Guards against refusals of requests that targets work off in time.
#[test]
fn nothing_is_refused_in_a_burst_of_one_tick() {
    let (mut harness, mut traffic) = idle();
    traffic.play(&mut harness, 2_000, &[busy_route(1, 200, 200)]);
    traffic.demands[0].wanted = CAPACITY * 5 / 4;
    traffic.play(&mut harness, 50, &[]);
    traffic.demands[0].wanted = CAPACITY / 2;
    assert_eq!(traffic.play(&mut harness, 1_000, &[busy_route(1, 200, 200)]), 0);
}

/// Guards against requests that queue up until all of them are late.
#[test]
fn refusals_begin_within_half_a_second_of_a_step() {
    let (mut harness, mut traffic) = idle();
    traffic.play(&mut harness, 2_000, &[busy_route(1, 200, 200)]);
    traffic.demands[0].wanted = 2 * CAPACITY;
    assert!(traffic.play(&mut harness, 500, &[]) > 0);
}

/// Guards against a full service that refuses much less or much more than its excess.
#[test]
fn full_service_refuses_its_excess() {
    let (mut harness, mut traffic) = refusing_traffic();
    let asked = traffic.demands[0].asked;
    let refused = traffic.play(&mut harness, 5_000, &overloaded()) as f64;
    let share = refused / (traffic.demands[0].asked - asked) as f64;
    assert!((0.45..0.6).contains(&share), "{share}");
}

/// Guards against refusals without the knowledge of operators.
#[test]
fn refusals_are_counted_by_reason() {
    let mut harness = refusing();
    harness.actions.clear();
    let counted = |harness: &Harness| -> u64 {
        let load = harness.front.load().expect("the estimates are used");
        load.refused().map(|(_, _, count)| count).sum()
    };
    let before = counted(&harness);
    let refused = harness.count_refused(0..100, 1);
    let is_refusal = |action: &&Action| {
        matches!(action, Action::Note(Note::Reset { reason: ResetReason::Overloaded, .. }))
    };
    assert_eq!(harness.actions.iter().filter(is_refusal).count(), refused);
    let counted = counted(&harness) - before;
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
    let (mut harness, mut traffic) = refusing_traffic();
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
    traffic.play(&mut harness, 2_000, &overloaded());
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
    let (mut harness, mut traffic) = idle();
    let targets: Vec<u64> = (0..100).map(|from| harness.establish(from, 1)).collect();
    traffic.demands[0].wanted = 2 * CAPACITY;
    traffic.play(&mut harness, 3_000, &overloaded());
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
    let (mut harness, mut traffic) = refusing_traffic();
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
        traffic.play(&mut harness, 1_000, &overloaded());
        admitted += u32::from(forwarded_to(harness.send(&retry(port))).is_some());
    }
    assert!((1..10).contains(&admitted), "{admitted} of 10 epochs");
}

/// Guards against refusals by estimates that are not current any more.
#[test]
fn refusals_stop_once_summaries_are_old() {
    let (mut harness, mut traffic) = refusing_traffic();
    traffic.play(&mut harness, 500, &overloaded());
    assert!(traffic.play(&mut harness, 2_000, &[]) > 0);
    // 3 s of age, and 0.5 s until the next look at it.
    traffic.play(&mut harness, 1_500, &[]);
    assert_eq!(traffic.play(&mut harness, 1_000, &[]), 0);
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

/// Guards against refusals of nearly all flows while summaries are late by up to 3 s: the
/// callers have used up what they may open in the epoch.
#[test]
fn share_is_met_while_summaries_are_late() {
    let (mut harness, mut traffic) = refusing_traffic();
    traffic.callers = 200;
    traffic.play(&mut harness, 4_000, &overloaded());
    traffic.play(&mut harness, 1_500, &[]);
    // Half of 400 are to be refused.
    let late = traffic.play(&mut harness, 500, &[]);
    assert!(late < 300, "{late} of 400 after 1.5 s without a summary");
}

/// Guards against targets that are full in the first part of each epoch and idle in the rest.
#[test]
fn refusals_are_spread_over_the_epoch() {
    let (mut harness, mut traffic) = refusing_traffic();
    traffic.callers = 200;
    traffic.play(&mut harness, 4_000, &overloaded());
    for _ in 0..12 {
        // Half of 400 are to be refused.
        let refused = traffic.play(&mut harness, 500, &overloaded());
        assert!((100..300).contains(&refused), "{refused} of 400");
    }
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
        harness.receive_summary(&[], &overloaded());
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
    let (mut harness, mut traffic) = refusing_traffic();
    traffic.demands[0].wanted = CAPACITY / 2;
    traffic.play(&mut harness, 1_000, &[busy_route(1, 200, 200)]);
    assert_eq!(traffic.play(&mut harness, 2_000, &[busy_route(1, 200, 200)]), 0);
    assert_eq!(state(&harness), State::Open);
}

/// Plays an ordinary route 1 and an urgent route 2 that together want twice the capacity, and
/// returns their requests after the first 3 s.
fn play_unequal_urgency(ordinary: usize, urgent: usize) -> [Demand; 2] {
    let mut harness = Harness::with_load(TARGETS, 0, ADMISSION);
    let mut configuration = common::configuration(2);
    configuration.routes[1] = common::route(2, "orders", Repeat::Once);
    configuration.routes[1].urgency = 0;
    harness.configure(configuration);
    harness.become_child();
    let rate = |wanted: usize| wanted as u64 * 20;
    let routes = [(1, rate(ordinary)), (2, rate(urgent))]
        .map(|(route, rate)| busy_route(route, rate, rate / 2));
    let demands = [Demand::new(1, ordinary), Demand::new(2, urgent)];
    let mut traffic = Traffic::new(&demands, CAPACITY);
    traffic.play(&mut harness, 3_000, &routes);
    let before = traffic.demands.clone();
    traffic.play(&mut harness, 5_000, &routes);
    assert_eq!(state(&harness), State::Refusing);
    [0, 1].map(|index| {
        let (demand, before): (Demand, Demand) = (traffic.demands[index], before[index]);
        let (asked, refused) = (demand.asked - before.asked, demand.refused - before.refused);
        Demand { asked, refused, ..demand }
    })
}

/// Guards against refusals of urgent flows while less urgent ones are admitted.
#[test]
fn least_urgent_flows_are_refused_first() {
    let [ordinary, urgent] = play_unequal_urgency(30, 10);
    assert_eq!(urgent.refused, 0);
    assert!(ordinary.refused * 2 > ordinary.asked, "{ordinary:?}");
}

/// Guards against a small route that is starved by more urgent ones.
#[test]
fn least_urgent_route_keeps_its_floor() {
    let [ordinary, _] = play_unequal_urgency(4, 36);
    // 5% of the admitted load of 20 requests is one of 4.
    let share = 1.0 - ordinary.refused as f64 / ordinary.asked as f64;
    assert!((0.18..0.34).contains(&share), "{share}");
}

/// Guards against a service that is refused because another one is full.
#[test]
fn other_services_are_not_affected() {
    let mut harness = refusing();
    harness.publish(common::put(common::registration(70, "files", common::HOME)));
    assert_eq!(harness.count_refused(0..500, 3), 0);
}
