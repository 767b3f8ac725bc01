//! Planned and unplanned change of the owner.
#![allow(clippy::unwrap_used)]

mod support;

use assert_matches::assert_matches;
use bytes::Bytes;
use mustardway_gate::{
    Admission, Announcement, Ending, Gate, Handover, Mode, Ownership, Step, message, ownership,
    ticket,
};
use mustardway_types::{answer::Reason, flow};
use prost::Message;
use support::{
    admit, ask, at, attempt, done, ended, finish, gate, gate_at, limits, mode, reason, serving,
    tick,
};

fn next_owner(now: u64) -> Gate {
    gate_at("entry-2", limits(2, 1, 4), Ownership::pending(at(now)), at(now))
}

fn hand_over(from: &mut Gate, to: &mut Gate, now: u64) -> Vec<Step> {
    let mut steps = Vec::new();
    let message = from.hand_over(at(now), "entry-2".parse().unwrap(), &mut steps);
    for part in message.into_parts() {
        let part = Handover::decode(part.encode_to_vec().as_slice()).unwrap();
        to.receive_handover(at(now), &part, &mut Vec::new()).unwrap();
    }
    steps
}

#[test]
fn planned_change_hands_state_over() {
    let mut old = gate(2, 4);
    for number in 1..=3 {
        admit(&mut old, at(0), &ask(number, 1, number));
    }
    finish(&mut old, at(10), 1, done(10));
    admit(&mut old, at(10), &ask(4, 1, 4));
    let mut new = next_owner(20);
    let steps = hand_over(&mut old, &mut new, 20);
    let to = Some("entry-2".parse().unwrap());
    assert_eq!(steps, [Step::Redirect(ticket::Id(4), to.clone())]);
    assert_matches!(new.ownership(), Ownership::Serving { inherited: true, .. });
    assert_eq!(new.load(at(20)).running_elsewhere, 2);
    assert_eq!(new.load(at(20)).allowed, 2, "as warm as it was");
    assert_matches!(admit(&mut new, at(20), &ask(4, 1, 14)), Admission::Queued);
    assert_matches!(admit(&mut new, at(20), &attempt(ask(1, 1, 15), 2)), Admission::Replay(_));
    assert_eq!(admit(&mut old, at(20), &ask(5, 1, 16)), Admission::NotOwner(to));
    let at_old = admit(&mut new, at(20), &attempt(ask(2, 1, 17), 2));
    assert_eq!(at_old, Admission::NotOwner(Some("entry-1".parse().unwrap())));
    let joined = admit(&mut old, at(20), &attempt(ask(2, 1, 18), 2));
    assert_eq!(joined, Admission::Join(ticket::Id(2)));
}

#[test]
fn late_outcomes_reach_next_owner() {
    let mut old = gate(2, 4);
    admit(&mut old, at(0), &ask(1, 1, 1));
    admit(&mut old, at(0), &ask(2, 1, 2));
    let mut new = next_owner(20);
    hand_over(&mut old, &mut new, 20);
    admit(&mut new, at(20), &ask(3, 1, 3));
    finish(&mut old, at(30), 1, done(30));
    let late = old.take_late_outcomes().unwrap();
    let mut steps = Vec::new();
    new.receive_handover(at(30), &late, &mut steps).unwrap();
    assert_eq!(new.load(at(30)).running_elsewhere, 1);
    assert_matches!(admit(&mut new, at(30), &attempt(ask(1, 1, 4), 2)), Admission::Replay(_));
    assert_eq!(tick(&mut new, at(30)), [Step::Start(ticket::Id(3))]);
    assert_eq!(old.take_late_outcomes(), None);
}

#[test]
fn lost_earlier_owner_leaves_outcome_unknown() {
    let mut old = gate(2, 4);
    admit(&mut old, at(0), &ask(1, 1, 1));
    let mut new = next_owner(20);
    hand_over(&mut old, &mut new, 20);
    new.mark_instance_lost(&"entry-1".parse().unwrap());
    let again = admit(&mut new, at(30), &attempt(ask(1, 1, 2), 2));
    assert_eq!(reason(&again), Some(Reason::Forgotten));
}

#[test]
fn missing_part_keeps_gate_pending() {
    let mut old = gate(2, 4);
    for number in 0..30_000 {
        admit(&mut old, at(0), &ask(number % 100, number, number));
        let reply = Bytes::from(vec![7; 100]);
        finish(&mut old, at(0), number, ended(Ending::Done(reply), 1));
    }
    let message = old.hand_over(at(20), "entry-2".parse().unwrap(), &mut Vec::new());
    let parts = message.into_parts();
    assert!(parts.len() > 2, "{} parts", parts.len());
    let mut new = next_owner(20);
    for part in &parts[1..] {
        assert!(part.encoded_len() <= message::MAX_PART_BYTES);
        new.receive_handover(at(20), part, &mut Vec::new()).unwrap();
    }
    assert_matches!(new.ownership(), Ownership::Pending { .. });
}

