//! Flows of a target that no longer answers are reset, those of one that lives
//! never.

mod common;

use assert_matches::assert_matches;
use common::{HOME, Host, answered, id, packet, put, registration, request, target_of};
use mustardway_flow::front::{Action, Event, Verdict};
use mustardway_flow::packet::Packet;
use mustardway_flow::standing::Outcome;

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

#[test]
fn repeated_bytes_probe() {
    let (mut host, target) = unanswered(1);
    assert_eq!(host.take_probes(), [id(target)]);
}

#[test]
fn silent_target_resets() {
    let (mut host, target) = unanswered(1);
    host.take();
    host.probed(target, Outcome::Silent);
    let resets = host.take_resets();
    assert_eq!(resets.len(), 1);
    assert_eq!(resets[0].sequence, 5_001, "what the caller last acknowledged");
    assert_matches!(host.send(&request(1, 1, target)), Verdict::Reset(_));
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
    host.probed(target, Outcome::Silent);
    assert!(host.take_resets().is_empty(), "the probe was lost, not the target");
}

#[test]
fn single_run_is_left() {
    for outcome in [Outcome::Silent, Outcome::Refused] {
        let (mut host, target) = unanswered(2);
        host.probed(target, outcome);
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
    let (mut host, target) = unanswered(1);
    host.probed(target, Outcome::Refused);
    for from in 10..60 {
        assert_ne!(host.open(from, 1), Some(target));
    }
}

#[test]
fn returned_target_is_used() {
    let (mut host, target) = unanswered(1);
    host.probed(target, Outcome::Silent);
    host.take();
    host.wait(900);
    assert!(host.take_probes().contains(&id(target)));
    host.probed(target, Outcome::Alive);
    assert!((10..90).any(|from| host.open(from, 1) == Some(target)));
}

#[test]
fn lost_target_doubts_neighbours() {
    let (mut host, target) = unanswered(1);
    host.wait(200);
    host.take();
    host.probed(target, Outcome::Silent);
    let probes = host.take_probes();
    assert_eq!(probes.len(), 3, "the other three of its failure domain: {probes:?}");
}

#[test]
fn peers_are_told() {
    let (mut host, target) = unanswered(1);
    let told = |actions: &[Action], is_lost: bool| {
        actions.contains(&Action::TellDoubt { target: id(target), is_lost })
    };
    assert!(told(&host.take(), false));
    host.probed(target, Outcome::Silent);
    assert!(told(&host.take(), true));
}

#[test]
fn peers_doubt_is_probed() {
    let mut host = Host::new(2, 0);
    let target = host.establish(1, 1);
    host.wait(150);
    host.take();
    host.tell(Event::Doubted { target: id(target), is_lost: false });
    assert_eq!(host.take_probes(), [id(target)]);
    let unused = 3 - target;
    host.tell(Event::Doubted { target: id(unused), is_lost: false });
    assert!(host.take_probes().is_empty(), "no flow there");
    host.tell(Event::Doubted { target: id(unused), is_lost: true });
    assert_eq!(host.take_probes(), [id(unused)]);
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
    let (mut host, target) = unanswered(1);
    host.probed(target, Outcome::Silent);
    let mut reborn = registration(target, "orders", HOME);
    reborn.born = Some(2);
    host.publish(put(reborn));
    assert!((10..90).any(|from| host.open(from, 1) == Some(target)));
}
