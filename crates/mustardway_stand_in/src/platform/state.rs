//! State that the platform publishes.
//!
//! One lock guards the whole state; no other lock is taken while it is held.

use std::collections::BTreeMap;
use std::net::IpAddr;

use parking_lot::Mutex;
use tokio::sync::watch;

use super::fault::Faults;
use super::message::{Calls, Configuration, Instance, Instances};

/// Contents of configuration files by name.
pub type Files = BTreeMap<String, String>;

/// Published configuration with all revisions, instance list and injected faults.
#[derive(Debug)]
pub struct State {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Every revision so far; index 0 is revision 1.
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
    /// Publishes `files` as a new revision that replaces all earlier files; unchanged
    /// files create no revision.
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

    /// Adds or replaces one file and publishes the result.
    pub fn put(&self, name: &str, text: &str) {
        let mut files = self.files();
        files.insert(name.to_owned(), text.to_owned());
        self.publish(files);
    }

    /// Removes one file and publishes the result.
    pub fn remove(&self, name: &str) {
        let mut files = self.files();
        files.remove(name);
        self.publish(files);
    }

    /// Replaces the instance list; readers see the change unless [`Faults::list_lags`] is set.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        let mut inner = self.inner.lock();
        if !inner.faults.list_lags {
            inner.visible_instances.clone_from(&instances);
        }
        inner.instances = instances;
    }

    /// Sets the injected faults.
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

    /// Returns the files of the latest revision, regardless of injected faults.
    pub fn files(&self) -> Files {
        self.inner.lock().history.last().cloned().unwrap_or_default()
    }

    /// Returns the latest revision, regardless of injected faults.
    pub fn revision(&self) -> u64 {
        self.inner.lock().history.len() as u64
    }

    /// Returns the number of calls since the start.
    pub fn calls(&self) -> Calls {
        self.inner.lock().calls
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> Faults {
        self.inner.lock().faults.clone()
    }

    /// Returns whether calls from `reader` get no answer.
    pub(super) fn is_cut(&self, reader: IpAddr) -> bool {
        self.inner.lock().faults.cut.contains(&reader)
    }

    /// Returns the instance list that readers see.
    pub fn instances(&self) -> Instances {
        Instances { instances: self.inner.lock().visible_instances.clone() }
    }

    /// Returns the served revision, with its files when it is later than `after`.
    /// With [`Faults::back`] set, every reader that has another revision gets the files.
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

    /// Returns a receiver that is notified of every change.
    pub(super) fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}