/// Hands over from a gate of `instance` that does not serve yet.
fn pending_handover(instance: &str) -> Handover {
    let mut old = gate_at(instance, limits(2, 1, 4), Ownership::pending(at(0)), at(0));
    old.hand_over(at(0), "entry-2".parse().unwrap(), &mut Vec::new())
}

#[test]
fn handover_without_history_is_complete() {
    let mut new = next_owner(0);
    let message = pending_handover("entry-1");
    assert_eq!(new.receive_handover(at(0), &message, &mut Vec::new()), Ok(true));
    assert_matches!(new.ownership(), Ownership::Pending { .. });
}

/// Several instances that start at the same time may each have taken themselves for the owner.
#[test]
fn repeated_handovers_do_not_keep_gate_pending() {
    let mut new = next_owner(0);
    let handovers = [pending_handover("entry-1"), pending_handover("entry-3")];
    for round in 0..20 {
        for (phase, handover) in handovers.iter().enumerate() {
            let now = at(500 * round + 250 * phase as u64);
            new.receive_handover(now, handover, &mut Vec::new()).unwrap();
            tick(&mut new, now);
        }
    }
    assert_matches!(new.ownership(), Ownership::Serving { .. });
}

#[test]
fn unplanned_change_rebuilds_from_announcements() {
    let mut new = next_owner(0);
    let wait = admit(&mut new, at(100), &ask(1, 1, 1));
    assert_eq!(wait, Admission::Wait(ownership::REBUILD_TIME.saturating_sub(at(100).since(at(0)))));
    let mut request = message::Request { flow: 1, request: 7, ..Default::default() };
    request.set_ending(message::Ending::Unknown);
    let announcement =
        Announcement { target: "reservas-1".into(), flows: vec![1], requests: vec![request] };
    new.receive_announcement(at(200), &announcement, &mut Vec::new()).unwrap();
    let known = |ask| mode(ask, Mode::Established);
    assert_matches!(admit(&mut new, at(500), &known(ask(1, 1, 2))), Admission::Run);
    assert_matches!(admit(&mut new, at(500), &known(ask(2, 1, 3))), Admission::UnknownFlow);
    let forwarded = admit(&mut new, at(500), &known(ask(1, 7, 4)));
    assert_eq!(reason(&forwarded), Some(Reason::Forgotten));
    let repeated = admit(&mut new, at(500), &known(attempt(ask(1, 8, 5), 2)));
    assert_eq!(reason(&repeated), Some(Reason::Forgotten));
    let late = new.receive_announcement(at(60_000), &announcement, &mut Vec::new());
    assert_eq!(late, Err(message::Error::Late));
}

#[test]
fn unplanned_change_halves_slots() {
    let mut new = gate_at("entry-2", limits(8, 8, 4), Ownership::pending(at(0)), at(0));
    tick(&mut new, at(500));
    assert_eq!(new.load(at(500)).allowed, 4);
    assert_eq!(new.load(at(10_499)).allowed, 4);
    assert_eq!(new.load(at(10_500)).allowed, 8);
}

#[test]
fn states_of_two_owners_are_merged() {
    let mut old = gate(2, 4);
    let mut new = gate_at("entry-2", limits(2, 1, 4), serving(), at(0));
    admit(&mut old, at(0), &ask(1, 1, 1));
    finish(&mut old, at(10), 1, done(10));
    admit(&mut new, at(0), &ask(2, 1, 2));
    finish(&mut new, at(10), 2, ended(Ending::Lost, 10));
    admit(&mut new, at(20), &ask(3, 1, 3));
    admit(&mut new, at(20), &ask(1, 1, 4));
    hand_over(&mut old, &mut new, 30);
    assert_eq!(new.flow_ids(), [flow::Id(1), flow::Id(2), flow::Id(3)]);
    assert_eq!(new.load(at(30)).queued, 0, "what the other ran does not wait here");
    assert_matches!(admit(&mut new, at(30), &attempt(ask(1, 1, 5), 2)), Admission::Replay(_));
    assert_eq!(new.load(at(30)).allowed, 1, "the lower level holds");
}

#[test]
fn invalid_handover_is_rejected() {
    let mut new = next_owner(0);
    let message = Handover { target: "other".into(), ..Default::default() };
    let received = new.receive_handover(at(0), &message, &mut Vec::new());
    assert_eq!(received, Err(message::Error::Target));
    let message = Handover { target: "reservas-1".into(), ..Default::default() };
    let received = new.receive_handover(at(0), &message, &mut Vec::new());
    assert_eq!(received, Err(message::Error::Instance));
}
