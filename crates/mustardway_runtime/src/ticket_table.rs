//! Who waits for what a gate decides about a ticket.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use mustardway_gate::admit::Refusal;
use mustardway_gate::{Gate, ticket};
use mustardway_types::answer::Answer;
use mustardway_types::packet::Header;
use mustardway_types::{instance, target};
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// How a ticket ended.
#[derive(Debug, Clone)]
pub enum End {
    /// The target answered.
    Done(Bytes),
    /// It was answered without the target.
    Answer(Answer),
    /// Its flow is not opened here; not run.
    TryNext(Refusal),
    /// Another instance may judge it; not run.
    Redirect(Option<instance::Id>),
}

/// A request on its way to a target.
#[derive(Clone)]
pub struct Job {
    /// Its gate.
    pub gate: Arc<Mutex<Gate>>,
    /// Target that it goes to.
    pub target: target::Id,
    /// Its header.
    pub header: Header,
    /// Its payload.
    pub payload: Bytes,
    /// Whether this instance is its ingress too.
    pub is_local: bool,
}

/// What is kept for a ticket.
#[derive(Default)]
struct Entry {
    job: Option<Job>,
    listeners: Vec<oneshot::Sender<End>>,
    abort: CancellationToken,
}

/// Tickets that have not ended.
#[derive(Default)]
pub struct Table {
    next_id: AtomicU64,
    entries: Mutex<HashMap<ticket::Id, Entry>>,
}

impl Table {
    /// A new ticket.
    pub fn next_id(&self) -> ticket::Id {
        ticket::Id(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Keeps `job` for `ticket` and listens for its end.
    pub fn register(&self, ticket: ticket::Id, job: Job) -> oneshot::Receiver<End> {
        let (sender, receiver) = oneshot::channel();
        let entry = Entry { job: Some(job), listeners: vec![sender], ..Entry::default() };
        self.entries.lock().insert(ticket, entry);
        receiver
    }

    /// Listens for the end of another's ticket; none where it has ended.
    pub fn join(&self, ticket: ticket::Id) -> Option<oneshot::Receiver<End>> {
        let mut entries = self.entries.lock();
        let entry = entries.get_mut(&ticket)?;
        let (sender, receiver) = oneshot::channel();
        entry.listeners.push(sender);
        Some(receiver)
    }

    /// Takes the job of `ticket` to run it, with its abort token.
    pub fn start(&self, ticket: ticket::Id) -> Option<(Job, CancellationToken)> {
        let mut entries = self.entries.lock();
        let entry = entries.get_mut(&ticket)?;
        Some((entry.job.take()?, entry.abort.clone()))
    }

    /// Aborts the call that runs for `ticket`.
    pub fn abort(&self, ticket: ticket::Id) {
        if let Some(entry) = self.entries.lock().get(&ticket) {
            entry.abort.cancel();
        }
    }

    /// Tells all listeners of `ticket` how it ended.
    pub fn end(&self, ticket: ticket::Id, end: &End) {
        let Some(entry) = self.entries.lock().remove(&ticket) else { return };
        for listener in entry.listeners {
            // A listener that has gone away needs no answer.
            let _ = listener.send(end.clone());
        }
    }

    /// Forgets `ticket`, which the gate has not taken.
    pub fn forget(&self, ticket: ticket::Id) {
        self.entries.lock().remove(&ticket);
    }

    /// Number of tickets.
    pub fn len(&self) -> usize {
        self.entries.lock().len()
    }

    /// Whether no ticket is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
