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
    pub(crate) fn alter_changes(
        self,
        changes: Vec<Change>,
        services: &[service::Name],
    ) -> Vec<Change> {
        changes.into_iter().filter_map(|change| self.alter_change(change, services)).collect()
    }

    fn alter_change(self, change: Change, services: &[service::Name]) -> Option<Change> {
        match (self, change) {
            (Defect::KeepsLeaving, Change::Put(Item::Target(registration))) => {
                Some(Change::Put(Item::Target(Registration { leaving: false, ..registration })))
            }
            (Defect::KeepsLeaving, Change::Removed(Key::Target(_)))
            | (Defect::KeepsEvacuated, Change::Put(Item::Evacuated(_))) => None,
            (Defect::IgnoresCold, Change::Put(Item::Configuration(published))) => {
                let mut configuration = Configuration::clone(&published);
                for service in &mut configuration.services {
                    service.cold_rate = None;
                }
                Some(Change::Put(Item::Configuration(Arc::new(configuration))))
            }
            (Defect::KeepsConfiguration, Change::Put(Item::Configuration(published))) => {
                (published.version == 1).then(|| Change::Put(Item::Configuration(published)))
            }
            (Defect::MixesServices, Change::Put(Item::Target(registration))) => {
                let service = services.iter().find(|name| **name != registration.service)?.clone();
                Some(Change::Put(Item::Target(Registration { service, ..registration })))
            }
            (_, change) => Some(change),
        }
    }

    /// What an instance takes for the outcome of a probe.
    pub(crate) fn alter_outcome(self, outcome: Outcome) -> Outcome {
        if self == Defect::MisreadsProbes { Outcome::Replaced } else { outcome }
    }
}
