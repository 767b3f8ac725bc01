//! The live instances by failure domain, as reported by membership.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mustardway_types::{domain, hash, instance};

/// Seed of the hash of instance ids. All instances must use the same value.
const INSTANCE_SEED: u64 = 0x1157;

/// A live instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Id of the instance.
    pub id: instance::Id,
    /// Address at which other instances reach it.
    pub peer: SocketAddr,
    /// Whether the instance is stopping. It still owns the targets that it has not
    /// handed over.
    pub leaving: bool,
    /// Hash of the instance's id.
    pub(crate) key: u64,
}

impl Instance {
    /// Creates a live instance.
    pub fn new(id: instance::Id, peer: SocketAddr, leaving: bool) -> Self {
        let key = hash::seeded(INSTANCE_SEED, id.as_str().as_bytes());
        Instance { id, peer, leaving, key }
    }
}

/// All live instances by failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Instances {
    domains: BTreeMap<domain::Name, Vec<Instance>>,
}

impl Instances {
    /// Adds an instance that runs in `domain`.
    pub fn insert(&mut self, domain: domain::Name, instance: Instance) {
        self.domains.entry(domain).or_default().push(instance);
    }

    /// Returns the instances in `domain`.
    pub fn domain(&self, domain: &domain::Name) -> &[Instance] {
        self.domains.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Returns the failure domains that have live instances, in name order.
    pub fn domains(&self) -> impl Iterator<Item = (&domain::Name, &[Instance])> {
        self.domains.iter().map(|(name, instances)| (name, instances.as_slice()))
    }

    /// Returns the live instance `id`.
    pub fn get(&self, id: &instance::Id) -> Option<&Instance> {
        self.domains.values().flatten().find(|instance| instance.id == *id)
    }

    /// Returns the number of live instances.
    pub fn len(&self) -> usize {
        self.domains.values().map(Vec::len).sum()
    }

    /// Returns whether there are no live instances.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
