//! Flows of a target that no longer answers are reset, those of one that lives
//! never.

mod common;

use assert_matches::assert_matches;
use common::{
    AWAY, HOME, Host, answered, id, opening, packet, put, registration, request, target_of,
};
use mustardway_flow::front::{Action, Event, Verdict};
use mustardway_flow::health::Outcome;
use mustardway_flow::packet::Packet;
use mustardway_mirror::publication::Departure;
use mustardway_types::time::Span;

/// A host with a request that was sent twice, 200 ms apart, without an answer.
fn unanswered(route: u8) -> (Host, u64) {
    let mut host = Host::new(4, 4);
    let target = host.establish(1, route);
    host.send(&request(1, route, target));
    host.wait(200);
    host.take();
    host.send(&request(1, route, target));
    (host, target)
}

/// The same, and two probes that found `outcome`.
fn probed_twice(route: u8, outcome: Outcome) -> (Host, u64) {
    let (mut host, target) = unanswered(route);
    host.probed(target, outcome);
    host.wait(100);
    host.probed(target, outcome);
    (host, target)
}

#[test]
fn repeated_bytes_probe() {
    let (mut host, target) = unanswered(1);
    assert_eq!(host.take_probes(), [id(target)]);
}

#[test]
fn silent_target_resets() {
    let (mut host, target) = probed_twice(1, Outcome::Silent);
    let resets = host.take_resets();
    assert_eq!(resets.len(), 1);
    assert_eq!(resets[0].sequence, 5_001, "what the caller last acknowledged");
    assert_matches!(host.send(&request(1, 1, target)), Verdict::Reset(_));
}

/// One lost packet and one dropped connection are no proof.
#[test]
fn one_failed_probe_is_not_enough() {
    for outcome in [Outcome::Silent, Outcome::Refused] {
        let (mut host, target) = unanswered(1);
        host.probed(target, outcome);
        assert!(host.take_resets().is_empty());
        assert_eq!(target_of(host.send(&request(1, 1, target))), Some(target));
    }
}

/// An instance that gets no quick answer from anybody is slow itself: its link
/// may be full.
#[test]
fn slow_instance_loses_nobody() {
    let (mut host, target) = unanswered(1);
    for _ in 0..6 {
        host.probed_blindly(target, Outcome::Silent);
        host.wait(100);
    }
    assert!(host.take_resets().is_empty());
    host.exchange();
    for _ in 0..2 {
        host.probed(target, Outcome::Silent);
        host.wait(100);
    }
    assert_eq!(host.take_resets().len(), 1);
}

/// Where nobody at all can be reached for long, the targets count as lost.
#[test]
fn isolated_instance_loses_all() {
    let (mut host, target) = unanswered(1);
    host.wait(1_500);
    for _ in 0..3 {
        host.probed_blindly(target, Outcome::Silent);
        host.wait(100);
    }
    assert_eq!(host.take_resets().len(), 1);
}

/// Two callers that were left unanswered weigh more than one.
#[test]
fn two_callers_and_one_probe() {
    let mut host = Host::new(1, 0);
    for from in [1, 2] {
        host.establish(from, 1);
    }
    for from in [1, 2] {
        host.send(&request(from, 1, 1));
    }
    host.wait(200);
    for from in [1, 2] {
        host.send(&request(from, 1, 1));
    }
    host.take();
    host.probed(1, Outcome::Silent);
    assert_eq!(host.take_resets().len(), 2);
}

#[test]
fn peers_word_and_one_probe() {
    let (mut host, target) = unanswered(1);
    host.tell(Event::PeerReport { target: id(target), is_lost: true });
    host.probed(target, Outcome::Silent);
    assert_eq!(host.take_resets().len(), 1);
}

#[test]
fn answering_target_keeps_flows() {
    let (mut host, target) = unanswered(1);
    host.probed(target, Outcome::Alive);
    assert!(host.take_resets().is_empty());
    assert_eq!(target_of(host.send(&request(1, 1, target))), Some(target));
}

#[test]
fn heard_target_keeps_flows() {
    let (mut host, target) = unanswered(1);
    host.take();
    host.wait(5);
    host.send(&answered(1, 1, target));
    for _ in 0..4 {
        host.probed(target, Outcome::Silent);
        host.wait(100);
    }
    assert!(host.take_resets().is_empty(), "the probes were lost, not the target");
}

#[test]
fn single_run_is_left() {
    for outcome in [Outcome::Silent, Outcome::Refused] {
        let (mut host, target) = probed_twice(2, outcome);
        assert!(host.take_resets().is_empty());
        assert_eq!(target_of(host.send(&request(1, 2, target))), Some(target));
    }
}

