//! Configuration in force at the baseline.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use ini::{Ini, Properties};
use mustardway_types::hash;
use mustardway_wire::packet::FrontClient;
use parking_lot::Mutex;

use crate::fabric;
use crate::platform::state::Files;

/// Serving targets by service address.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct View {
    revision: u64,
    targets: BTreeMap<String, Vec<SocketAddr>>,
}

impl View {
    /// Parses a whole configuration; unknown or invalid parts are ignored.
    pub fn read(revision: u64, files: &Files) -> View {
        let sections = sections(files);
        let mut domains_out = BTreeSet::new();
        let mut addresses: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (name, properties) in &sections {
            if let Some(domain) = name.strip_prefix("domain ")
                && properties.get("state") == Some("out")
            {
                domains_out.insert(domain);
            }
            if let Some(service) = name.strip_prefix("service ") {
                let listed = properties.get("addresses").unwrap_or_default();
                addresses.insert(service, listed.split(',').map(str::trim).collect());
            }
        }
        let mut view = View { revision, targets: BTreeMap::new() };
        for (name, properties) in &sections {
            if !name.starts_with("target ") || properties.get("state") == Some("leaving") {
                continue;
            }
            if properties.get("domain").is_none_or(|domain| domains_out.contains(domain)) {
                continue;
            }
            let Some(Ok(endpoint)) = properties.get("endpoint").map(str::parse) else { continue };
            let service = properties.get("service").unwrap_or_default();
            for address in addresses.get(service).into_iter().flatten() {
                view.targets.entry((*address).to_owned()).or_default().push(endpoint);
            }
        }
        view
    }

    /// Returns the target of a flow: the first in rendezvous order.
    pub fn target(&self, address: &str, flow: u64) -> Option<SocketAddr> {
        let targets = self.targets.get(address)?;
        targets
            .iter()
            .copied()
            .max_by_key(|target| hash::seeded(flow, target.to_string().as_bytes()))
    }
}

/// Returns the sections of all files by name; a section of a later file replaces one
/// of the same name.
fn sections(files: &Files) -> BTreeMap<String, Properties> {
    let mut sections = BTreeMap::new();
    for text in files.values() {
        let Ok(ini) = Ini::load_from_str(text) else { continue };
        for (name, properties) in ini {
            if let Some(name) = name {
                sections.insert(name, properties);
            }
        }
    }
    sections
}

/// The view in force with a cached client for each target.
///
/// Lock order: the view before the clients; neither lock is held across an await.
#[derive(Default)]
pub struct Active {
    view: Mutex<Arc<View>>,
    clients: Mutex<BTreeMap<SocketAddr, FrontClient>>,
}

impl Active {
    /// Replaces the view in force with a later configuration.
    pub(super) fn replace(&self, revision: u64, files: &Files) {
        *self.view.lock() = Arc::new(View::read(revision, files));
    }

    /// Returns the revision in force; 0 before the first.
    pub(super) fn revision(&self) -> u64 {
        self.view.lock().revision
    }

    /// Returns a client for the target of a flow.
    pub(super) fn client(&self, address: &str, flow: u64) -> Option<FrontClient> {
        let view = Arc::clone(&self.view.lock());
        let target = view.target(address, flow)?;
        let mut clients = self.clients.lock();
        Some(clients.entry(target).or_insert_with(|| fabric::client(target)).clone())
    }
}
