//! Weighted rendezvous hashing in logarithmic time.
//!
//! Members sit in a trie by the hash of their key. At each level a flow races
//! the children against each other, each with the sum of its members' weights,
//! so a member wins with the share of its weight. A node has at most 64
//! children, so a pick costs at most 64 draws a level.
//!
//! A member that joins, leaves or changes its weight moves the flows that it
//! gains or loses, and for each level below the root at most as many again
//! among the members that share its branch. In services of a dozen targets
//! members seldom share a branch, and then nothing else moves.

use mustardway_types::hash;

/// Bits of the key's hash that choose the child at each level.
const LEVEL_BITS: u32 = 6;
/// Levels before members with equal leading bits share a leaf.
const LEVELS: u32 = 6;
/// Draws for each wanted candidate before a rank gives up on new ones.
const DRAWS_PER_CANDIDATE: u64 = 8;

/// One member of a tree.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Member {
    /// Hash of the member's key.
    pub key: u64,
    /// Share of flows against the other members, above zero.
    pub weight: f64,
    /// Where the member stands in its owner's list.
    pub index: u32,
}

/// One place in the trie. Its key is that of its prefix alone, so that a
/// member that joins under it changes the weight and nothing else.
#[derive(Debug)]
struct Node {
    key: u64,
    weight: f64,
    content: Content,
}

/// What stands at a place.
#[derive(Debug)]
enum Content {
    Leaf(u32),
    Branch(Vec<Node>),
}

/// Members to pick from.
#[derive(Debug)]
pub struct Tree {
    root: Option<Node>,
    members: Vec<Member>,
}

impl Tree {
    /// A tree over `members`; their order does not matter to picks.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_by_key(|member| (member.key, member.index));
        let root = (!members.is_empty()).then(|| build(&members, 0, 0));
        Tree { root, members }
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The member that wins `flow` in draw `draw`.
    pub fn pick(&self, flow: u64, draw: u64) -> Option<u32> {
        let mut node = self.root.as_ref()?;
        let seed = hash::mix(flow, draw);
        loop {
            match &node.content {
                Content::Leaf(index) => return Some(*index),
                Content::Branch(children) => node = race(children, seed),
            }
        }
    }

    /// The first `wanted` distinct members for `flow`, best first.
    ///
    /// The list is whole where the tree has at most `wanted` members.
    pub fn rank(&self, flow: u64, wanted: usize) -> Vec<u32> {
        let wanted = wanted.min(self.members.len());
        let mut ranked = Vec::with_capacity(wanted);
        for draw in 0..wanted as u64 * DRAWS_PER_CANDIDATE {
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

    /// Completes `ranked` in key order.
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

/// The child that wins: the least exponential draw, each with its weight as rate.
fn race(children: &[Node], seed: u64) -> &Node {
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

/// Builds the node over `members`, which agree in all levels before `level`.
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

/// Leaves of members whose keys agree in all levels.
fn leaves(members: &[Member]) -> Vec<Node> {
    let leaf = |member: &Member| Node {
        key: member.key,
        weight: member.weight,
        content: Content::Leaf(member.index),
    };
    members.iter().map(leaf).collect()
}
