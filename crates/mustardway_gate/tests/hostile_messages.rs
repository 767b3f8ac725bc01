//! Damaged and absurd messages must neither panic nor raise the limits of a
//! gate.
#![allow(clippy::unwrap_used)]

mod support;

use mustardway_gate::{Announcement, Gate, Handover, Ownership, message};
use prost::Message;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg32;
use support::{admit, ask, at, done, finish, gate, gate_at, limits, tick};

const MESSAGE_COUNT: usize = 5_000;

fn pending_gate() -> Gate {
    gate_at("entry-2", limits(2, 1, 4), Ownership::pending(at(0)), at(0))
}

fn handover() -> Handover {
    let mut old = gate(2, 4);
    for number in 1..=20 {
        admit(&mut old, at(number), &ask(number, 1, number));
        finish(&mut old, at(number), number, done(1));
    }
    admit(&mut old, at(30), &ask(1, 2, 30));
    old.hand_over(at(40), "entry-2".parse().unwrap(), &mut Vec::new())
}

#[test]
fn flipped_bytes_keep_limits() {
    let mut random = Pcg32::seed_from_u64(3);
    let whole = handover().encode_to_vec();
    let mut decoded = 0;
    for _ in 0..MESSAGE_COUNT {
        let mut bytes = whole.clone();
        for _ in 0..random.random_range(1..6) {
            let position = random.random_range(0..bytes.len());
            bytes[position] = random.random();
        }
        let Ok(part) = Handover::decode(bytes.as_slice()) else { continue };
        decoded += 1;
        let mut gate = pending_gate();
        let _ = gate.receive_handover(at(10), &part, &mut Vec::new());
        tick(&mut gate, at(5_000));
        assert!(gate.load(at(5_000)).allowed <= 2);
    }
    assert!(decoded > 100, "{decoded} decoded");
}

#[test]
fn random_bytes_do_not_panic() {
    let mut random = Pcg32::seed_from_u64(4);
    for _ in 0..MESSAGE_COUNT {
        let mut bytes = vec![0; random.random_range(0..200)];
        random.fill_bytes(&mut bytes);
        if let Ok(part) = Handover::decode(bytes.as_slice()) {
            let _ = pending_gate().receive_handover(at(10), &part, &mut Vec::new());
        }
        if let Ok(announcement) = Announcement::decode(bytes.as_slice()) {
            let _ = pending_gate().receive_announcement(at(10), &announcement, &mut Vec::new());
        }
    }
}

#[test]
fn absurd_numbers_are_clamped() {
    let mut part = handover().into_parts().remove(1);
    let mut summary = part.summary.take().unwrap();
    summary.level = f64::NAN;
    summary.service = Some(f64::INFINITY);
    summary.baseline = Some(-1.0);
    summary.complete = u64::MAX;
    summary.reduced = u64::MAX;
    summary.filter = vec![u64::MAX; 3];
    summary.running = vec![message::Running { at: "entry-1".into(), left: vec![u64::MAX; 90_000] }];
    part.summary = Some(summary);
    part.part = 0;
    part.parts = 1;
    let mut gate = pending_gate();
    gate.receive_handover(at(10), &part, &mut Vec::new()).unwrap();
    assert_eq!(gate.load(at(10)).running_elsewhere, 2);
    assert_eq!(gate.load(at(10)).allowed, 1);
}
