//! Shares, stability and bounds of weighted rendezvous in a tree.

#![allow(clippy::unwrap_used)]

use mustardway_routing::tree::{Member, Tree};
use mustardway_types::hash;

const FLOWS: u64 = 40_000;

fn member(index: u32, weight: f64) -> Member {
    Member { key: hash::seeded(7, &index.to_le_bytes()), weight, index }
}

fn equal(targets: u32) -> Vec<Member> {
    (0..targets).map(|index| member(index, 1.0)).collect()
}

fn picks(tree: &Tree) -> Vec<u32> {
    (0..FLOWS).map(|flow| tree.pick(hash::mix(flow, 99), 0).unwrap()).collect()
}

#[test]
fn empty_picks_nothing() {
    let tree = Tree::new(Vec::new());
    assert_eq!(tree.pick(1, 0), None);
    assert!(tree.rank(1, 3).is_empty());
}

#[test]
fn weights_give_shares() {
    let mut members = equal(14);
    members[3].weight = 3.0;
    let mut counts = [0u64; 14];
    for pick in picks(&Tree::new(members)) {
        counts[pick as usize] += 1;
    }
    for (index, count) in counts.into_iter().enumerate() {
        let weight = if index == 3 { 3.0 } else { 1.0 };
        let expected = FLOWS as f64 * weight / 16.0;
        let deviation = (count as f64 - expected).abs();
        assert!(deviation < 5.0 * expected.sqrt(), "{index}: {count} for {expected}");
    }
}

/// Flows that moved although member `changed` neither gained nor lost them,
/// and those that it gained or lost.
fn moved(before: &Tree, after: &Tree, changed: u32) -> (u64, u64) {
    let (mut others, mut own) = (0, 0);
    for (old, new) in picks(before).into_iter().zip(picks(after)) {
        if old == new {
            continue;
        }
        if old == changed || new == changed {
            own += 1;
        } else {
            others += 1;
        }
    }
    (others, own)
}

/// Levels below the root that can hold more than one of 40,000 members.
const LOWER_LEVELS: u64 = 2;

#[test]
fn joining_moves_little_else() {
    for targets in [13, 64, 65, 500] {
        let (before, after) = (Tree::new(equal(targets)), Tree::new(equal(targets + 1)));
        let (others, own) = moved(&before, &after, targets);
        assert!(own > 0);
        assert!(others <= LOWER_LEVELS * own, "{others} others moved beside {own} at {targets}");
    }
}

#[test]
fn leaving_moves_little_else() {
    let mut rest = equal(40);
    rest.remove(11);
    let (others, own) = moved(&Tree::new(equal(40)), &Tree::new(rest), 11);
    assert!(own > 0);
    assert!(others <= LOWER_LEVELS * own, "{others} others moved beside {own}");
}

#[test]
fn apart_moves_nothing_else() {
    let apart = |targets: u64| -> Vec<Member> {
        let member = |index| Member { key: index << 58, weight: 1.0, index: index as u32 };
        (0..targets).map(member).collect()
    };
    let (others, own) = moved(&Tree::new(apart(14)), &Tree::new(apart(15)), 14);
    assert!(own > 0);
    assert_eq!(others, 0);
}

#[test]
fn rank_is_whole() {
    let tree = Tree::new(equal(14));
    for flow in 0..500 {
        let mut ranked = tree.rank(flow, 20);
        assert_eq!(Some(ranked[0]), tree.pick(flow, 0));
        ranked.sort_unstable();
        assert_eq!(ranked, (0..14).collect::<Vec<u32>>());
    }
}

#[test]
fn order_ignored() {
    let mut reversed = equal(100);
    reversed.reverse();
    assert_eq!(picks(&Tree::new(equal(100))), picks(&Tree::new(reversed)));
}

#[test]
fn equal_keys_served() {
    let twins = vec![
        Member { key: 5, weight: 1.0, index: 0 },
        Member { key: 5, weight: 1.0, index: 1 },
        Member { key: 5 << 40, weight: 1.0, index: 2 },
    ];
    let tree = Tree::new(twins);
    assert_eq!(tree.rank(3, 3).len(), 3);
}
