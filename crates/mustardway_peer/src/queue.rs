//! The send queue of one link: control frames first, each priority class bounded in
//! bytes.

use std::collections::VecDeque;

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::frame::Frame;
use crate::send::{Error, Priority};
use crate::transmission::Notifier;

/// Memory overhead that each queued frame is charged for besides its wire size.
const ENTRY_OVERHEAD_BYTES: usize = 128;

/// A queued frame.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) frame: Frame,
    pub(crate) notifier: Notifier,
}

impl Entry {
    /// Returns the bytes that the entry is charged for while it is queued.
    fn size(&self) -> usize {
        ENTRY_OVERHEAD_BYTES + self.frame.wire_size()
    }
}

/// The queued frames of one priority class.
#[derive(Debug, Default)]
struct Class {
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Class {
    /// Adds an entry if it fits; an empty class takes a frame of any size.
    fn push(&mut self, entry: Entry, bytes_max: usize) -> Result<(), Error> {
        let size = entry.size();
        if !self.entries.is_empty() && self.bytes + size > bytes_max {
            return Err(Error::Full);
        }
        self.bytes += size;
        self.entries.push_back(entry);
        Ok(())
    }

    fn pop(&mut self) -> Option<Entry> {
        let entry = self.entries.pop_front()?;
        self.bytes -= entry.size();
        Some(entry)
    }
}

#[derive(Debug, Default)]
struct State {
    control: Class,
    bulk: Class,
    closing: bool,
}

/// The send queue of one link.
#[derive(Debug)]
pub(crate) struct Queue {
    state: Mutex<State>,
    changed: Notify,
    bytes_max: usize,
}

impl Queue {
    /// Creates an empty queue of at most `bytes_max` in each class.
    pub(crate) fn new(bytes_max: usize) -> Self {
        Queue { state: Mutex::default(), changed: Notify::new(), bytes_max }
    }

    /// Adds a frame without waiting.
    pub(crate) fn push(&self, entry: Entry, priority: Priority) -> Result<(), Error> {
        let mut state = self.state.lock();
        if state.closing {
            return Err(Error::Unreachable);
        }
        let class = match priority {
            Priority::Control => &mut state.control,
            Priority::Bulk => &mut state.bulk,
        };
        class.push(entry, self.bytes_max)?;
        drop(state);
        self.changed.notify_one();
        Ok(())
    }

    /// Waits for frames and takes them, control first, until at least `bytes` are taken
    /// or the queue is empty. Returns none once the queue is closing and empty.
    pub(crate) async fn next_batch(&self, bytes: usize) -> Option<Vec<Entry>> {
        loop {
            let batch = self.take_batch(bytes);
            if !batch.is_empty() {
                return Some(batch);
            }
            if self.state.lock().closing {
                return None;
            }
            self.changed.notified().await;
        }
    }

    fn take_batch(&self, bytes: usize) -> Vec<Entry> {
        let mut state = self.state.lock();
        let mut batch = Vec::new();
        let mut taken = 0;
        while taken < bytes {
            let next = state.control.pop().or_else(|| state.bulk.pop());
            let Some(entry) = next else {
                break;
            };
            taken += entry.frame.wire_size();
            batch.push(entry);
        }
        batch
    }

    /// Closes the queue with `last` as its only frame if it is empty. Returns whether
    /// it did.
    pub(crate) fn close_if_empty(&self, last: Entry) -> bool {
        let mut state = self.state.lock();
        let has_waiting = !state.control.entries.is_empty() || !state.bulk.entries.is_empty();
        if has_waiting || state.closing {
            return false;
        }
        state.closing = true;
        let taken = state.control.push(last, self.bytes_max).is_ok();
        drop(state);
        self.changed.notify_one();
        taken
    }

    /// Closes the queue for new frames; queued frames are still sent.
    pub(crate) fn close(&self) {
        self.state.lock().closing = true;
        self.changed.notify_one();
    }

    /// Closes the queue and drops the queued frames; their tickets report
    /// [`crate::transmission::Outcome::NotSent`].
    pub(crate) fn close_and_discard(&self) {
        let mut state = self.state.lock();
        state.closing = true;
        let control = std::mem::take(&mut state.control);
        let bulk = std::mem::take(&mut state.bulk);
        drop(state);
        drop((control, bulk));
        self.changed.notify_one();
    }
}
