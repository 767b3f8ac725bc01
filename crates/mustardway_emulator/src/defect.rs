//! Fault injection into the instances, to show that the checks of the rules detect the
//! violations.

use std::sync::Arc;

use mustardway_flow::health::Outcome;
use mustardway_mirror::publication::{Change, Configuration, Item, Key, Registration};
use mustardway_types::service;

/// A fault that is injected into every instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Defect {
    /// No fault.
    #[default]
    None,
    /// Leaving targets still get new flows.
    KeepsLeaving,
    /// Evacuated failure domains still get new flows.
    KeepsEvacuated,
    /// The rate limits of cold targets are ignored.
    IgnoresCold,
    /// The first configuration stays in force; later ones are ignored.
    KeepsConfiguration,
    /// Targets are assigned to the wrong service.
    MixesServices,
    /// Every probe reports that another target answers at the address.
    MisreadsProbes,
    /// The silence of a target counts even if the instance itself did not run.
    TrustsSilence,
}

impl Defect {
    /// Returns the published changes as a defective instance sees them.
    pub(crate) fn alter_changes(
        self,
        changes: Vec<Change>,
        services: &[service::Name],
    ) -> Vec<Change> {
        changes.into_iter().filter_map(|change| self.alter_change(change, services)).collect()
    }

    /// Returns one published change as a defective instance sees it, or `None` if the
    /// instance misses it.
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

    /// Returns the outcome of a probe as a defective instance sees it.
    pub(crate) fn alter_outcome(self, outcome: Outcome) -> Outcome {
        if self == Defect::MisreadsProbes { Outcome::Replaced } else { outcome }
    }
}
