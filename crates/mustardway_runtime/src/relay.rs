//! Asks and witness messages that were sent to other instances and wait for a reply.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};

use mustardway_peer::link;
use mustardway_types::instance;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::message::Outcome;

/// Most broken links that are remembered. A link can break before the ask sent on it is
/// assigned to it, and that ask must fail too.
const BROKEN_LINKS_MAX: usize = 256;

/// How an ask to another instance ended.
#[derive(Debug)]
pub enum Resolution {
    /// The owner replied.
    Outcome(Outcome),
    /// The link broke or the owner died after the ask was sent.
    Lost,
}

/// An ask that waits for its reply. `link` is unset until the ask is sent.
struct Pending {
    owner: instance::Id,
    link: Option<link::Number>,
    reply: oneshot::Sender<Resolution>,
}

/// The asks and witness messages that wait for a reply. Its single lock is a leaf lock: no other
/// lock is taken while it is held.
#[derive(Default)]
pub struct Relay {
    next_id: AtomicU64,
    state: Mutex<State>,
}

/// The state of a [`Relay`]. `broken_links` holds the most recently broken links, oldest first.
#[derive(Default)]
struct State {
    pending: HashMap<u64, Pending>,
    witnesses: HashMap<u64, oneshot::Sender<()>>,
    broken_links: VecDeque<link::Number>,
}

impl Relay {
    /// Returns a new id for an ask or a witness message.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Registers ask `id` to `owner` and returns the receiver of its resolution.
    pub fn register_ask(&self, id: u64, owner: instance::Id) -> oneshot::Receiver<Resolution> {
        let (reply, receiver) = oneshot::channel();
        self.state.lock().pending.insert(id, Pending { owner, link: None, reply });
        receiver
    }

    /// Records the link on which ask `id` was sent. The ask is lost if the link has already broken.
    pub fn set_link(&self, id: u64, link: link::Number) {
        let mut state = self.state.lock();
        if state.broken_links.contains(&link) {
            state.fail(id);
            return;
        }
        if let Some(pending) = state.pending.get_mut(&id) {
            pending.link = Some(link);
        }
    }

    /// Resolves ask `id` with the outcome from its reply.
    pub fn complete(&self, id: u64, outcome: Outcome) {
        let Some(pending) = self.state.lock().pending.remove(&id) else { return };
        // The receiver is gone if the ingress no longer waits.
        let _ = pending.reply.send(Resolution::Outcome(outcome));
    }

    /// Removes ask `id`. Returns whether it was still waiting for its reply.
    pub fn forget_ask(&self, id: u64) -> bool {
        self.state.lock().pending.remove(&id).is_some()
    }

    /// Resolves all asks sent on `link` as lost, because the link broke.
    pub fn fail_link(&self, link: link::Number) {
        let mut state = self.state.lock();
        state.broken_links.push_back(link);
        if state.broken_links.len() > BROKEN_LINKS_MAX {
            state.broken_links.pop_front();
        }
        state.fail_where(|pending| pending.link == Some(link));
    }

    /// Resolves all asks to `owner` as lost, because the instance is dead.
    pub fn fail_owner(&self, owner: &instance::Id) {
        self.state.lock().fail_where(|pending| pending.owner == *owner);
    }

    /// Registers witness message `id` and returns the receiver of its acknowledgement.
    pub fn register_witness(&self, id: u64) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.state.lock().witnesses.insert(id, sender);
        receiver
    }

    /// Completes witness message `id`, which was acknowledged.
    pub fn acknowledge_witness(&self, id: u64) {
        let Some(sender) = self.state.lock().witnesses.remove(&id) else { return };
        // The receiver is gone if the acknowledgement came after the timeout.
        let _ = sender.send(());
    }

    /// Removes witness message `id`.
    pub fn forget_witness(&self, id: u64) {
        self.state.lock().witnesses.remove(&id);
    }
}

impl State {
    fn fail(&mut self, id: u64) {
        let Some(pending) = self.pending.remove(&id) else { return };
        // The receiver is gone if the ingress no longer waits.
        let _ = pending.reply.send(Resolution::Lost);
    }

    fn fail_where(&mut self, lost: impl Fn(&Pending) -> bool) {
        let lost = |(id, pending): (&u64, &Pending)| lost(pending).then_some(*id);
        let ids: Vec<u64> = self.pending.iter().filter_map(lost).collect();
        for id in ids {
            self.fail(id);
        }
    }
}
