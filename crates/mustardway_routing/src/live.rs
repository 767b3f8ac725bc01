//! The live instances by failure domain, as membership sees them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mustardway_types::{domain, hash, instance};

/// Seed of the hash of instance ids.
const INSTANCE_SEED: u64 = 0x1157;

/// One live instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Its name.
    pub id: instance::Id,
    /// Where other instances reach it.
    pub peer: SocketAddr,
    /// It is stopping, and still owns what it has not handed over.
    pub leaving: bool,
    /// Hash of its name.
    pub(crate) key: u64,
}

impl Instance {
    /// A live instance.
    pub fn new(id: instance::Id, peer: SocketAddr, leaving: bool) -> Self {
        let key = hash::seeded(INSTANCE_SEED, id.as_str().as_bytes());
        Instance { id, peer, leaving, key }
    }
}

/// All live instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Instances {
    domains: BTreeMap<domain::Name, Vec<Instance>>,
}

impl Instances {
    /// Adds an instance that lives in `domain`.
    pub fn insert(&mut self, domain: domain::Name, instance: Instance) {
        self.domains.entry(domain).or_default().push(instance);
    }

    /// Instances that live in `domain`.
    pub fn domain(&self, domain: &domain::Name) -> &[Instance] {
        self.domains.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Failure domains with live instances, in name order.
    pub fn domains(&self) -> impl Iterator<Item = (&domain::Name, &[Instance])> {
        self.domains.iter().map(|(name, instances)| (name, instances.as_slice()))
    }

    /// The live instance `id`.
    pub fn get(&self, id: &instance::Id) -> Option<&Instance> {
        self.domains.values().flatten().find(|instance| instance.id == *id)
    }

    /// Number of live instances.
    pub fn len(&self) -> usize {
        self.domains.values().map(Vec::len).sum()
    }

    /// Whether no instance lives.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
