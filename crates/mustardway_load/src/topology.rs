//! The position of an instance in the tree of its failure domain, and the roots of the
//! other trees.

use std::collections::BTreeMap;

use mustardway_types::{domain, hash, instance};

/// Seed of the rank hash. All instances must use the same value.
const RANK_SEED: u64 = 0x6c6f_6164_0000_0003;
/// Maximum number of children of an instance. More would make the trees flatter and the
/// reports arrive sooner, for more bytes at each inner instance.
const FANOUT: usize = 4;

/// The peers of one instance in the trees over the live instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// The parent, or `None` for the root.
    pub parent: Option<instance::Id>,
    /// The children.
    pub children: Vec<instance::Id>,
    /// The roots of the other failure domains, if this instance is the root of its own.
    pub roots: Vec<instance::Id>,
    /// Number of live instances in the failure domain, including this one.
    pub members: usize,
    /// Number of hops to the root.
    pub depth: usize,
}

impl Topology {
    /// Creates the topology of `me`, which runs in failure domain `home`, from the `live`
    /// instances.
    pub fn new<'a>(
        me: &instance::Id,
        home: &domain::Name,
        live: impl IntoIterator<Item = (&'a instance::Id, &'a domain::Name)>,
    ) -> Self {
        let mut members = vec![(rank(me), me)];
        let mut roots: BTreeMap<&domain::Name, (u64, &instance::Id)> = BTreeMap::new();
        for (id, domain) in live {
            if id == me {
                continue;
            }
            let ranked = (rank(id), id);
            if domain == home {
                members.push(ranked);
                continue;
            }
            let root = roots.entry(domain).or_insert(ranked);
            *root = ranked.max(*root);
        }
        members.sort_unstable_by(|first, second| second.cmp(first));
        let position = members.iter().position(|(_, id)| *id == me).unwrap_or_default();
        let id_at = |position: usize| members.get(position).map(|(_, id)| (*id).clone());
        let first_child = position * FANOUT + 1;
        let parent = position.checked_sub(1).and_then(|before| id_at(before / FANOUT));
        let roots = match parent {
            None => roots.into_values().map(|(_, id)| id.clone()).collect(),
            Some(_) => Vec::new(),
        };
        Topology {
            parent,
            children: (first_child..first_child + FANOUT).filter_map(id_at).collect(),
            roots,
            members: members.len(),
            depth: depth(position),
        }
    }

    /// Returns whether this instance is the root of its failure domain.
    pub fn is_root(&self) -> bool {
        self.parent.is_none()
    }
}

/// Returns the number of hops from a position to the root.
fn depth(mut position: usize) -> usize {
    let mut depth = 0;
    while position > 0 {
        position = (position - 1) / FANOUT;
        depth += 1;
    }
    depth
}

fn rank(id: &instance::Id) -> u64 {
    hash::seeded(RANK_SEED, id.as_str().as_bytes())
}
