//! Asks on their way to other instances, and witnesses.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};

use mustardway_peer::link;
use mustardway_types::instance;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::message::Outcome;

/// Broken links that are remembered.
const BROKEN_LINKS_MAX: usize = 256;

/// What became of an ask at another instance.
#[derive(Debug)]
pub enum Resolution {
    /// The owner replied.
    Outcome(Outcome),
    /// The owner was lost after the ask was sent.
    Lost,
}

/// An ask without a reply yet.
struct Pending {
    owner: instance::Id,
    link: Option<link::Number>,
    reply: oneshot::Sender<Resolution>,
}

/// Asks without a reply yet. One lock, held for no other.
#[derive(Default)]
pub struct Relay {
    next_id: AtomicU64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    pending: HashMap<u64, Pending>,
    witnesses: HashMap<u64, oneshot::Sender<()>>,
    broken_links: VecDeque<link::Number>,
}

impl Relay {
    /// A new id for an ask or a witness.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Waits for the reply to ask `id`.
    pub fn register_ask(&self, id: u64, owner: instance::Id) -> oneshot::Receiver<Resolution> {
        let (reply, receiver) = oneshot::channel();
        self.state.lock().pending.insert(id, Pending { owner, link: None, reply });
        receiver
    }

    /// Notes the link that ask `id` goes by; a link that broke meanwhile loses it.
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

    /// Takes the reply to ask `id`.
    pub fn complete(&self, id: u64, outcome: Outcome) {
        let Some(pending) = self.state.lock().pending.remove(&id) else { return };
        // An ingress that has given up needs no reply.
        let _ = pending.reply.send(Resolution::Outcome(outcome));
    }

    /// Stops waiting for ask `id`; whether it was still waited for.
    pub fn forget_ask(&self, id: u64) -> bool {
        self.state.lock().pending.remove(&id).is_some()
    }

    /// Loses all asks that went by `link`.
    pub fn fail_link(&self, link: link::Number) {
        let mut state = self.state.lock();
        state.broken_links.push_back(link);
        if state.broken_links.len() > BROKEN_LINKS_MAX {
            state.broken_links.pop_front();
        }
        state.fail_where(|pending| pending.link == Some(link));
    }

    /// Loses all asks to instances that are dead.
    pub fn fail_owner(&self, owner: &instance::Id) {
        self.state.lock().fail_where(|pending| pending.owner == *owner);
    }

    /// Waits for the acknowledgement of witness `id`.
    pub fn register_witness(&self, id: u64) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.state.lock().witnesses.insert(id, sender);
        receiver
    }

    /// Takes the acknowledgement of witness `id`.
    pub fn acknowledge_witness(&self, id: u64) {
        let Some(sender) = self.state.lock().witnesses.remove(&id) else { return };
        // A late acknowledgement changes nothing.
        let _ = sender.send(());
    }

    /// Stops waiting for witness `id`.
    pub fn forget_witness(&self, id: u64) {
        self.state.lock().witnesses.remove(&id);
    }
}

impl State {
    fn fail(&mut self, id: u64) {
        let Some(pending) = self.pending.remove(&id) else { return };
        // An ingress that has given up needs no reply.
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
