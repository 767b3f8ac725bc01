//! What the platform publishes.
//!
//! One lock guards all of it; nothing else is locked while it is held.

use std::collections::BTreeMap;
use std::net::IpAddr;

use parking_lot::Mutex;
use tokio::sync::watch;

use super::fault::Faults;
use super::message::{Calls, Configuration, Instance, Instances};

/// Files by name.
pub type Files = BTreeMap<String, String>;

/// What is published, with its history.
#[derive(Debug)]
pub struct State {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Every revision so far: index 0 is revision 1.
    history: Vec<Files>,
    instances: Vec<Instance>,
    visible_instances: Vec<Instance>,
    faults: Faults,
    calls: Calls,
}

impl Default for State {
    fn default() -> Self {
        State { inner: Mutex::default(), changed: watch::Sender::new(0) }
    }
}

impl State {
    /// Publishes `files` in place of all before; no change gives no revision.
    pub fn publish(&self, files: Files) {
        {
            let mut inner = self.inner.lock();
            if inner.history.last() == Some(&files) {
                return;
            }
            inner.history.push(files);
        }
        self.notify();
    }

    /// Adds or replaces one file.
    pub fn put(&self, name: &str, text: &str) {
        let mut files = self.files();
        files.insert(name.to_owned(), text.to_owned());
        self.publish(files);
    }

    /// Removes one file.
    pub fn remove(&self, name: &str) {
        let mut files = self.files();
        files.remove(name);
        self.publish(files);
    }

    /// Replaces the list of instances; readers see it unless the list lags.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        let mut inner = self.inner.lock();
        if !inner.faults.list_lags {
            inner.visible_instances.clone_from(&instances);
        }
        inner.instances = instances;
    }

    /// Sets the ways to fail.
    pub(super) fn set_faults(&self, faults: Faults) {
        {
            let mut inner = self.inner.lock();
            if !faults.list_lags {
                inner.visible_instances = inner.instances.clone();
            }
            inner.faults = faults;
        }
        self.notify();
    }

    /// Counts one read of the configuration.
    pub(super) fn count_configuration(&self) {
        self.inner.lock().calls.configuration += 1;
    }

    /// Counts one read of the instance list.
    pub(super) fn count_instances(&self) {
        self.inner.lock().calls.instances += 1;
    }

    /// The files of the latest revision, whatever is served.
    pub fn files(&self) -> Files {
        self.inner.lock().history.last().cloned().unwrap_or_default()
    }

    /// The latest revision, whatever is served.
    pub fn revision(&self) -> u64 {
        self.inner.lock().history.len() as u64
    }

    /// Calls since the start.
    pub fn calls(&self) -> Calls {
        self.inner.lock().calls
    }

    /// The ways to fail.
    pub fn faults(&self) -> Faults {
        self.inner.lock().faults.clone()
    }

    /// Whether calls from `reader` get no answer.
    pub(super) fn is_cut(&self, reader: IpAddr) -> bool {
        self.inner.lock().faults.cut.contains(&reader)
    }

    /// The instance list as readers see it.
    pub fn instances(&self) -> Instances {
        Instances { instances: self.inner.lock().visible_instances.clone() }
    }

    /// The revision that is served, with its files where it is not `after`.
    /// Going back is served to every reader that has another revision.
    pub(super) fn configuration(&self, after: u64) -> Configuration {
        let inner = self.inner.lock();
        let latest = inner.history.len() as u64;
        let served = inner.faults.stale.map_or(latest, |stale| stale.min(latest));
        let revision = served.saturating_sub(u64::from(inner.faults.back));
        let is_sent = revision > after || (inner.faults.back && revision != after);
        if !is_sent || revision == 0 {
            return Configuration { revision, files: None };
        }
        let files = inner.history.get(revision as usize - 1).cloned();
        Configuration { revision, files }
    }

    /// Follows changes.
    pub(super) fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}
