//! Weighted rendezvous hashing in logarithmic time.
//!
//! The members are the leaves of a trie over the hashes of their keys. At each
//! level a pick draws an exponential variate for every child, with the sum of the
//! weights below the child as the rate, and follows the smallest. A member is
//! therefore picked in proportion to its weight. A node has at most 64 children,
//! so a pick costs at most 64 draws per level.
//!
//! When a member joins, leaves or changes its weight, the flows that it gains or
//! loses move. For each level below the root, at most as many flows again move
//! among the members that share its branch. In services with a dozen targets
//! members rarely share a branch, and then no other flows move.

use mustardway_types::hash;

/// Number of key bits that select the child at each level.
const LEVEL_BITS: u32 = 6;
/// Number of levels. Members whose keys agree in all levels are children of one
/// node below the last level.
const LEVELS: u32 = 6;
/// Maximum number of picks per requested member before [`Tree::rank`] completes
/// the list in key order.
const PICKS_PER_MEMBER_MAX: u64 = 8;

/// A member of a tree.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Member {
    /// Hash of the member's key.
    pub key: u64,
    /// Share of the flows relative to the other members. It must be greater than
    /// zero.
    pub weight: f64,
    /// Position of the member in the caller's list.
    pub index: u32,
}

/// A node of the trie.
///
/// The key depends on the node's prefix alone, so that a member that joins below
/// the node changes only its weight.
#[derive(Debug)]
struct Node {
    key: u64,
    weight: f64,
    content: Content,
}

/// Content of a node: the index of one member, or child nodes.
#[derive(Debug)]
enum Content {
    Leaf(u32),
    Branch(Vec<Node>),
}

/// A tree of weighted members to pick from.
#[derive(Debug)]
pub struct Tree {
    root: Option<Node>,
    members: Vec<Member>,
}

impl Tree {
    /// Creates a tree over `members`. Their order does not affect picks.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_by_key(|member| (member.key, member.index));
        let root = (!members.is_empty()).then(|| build(&members, 0, 0));
        Tree { root, members }
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the index of the member that `flow` picks in draw number `draw`.
    pub fn pick(&self, flow: u64, draw: u64) -> Option<u32> {
        let mut node = self.root.as_ref()?;
        let seed = hash::mix(flow, draw);
        loop {
            match &node.content {
                Content::Leaf(index) => return Some(*index),
                Content::Branch(children) => node = select_child(children, seed),
            }
        }
    }

    /// Returns the first `wanted` distinct members for `flow`, best first.
    ///
    /// The list holds every member if the tree has at most `wanted` members.
    pub fn rank(&self, flow: u64, wanted: usize) -> Vec<u32> {
        let wanted = wanted.min(self.members.len());
        let mut ranked = Vec::with_capacity(wanted);
        for draw in 0..wanted as u64 * PICKS_PER_MEMBER_MAX {
            if ranked.len() == wanted {
                return ranked;
            }
            let Some(index) = self.pick(flow, draw) else { break };
            if !ranked.contains(&index) {
                ranked.push(index);
            }
        }
        self.fill(&mut ranked, wanted);
        ranked
    }

    /// Completes `ranked` up to `wanted` members in key order.
    fn fill(&self, ranked: &mut Vec<u32>, wanted: usize) {
        for member in &self.members {
            if ranked.len() == wanted {
                return;
            }
            if !ranked.contains(&member.index) {
                ranked.push(member.index);
            }
        }
    }
}

/// Returns the child with the smallest exponential variate, whose rate is the
/// child's weight.
fn select_child(children: &[Node], seed: u64) -> &Node {
    let mut best = &children[0];
    let mut best_time = f64::INFINITY;
    for child in children {
        let time = -hash::unit(hash::mix(seed, child.key)).ln() / child.weight;
        if time < best_time {
            best = child;
            best_time = time;
        }
    }
    best
}

/// Builds the node over `members`, whose keys agree in all levels before `level`.
fn build(members: &[Member], level: u32, key: u64) -> Node {
    let weight = members.iter().map(|member| member.weight).sum();
    if let [member] = members {
        return Node { key, weight, content: Content::Leaf(member.index) };
    }
    if level == LEVELS {
        return Node { key, weight, content: Content::Branch(leaves(members)) };
    }
    let shift = 64 - LEVEL_BITS * (level + 1);
    let mut children = Vec::new();
    for group in members.chunk_by(|a, b| a.key >> shift == b.key >> shift) {
        let child_key = hash::mix(u64::from(level) + 1, group[0].key >> shift);
        children.push(build(group, level + 1, child_key));
    }
    if children.len() == 1 {
        let content = children.remove(0).content;
        return Node { key, weight, content };
    }
    Node { key, weight, content: Content::Branch(children) }
}

/// Returns the leaves of members whose keys agree in all levels.
fn leaves(members: &[Member]) -> Vec<Node> {
    let leaf = |member: &Member| Node {
        key: member.key,
        weight: member.weight,
        content: Content::Leaf(member.index),
    };
    members.iter().map(leaf).collect()
}
