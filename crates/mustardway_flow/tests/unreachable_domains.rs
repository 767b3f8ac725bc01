//! A failure domain that cannot be reached is left as a whole, long before each of its
//! targets is found lost.

mod common;

use assert_matches::assert_matches;
use common::{
    HOME, Harness, acknowledgement, answer_acknowledgement, id, instances, opening, put,
    registration,
};
use mustardway_flow::front::{Action, Event, Verdict};
use mustardway_flow::health::Outcome;
use mustardway_flow::note::{DropReason, Note};
use mustardway_mirror::publication::{Change, Item, Repeat};
use mustardway_types::time::Span;

/// Returns an instance with targets in its own evacuated failure domain and 40 in
/// another one.
fn evacuated_harness() -> Harness {
    let mut harness = Harness::new(4, 40);
    harness.publish(Change::Put(Item::Evacuated(HOME.parse().expect("well formed"))));
    harness.handle(Event::Peers {
        known: instances(9),
        neighbours: instances(3),
        relays: Vec::new(),
    });
    harness
}

/// Loses `count` targets of the other failure domain, as peers report them.
fn lose_remote(harness: &mut Harness, count: u64) {
    for number in 5..5 + count {
        harness.handle(Event::PeerReport {
            from: common::peer(1 + number as usize % 2),
            target: id(number),
            is_lost: true,
        });
    }
    harness.advance(50);
}

/// Lets a caller show that a target has answered it.
fn respond(harness: &mut Harness, from: u16, number: u64) {
    harness.send(&acknowledgement(from, 1, number));
    harness.send(&answer_acknowledgement(from, 1, number));
}

/// Sends callers' opening packets, which no target answers, for `millis`.
fn open_unanswered(harness: &mut Harness, first: u16, millis: u16) {
    for from in 0..millis / 50 {
        harness.send(&opening(first + from, 1, 0));
        harness.advance(50);
    }
}

#[test]
fn three_lost_targets_make_the_domain_unreachable() {
    for (lost, is_reachable) in [(2, true), (3, false)] {
        let mut harness = evacuated_harness();
        lose_remote(&mut harness, lost);
        assert_eq!(harness.open(1, 1).is_some(), is_reachable, "{lost} lost");
    }
}

#[test]
fn other_domains_get_the_new_flows() {
    let mut harness = evacuated_harness();
    harness.publish(put(registration(99, "orders", "third")));
    lose_remote(&mut harness, 3);
    for from in 0..20 {
        assert_eq!(harness.open(from, 1), Some(99));
    }
}

#[test]
fn one_sign_of_life_ends_it() {
    let signs: [fn(&mut Harness); 3] = [
        |harness| {
            harness.handle(Event::PeerReport {
                from: common::peer(1),
                target: id(5),
                is_lost: false,
            });
        },
        |harness| harness.handle(Event::Probed(id(20), Outcome::Alive)),
        |harness| respond(harness, 77, 30),
    ];
    for (number, sign) in signs.into_iter().enumerate() {
        let mut harness = evacuated_harness();
        lose_remote(&mut harness, 3);
        assert_eq!(harness.open(1, 1), None);
        harness.advance(50);
        sign(&mut harness);
        harness.advance(50);
        assert!(harness.open(2, 1).is_some(), "sign {number}");
    }
}

/// A crash of several targets leaves others that answer.
#[test]
fn domain_that_answers_stays_reachable() {
    let mut harness = evacuated_harness();
    for number in 5..25 {
        harness.handle(Event::PeerReport {
            from: common::peer(1 + number as usize % 2),
            target: id(number),
            is_lost: true,
        });
        respond(&mut harness, 200 + u16::try_from(number).expect("small"), 40);
        harness.advance(50);
        assert!(harness.open(u16::try_from(number).expect("small"), 1).is_some());
    }
}

