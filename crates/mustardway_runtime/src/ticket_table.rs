//! The tickets of requests that gates have admitted, with the tasks that wait for their end.

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
    /// The target answered with this payload.
    Done(Bytes),
    /// The request was answered without a reply of the target.
    Answer(Answer),
    /// The gate did not place the flow, so the request did not run.
    TryNext(Refusal),
    /// Another instance may own the target. The request did not run.
    Redirect(Option<instance::Id>),
}

/// A request on its way to a target.
#[derive(Clone)]
pub struct Job {
    /// Gate of the target.
    pub gate: Arc<Mutex<Gate>>,
    /// Target that runs the request.
    pub target: target::Id,
    /// Header of the packet.
    pub header: Header,
    /// Payload of the packet.
    pub payload: Bytes,
    /// Whether this instance is also the ingress of the request.
    pub is_local: bool,
}

/// The state of a ticket. `job` is taken when the request starts.
#[derive(Default)]
struct Entry {
    job: Option<Job>,
    listeners: Vec<oneshot::Sender<End>>,
    abort: CancellationToken,
}

/// The tickets that have not ended.
#[derive(Default)]
pub struct Table {
    next_id: AtomicU64,
    entries: Mutex<HashMap<ticket::Id, Entry>>,
}

impl Table {
    /// Returns a new ticket id.
    pub fn next_id(&self) -> ticket::Id {
        ticket::Id(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Stores `job` under `ticket` and returns the receiver of its end.
    pub fn register(&self, ticket: ticket::Id, job: Job) -> oneshot::Receiver<End> {
        let (sender, receiver) = oneshot::channel();
        let entry = Entry { job: Some(job), listeners: vec![sender], ..Entry::default() };
        self.entries.lock().insert(ticket, entry);
        receiver
    }

    /// Returns another receiver of the end of `ticket`, or `None` if the ticket has ended. Copies
    /// of the same request share one ticket in this way.
    pub fn join(&self, ticket: ticket::Id) -> Option<oneshot::Receiver<End>> {
        let mut entries = self.entries.lock();
        let entry = entries.get_mut(&ticket)?;
        let (sender, receiver) = oneshot::channel();
        entry.listeners.push(sender);
        Some(receiver)
    }

    /// Takes the job of `ticket` to run it, with the token that aborts it. Returns `None` if it was
    /// taken before or the ticket has ended.
    pub fn start(&self, ticket: ticket::Id) -> Option<(Job, CancellationToken)> {
        let mut entries = self.entries.lock();
        let entry = entries.get_mut(&ticket)?;
        Some((entry.job.take()?, entry.abort.clone()))
    }

    /// Aborts the call to the target that runs for `ticket`.
    pub fn abort(&self, ticket: ticket::Id) {
        if let Some(entry) = self.entries.lock().get(&ticket) {
            entry.abort.cancel();
        }
    }

    /// Removes `ticket` and sends its end to all receivers.
    pub fn end(&self, ticket: ticket::Id, end: &End) {
        let Some(entry) = self.entries.lock().remove(&ticket) else { return };
        for listener in entry.listeners {
            // The receiver is gone if its task was cancelled.
            let _ = listener.send(end.clone());
        }
    }

    /// Removes `ticket`, which the gate did not admit.
    pub fn forget(&self, ticket: ticket::Id) {
        self.entries.lock().remove(&ticket);
    }

    /// Returns the number of open tickets.
    pub fn len(&self) -> usize {
        self.entries.lock().len()
    }

    /// Returns whether no ticket is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
