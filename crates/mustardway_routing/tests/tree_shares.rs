//! Shares, stability and bounds of weighted rendezvous hashing in a tree.

#![allow(clippy::unwrap_used)]

use mustardway_routing::tree::{Member, Tree};
use mustardway_types::hash;

const FLOWS: u64 = 40_000;

fn member(index: u32, weight: f64) -> Member {
    Member { key: hash::seeded(7, &index.to_le_bytes()), weight, index }
}

fn equal_weights(targets: u32) -> Vec<Member> {
    (0..targets).map(|index| member(index, 1.0)).collect()
}

fn picks(tree: &Tree) -> Vec<u32> {
    (0..FLOWS).map(|flow| tree.pick(hash::mix(flow, 99), 0).unwrap()).collect()
}

#[test]
fn empty_tree_picks_nothing() {
    let tree = Tree::new(Vec::new());
    assert_eq!(tree.pick(1, 0), None);
    assert!(tree.rank(1, 3).is_empty());
}

#[test]
fn shares_follow_weights() {
    let mut members = equal_weights(14);
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

/// Returns the number of flows that moved between members other than `changed`,
/// and the number of flows that `changed` gained or lost.
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

/// Number of levels below the root at which several of 40,000 members can share a
/// branch.
const LOWER_LEVELS: u64 = 2;

#[test]
fn joining_member_moves_few_other_flows() {
    for targets in [13, 64, 65, 500] {
        let (before, after) =
            (Tree::new(equal_weights(targets)), Tree::new(equal_weights(targets + 1)));
        let (others, own) = moved(&before, &after, targets);
        assert!(own > 0);
        assert!(
            others <= LOWER_LEVELS * own,
            "{others} other flows moved beside {own} at {targets} targets"
        );
    }
}

#[test]
fn leaving_member_moves_few_other_flows() {
    let mut rest = equal_weights(40);
    rest.remove(11);
    let (others, own) = moved(&Tree::new(equal_weights(40)), &Tree::new(rest), 11);
    assert!(own > 0);
    assert!(others <= LOWER_LEVELS * own, "{others} other flows moved beside {own}");
}

#[test]
fn members_in_separate_branches_move_no_other_flows() {
    let separate = |targets: u64| -> Vec<Member> {
        let member = |index| Member { key: index << 58, weight: 1.0, index: index as u32 };
        (0..targets).map(member).collect()
    };
    let (others, own) = moved(&Tree::new(separate(14)), &Tree::new(separate(15)), 14);
    assert!(own > 0);
    assert_eq!(others, 0);
}

#[test]
fn rank_holds_every_member_once() {
    let tree = Tree::new(equal_weights(14));
    for flow in 0..500 {
        let mut ranked = tree.rank(flow, 20);
        assert_eq!(Some(ranked[0]), tree.pick(flow, 0));
        ranked.sort_unstable();
        assert_eq!(ranked, (0..14).collect::<Vec<u32>>());
    }
}

#[test]
fn member_order_does_not_affect_picks() {
    let mut reversed = equal_weights(100);
    reversed.reverse();
    assert_eq!(picks(&Tree::new(equal_weights(100))), picks(&Tree::new(reversed)));
}

#[test]
fn members_with_equal_keys_are_ranked() {
    let members = vec![
        Member { key: 5, weight: 1.0, index: 0 },
        Member { key: 5, weight: 1.0, index: 1 },
        Member { key: 5 << 40, weight: 1.0, index: 2 },
    ];
    let tree = Tree::new(members);
    assert_eq!(tree.rank(3, 3).len(), 3);
}
