//! Instances with a fault put in on purpose, to show that the judge notices.

use std::sync::Arc;

use mustardway_flow::health::Outcome;
use mustardway_mirror::publication::{Change, Configuration, Item, Key, Registration};
use mustardway_types::service;

/// A fault of every instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Defect {
    /// None.
    #[default]
    None,
    /// Targets that leave are used on.
    KeepsLeaving,
    /// Evacuated failure domains are used on.
    KeepsEvacuated,
    /// Limits of cold targets are not known.
    IgnoresCold,
    /// The first configuration is used for ever.
    KeepsConfiguration,
    /// Targets of one service are taken for another's.
    MixesServices,
    /// Probes find that another target answers.
    MisreadsProbes,
}

impl Defect {
    /// What an instance takes for the changes that were published.
    pub(crate) fn changes(self, changes: Vec<Change>, services: &[service::Name]) -> Vec<Change> {
        changes.into_iter().filter_map(|change| self.change(change, services)).collect()
    }

    fn change(self, change: Change, services: &[service::Name]) -> Option<Change> {
        match (self, change) {
            (Defect::KeepsLeaving, Change::Put(Item::Target(known))) => {
                Some(Change::Put(Item::Target(Registration { leaving: false, ..known })))
            }
            (Defect::KeepsLeaving, Change::Removed(Key::Target(_)))
            | (Defect::KeepsEvacuated, Change::Put(Item::Evacuated(_))) => None,
            (Defect::IgnoresCold, Change::Put(Item::Configuration(known))) => {
                let mut changed = Configuration::clone(&known);
                for service in &mut changed.services {
                    service.cold_rate = None;
                }
                Some(Change::Put(Item::Configuration(Arc::new(changed))))
            }
            (Defect::KeepsConfiguration, Change::Put(Item::Configuration(known))) => {
                (known.version == 1).then(|| Change::Put(Item::Configuration(known)))
            }
            (Defect::MixesServices, Change::Put(Item::Target(known))) => {
                let service = services.iter().find(|name| **name != known.service)?.clone();
                Some(Change::Put(Item::Target(Registration { service, ..known })))
            }
            (_, change) => Some(change),
        }
    }

    /// What an instance takes for the outcome of a probe.
    pub(crate) fn outcome(self, outcome: Outcome) -> Outcome {
        if self == Defect::MisreadsProbes { Outcome::Replaced } else { outcome }
    }
}