#[test]
fn ended_process_resets_all() {
    let (mut host, target) = unanswered(2);
    host.probed(target, Outcome::Replaced);
    assert_eq!(host.take_resets().len(), 1);
}

#[test]
fn slow_answer_is_no_doubt() {
    let mut host = Host::new(2, 0);
    let target = host.establish(1, 1);
    host.establish(2, 1);
    host.send(&request(1, 1, target));
    host.wait(100);
    host.send(&packet(3, 1, target));
    host.send(&Packet { acknowledgement: 6_000, ..packet(3, 1, target) });
    host.wait(100);
    host.take();
    host.send(&request(1, 1, target));
    assert!(host.take_probes().is_empty(), "another caller heard it meanwhile");
}

#[test]
fn lost_target_is_passed() {
    let (mut host, target) = probed_twice(1, Outcome::Refused);
    for from in 10..60 {
        assert_ne!(host.open(from, 1), Some(target));
    }
}

#[test]
fn returned_target_is_used() {
    let (mut host, target) = probed_twice(1, Outcome::Silent);
    host.take();
    host.wait(900);
    assert!(host.take_probes().contains(&id(target)));
    host.probed(target, Outcome::Alive);
    assert!(host.take().contains(&Action::TellPeers { target: id(target), is_lost: false }));
    assert!((10..90).any(|from| host.open(from, 1) == Some(target)));
}

/// Instances that share callers share the probes of a lost target too.
#[test]
fn sharers_probe_in_turn() {
    let (mut host, target) = probed_twice(1, Outcome::Silent);
    host.tell(Event::Peers { known: Vec::new(), domain_instances: 20 });
    host.take();
    let mut probes = 0;
    for _ in 0..400 {
        host.wait(50);
        for probe in host.take_probes() {
            let is_lost = probe == id(target);
            probes += u32::from(is_lost);
            let outcome = if is_lost { Outcome::Silent } else { Outcome::Alive };
            host.tell(Event::Probed(probe, outcome));
        }
    }
    assert!(probes <= 3, "{probes} probes in 20 s of one among 20");
}

#[test]
fn lost_target_is_told() {
    let (mut host, target) = unanswered(1);
    host.probed(target, Outcome::Silent);
    assert!(!host.take().iter().any(|action| matches!(action, Action::TellPeers { .. })));
    host.wait(100);
    host.probed(target, Outcome::Silent);
    assert!(host.take().contains(&Action::TellPeers { target: id(target), is_lost: true }));
}

/// A word from a peer sends new flows elsewhere; flows are reset only once two
/// probes have failed here too.
#[test]
fn rumour_is_probed() {
    let mut host = Host::new(2, 0);
    let target = host.establish(1, 1);
    host.wait(150);
    host.take();
    host.tell(Event::PeerReport { target: id(target), is_lost: true });
    host.wait(50);
    assert_eq!(host.take_probes(), [id(target)]);
    host.probed(target, Outcome::Silent);
    assert!(host.take_resets().is_empty());
    assert_eq!(target_of(host.send(&packet(1, 1, target))), Some(target));
    for from in 10..40 {
        assert_ne!(host.open(from, 1), Some(target));
    }
    host.tell(Event::PeerReport { target: id(target), is_lost: false });
    assert!((50..90).any(|from| host.open(from, 1) == Some(target)));
}

#[test]
fn neighbours_are_passed() {
    let (mut host, target) = unanswered(1);
    assert!(target <= 4);
    host.probed(target, Outcome::Silent);
    host.wait(100);
    host.probed(target, Outcome::Silent);
    for from in 10..40 {
        assert!(host.open(from, 1).expect("placed") > 4, "the whole domain may be lost");
    }
}

/// A few probes at a time, whatever happens: many at once fill the queues of
/// targets that live.
#[test]
fn probes_are_few() {
    let mut host = Host::new(0, 60);
    for from in 0..60 {
        host.open(from, 1);
    }
    host.wait(100);
    let probes = host.take_probes();
    assert!(probes.len() <= 4, "{} at once", probes.len());
    host.probed(1, Outcome::Alive);
    host.wait(50);
    assert!(host.take_probes().len() <= 1);
}