#[test]
fn change_of_reachability_is_noted_once() {
    let mut harness = evacuated_harness();
    lose_remote(&mut harness, 3);
    harness.advance(50);
    let notes = harness.actions.iter().filter(|action| {
        matches!(action, Action::Note(Note::Reachable { is_reachable: false, .. }))
    });
    assert_eq!(notes.count(), 1);
}

/// Routers notice after a second that an instance is not ready. They are told as soon
/// as the domain is silent, before any target is found lost.
#[test]
fn silent_domain_makes_the_instance_unready() {
    let mut harness = evacuated_harness();
    open_unanswered(&mut harness, 1, 300);
    assert!(harness.front.is_ready());
    open_unanswered(&mut harness, 100, 400);
    assert!(!harness.front.is_ready());
    respond(&mut harness, 300, 30);
    harness.advance(50);
    assert!(harness.front.is_ready());
}

#[test]
fn silent_domain_does_not_matter_if_another_serves() {
    let mut harness = Harness::new(4, 40);
    for number in 5..45 {
        let from = 100 + u16::try_from(number).expect("small");
        respond(&mut harness, from, number);
    }
    open_unanswered(&mut harness, 1, 100);
    lose_remote(&mut harness, 3);
    assert!(harness.front.is_ready());
    assert!(harness.open(99, 1).is_some());
}

/// Until the routers choose instances in other failure domains, an opening packet is
/// dropped: the caller's copy goes there. Resets would use up the caller's retries.
#[test]
fn opening_packets_are_dropped_while_routers_turn_away() {
    let mut harness = evacuated_harness();
    let mut configuration = common::configuration(2);
    configuration.routes[0].limit = Span::seconds(4);
    harness.configure(configuration);
    open_unanswered(&mut harness, 1, 100);
    lose_remote(&mut harness, 3);
    assert!(!harness.front.is_ready());
    assert_eq!(harness.send(&opening(50, 1, 0)), Verdict::Drop(DropReason::Withdrawing));
    harness.advance(1_400);
    assert_eq!(harness.send(&opening(51, 1, 0)), Verdict::Drop(DropReason::Withdrawing));
    harness.advance(100);
    assert_matches!(
        harness.send(&opening(52, 1, 0)),
        Verdict::Reset(_),
        "others cannot serve either"
    );
}

/// A request that would time out before the routers choose others is reset at once.
#[test]
fn urgent_opening_packets_are_reset_at_once() {
    let mut harness = evacuated_harness();
    open_unanswered(&mut harness, 1, 100);
    lose_remote(&mut harness, 3);
    assert!(!harness.front.is_ready());
    assert_matches!(harness.send(&opening(50, 1, 0)), Verdict::Reset(_));
}

#[test]
fn opening_packets_are_reset_if_there_are_no_others() {
    let mut harness = evacuated_harness();
    harness.set_neighbours(3);
    let mut configuration = common::configuration(2);
    configuration.routes[0] = common::route(1, "orders", Repeat::Free);
    configuration.routes[0].limit = Span::seconds(4);
    harness.configure(configuration);
    open_unanswered(&mut harness, 1, 100);
    lose_remote(&mut harness, 3);
    assert_matches!(harness.send(&opening(50, 1, 0)), Verdict::Reset(_));
}

/// The flows of a target in an unreachable domain are kept until the target itself is
/// found lost.
#[test]
fn flows_in_an_unreachable_domain_are_kept() {
    let mut harness = Harness::new(0, 40);
    let target = harness.establish(1, 1);
    harness.advance(200);
    for number in (1..=40).filter(|number| *number != target).take(5) {
        harness.handle(Event::PeerReport {
            from: common::peer(1 + number as usize % 2),
            target: id(number),
            is_lost: true,
        });
    }
    harness.advance(50);
    assert_eq!(harness.open(2, 1), None);
    assert!(harness.take_resets().is_empty());
    let verdict = harness.send(&acknowledgement(1, 1, target));
    assert_matches!(verdict, Verdict::Forward { key, .. } if key == target);
}
