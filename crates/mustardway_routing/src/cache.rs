//! The bounded cache of flows that an ingress has forwarded.
//!
//! The cache has two generations. A flow that is used moves to the young
//! generation. When the young generation is full it becomes the old one, and the
//! previous old generation is dropped. A flow that is used at least once while
//! the young generation fills up is never evicted.

use std::collections::HashMap;

use mustardway_types::{flow, target};

/// A bounded map from flows to their targets.
#[derive(Debug)]
pub struct Cache {
    young: HashMap<flow::Id, target::Id>,
    old: HashMap<flow::Id, target::Id>,
    generation_max: usize,
}

impl Cache {
    /// Creates a cache of at most `flows` flows.
    pub fn new(flows: usize) -> Self {
        let generation_max = (flows / 2).max(1);
        Cache { young: HashMap::new(), old: HashMap::new(), generation_max }
    }

    /// Returns the target of `flow` and moves the flow to the young generation.
    pub fn touch(&mut self, flow: flow::Id) -> Option<target::Id> {
        if let Some(target) = self.young.get(&flow) {
            return Some(target.clone());
        }
        let target = self.old.remove(&flow)?;
        self.insert(flow, target.clone());
        Some(target)
    }

    /// Returns the target of `flow`.
    pub fn get(&self, flow: flow::Id) -> Option<&target::Id> {
        self.young.get(&flow).or_else(|| self.old.get(&flow))
    }

    /// Sets the target of `flow`.
    pub fn insert(&mut self, flow: flow::Id, target: target::Id) {
        if self.young.len() >= self.generation_max && !self.young.contains_key(&flow) {
            self.old = std::mem::take(&mut self.young);
        }
        self.old.remove(&flow);
        self.young.insert(flow, target);
    }

    /// Removes `flow`.
    pub fn remove(&mut self, flow: flow::Id) {
        self.young.remove(&flow);
        self.old.remove(&flow);
    }

    /// Returns all flows with their targets.
    pub fn iter(&self) -> impl Iterator<Item = (flow::Id, &target::Id)> {
        self.young.iter().chain(&self.old).map(|(flow, target)| (*flow, target))
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