#[test]
fn unregistered_target_is_probed() {
    let mut host = Host::new(2, 0);
    let target = host.establish(1, 1);
    host.take();
    host.unregister(target);
    assert_eq!(host.take_probes(), [id(target)]);
    host.probed(target, Outcome::Alive);
    assert!(host.take_resets().is_empty());
    assert_eq!(target_of(host.send(&packet(1, 1, target))), Some(target));
}

#[test]
fn lapsed_registration_still_serves() {
    let mut host = Host::new(1, 0);
    host.unregister(1);
    assert_eq!(host.open(1, 1), Some(1));
    host.wait(2_600);
    assert_eq!(host.open(2, 1), None);
    host.publish(put(registration(1, "orders", HOME)));
    assert_eq!(host.open(3, 1), Some(1));
}

#[test]
fn new_life_is_trusted() {
    let (mut host, target) = probed_twice(1, Outcome::Silent);
    let mut reborn = registration(target, "orders", HOME);
    reborn.born = Some(2);
    host.publish(put(reborn));
    assert!((10..90).any(|from| host.open(from, 1) == Some(target)));
}

/// A target that departed before this instance started.
fn recalled(number: u64, route: u8) -> Host {
    let mut host = Host::new(4, 4);
    let registration = registration(number, "orders", AWAY);
    let age = Span::seconds(3);
    host.tell(Event::Departed(vec![Departure { registration, age }]));
    host.send(&request(1, route, number));
    host
}

/// Its callers need not send their requests a second time to be noticed.
#[test]
fn departed_target_is_probed_at_once() {
    let mut host = recalled(30, 1);
    assert_eq!(host.take_probes(), [id(30)]);
    host.probed(30, Outcome::Replaced);
    assert_eq!(host.take_resets().len(), 1);
}

/// It may still serve: its registration ran out, but its process lives.
#[test]
fn departed_target_that_answers_keeps_flows() {
    let mut host = recalled(30, 1);
    host.take();
    host.probed(30, Outcome::Alive);
    assert!(host.take_resets().is_empty());
    assert_eq!(target_of(host.send(&request(1, 1, 30))), Some(30));
}

#[test]
fn departed_target_gets_no_new_flows() {
    let mut host = recalled(30, 1);
    for from in 100..200 {
        assert!(host.open(from, 1).is_some_and(|target| target <= 8));
    }
}

#[test]
fn registered_target_is_not_recalled() {
    let mut host = Host::new(4, 4);
    let registration = registration(2, "orders", HOME);
    host.tell(Event::Departed(vec![Departure { registration, age: Span::seconds(3) }]));
    let opened: Vec<_> = (100..140).filter_map(|from| host.open(from, 1)).collect();
    assert!(opened.contains(&2));
}

/// Packets of callers pass over a full link on which connections fail.
#[test]
fn quick_callers_prove_no_quick_probe() {
    let (mut host, target) = unanswered(1);
    for round in 0..6 {
        host.establish(700 + round, 2);
        host.probed_blindly(target, Outcome::Silent);
        host.wait(100);
        host.take();
    }
    assert_matches!(host.send(&request(1, 1, target)), Verdict::Forward { .. });
}

/// The same where the target was only near one that was lost.
#[test]
fn neighbour_needs_more_signs() {
    let mut host = Host::new(4, 4);
    let target = host.establish(1, 1);
    host.wait(200);
    host.tell(Event::PeerReport { target: id(target), is_lost: true });
    for _ in 0..2 {
        host.wait(100);
        host.probed(target, Outcome::Silent);
    }
    assert!(host.take_resets().is_empty());
    host.wait(100);
    host.probed(target, Outcome::Silent);
    assert_eq!(host.take_resets().len(), 1);
}

/// A doubted target that is slow to answer is compared with another one.
#[test]
fn slow_answer_asks_for_comparison() {
    let (mut host, target) = unanswered(1);
    assert_eq!(host.take_probes(), [id(target)]);
    host.establish(2, 1);
    host.take();
    host.wait(50);
    let references = host.take_probes();
    assert_eq!(references.len(), 1);
    assert_ne!(references, [id(target)]);
}

/// The first target of a flow may answer late, after a copy of the opening packet
/// went to another one, which is then lost.
#[test]
fn moved_opening_is_left() {
    let mut host = Host::new(2, 0);
    let first = host.open(1, 1).expect("placed");
    host.wait(200);
    let second = target_of(host.send(&opening(1, 1, 1))).expect("placed");
    assert_ne!(first, second);
    host.take();
    host.lose(second, Outcome::Silent);
    let resets = host.take_resets();
    assert!(resets.iter().all(|reset| reset.flow != opening(1, 1, 0).flow()), "{resets:?}");
}
